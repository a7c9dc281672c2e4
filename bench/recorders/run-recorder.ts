/**
 * Records what happens during a run besides the callers' requests: times in which each proxy serves,
 * planned stops, accepted configurations and leaving marks; and samples of the proxies' configuration
 * revisions, work on leaving back ends, queues and connections. The checkers of configurations, planned
 * stops and leaving back ends use it, and so does the report.
 */
import type {
  AcceptedConfigurationRecord,
  ConfigurationSampleRecord,
  History,
  LeavingRecord,
  PlannedStopRecord,
  ProxyServingPeriod,
  WorkRecord,
} from '../history/model.js';
import { nowMs } from '../load/clock.js';

/** State of the cluster at one time. */
export interface ClusterSample {
  readonly at: number;
  /** Requests in the proxies' queues. */
  readonly queuedAtProxies: number;
  /** Statements that wait for a free slot of an instance. */
  readonly queuedAtInstances: number;
  /** Connections that the instances hold open. */
  readonly connections: number;
}

/** Status of one proxy, as reported by itself. */
export interface ProxySample {
  readonly proxy: string;
  readonly at: number;
  readonly configurationRevision: number;
  readonly relay: boolean;
}

interface ProxyServicePeriod {
  readonly proxy: string;
  readonly servingFrom: number;
  servingUntil: number | undefined;
}

interface LeavingMark {
  readonly instance: string;
  readonly visibleAt: number;
  endedAt: number | undefined;
}

type RecordedHistory = Pick<
  History,
  | 'leavings'
  | 'work'
  | 'plannedStops'
  | 'acceptedConfigurations'
  | 'configurationSamples'
  | 'proxyLives'
>;

export class RunRecorder {
  readonly #servicePeriods: ProxyServicePeriod[] = [];
  readonly #plannedStops: PlannedStopRecord[] = [];
  readonly #acceptedConfigurations: AcceptedConfigurationRecord[] = [];
  readonly #configurationSamples: ConfigurationSampleRecord[] = [];
  readonly #leavingMarks: LeavingMark[] = [];
  readonly #work: WorkRecord[] = [];
  readonly #clusterSamples: ClusterSample[] = [];
  readonly #relayProxies = new Set<string>();

  recordProxyStart(proxy: string): void {
    this.#servicePeriods.push({ proxy, servingFrom: nowMs(), servingUntil: undefined });
  }

  /** From now on the proxy isn't expected to serve: it is killed, paused or requested to stop. */
  recordProxyStop(proxy: string): void {
    this.#relayProxies.delete(proxy);
    const servicePeriod = this.#servicePeriods.findLast((candidate) => candidate.proxy === proxy);
    if (servicePeriod !== undefined) servicePeriod.servingUntil ??= nowMs();
  }

  /** Proxies that are expected to serve now. */
  get servingProxies(): readonly string[] {
    const current = this.#servicePeriods.filter(({ servingUntil }) => servingUntil === undefined);
    return current.map(({ proxy }) => proxy);
  }

  /** Proxies that were configuration relays when last sampled. */
  get relayProxies(): readonly string[] {
    return [...this.#relayProxies];
  }

  recordPlannedStop(record: PlannedStopRecord): void {
    this.#plannedStops.push(record);
  }

  /** Records that the store has accepted a configuration. */
  recordAcceptedConfiguration(revision: number): void {
    this.#acceptedConfigurations.push({ revision, acceptedAt: nowMs() });
  }

  /** Records that the back end's leaving mark is visible from `visibleAt`; call the result once the mark is removed. */
  recordLeavingMark(instance: string, visibleAt: number): () => void {
    const leaving: LeavingMark = { instance, visibleAt, endedAt: undefined };
    this.#leavingMarks.push(leaving);
    return () => {
      leaving.endedAt = nowMs();
    };
  }

  /** Instances with a leaving mark that has not been removed. */
  get leavingInstances(): readonly string[] {
    const marked = this.#leavingMarks.filter(({ endedAt }) => endedAt === undefined);
    return marked.map(({ instance }) => instance);
  }

  recordWork(record: WorkRecord): void {
    this.#work.push(record);
  }

  recordProxySample({ proxy, at, configurationRevision: revision, relay }: ProxySample): void {
    this.#configurationSamples.push({ proxy, at, revision });
    if (relay) this.#relayProxies.add(proxy);
    else this.#relayProxies.delete(proxy);
  }

  recordClusterSample(sample: ClusterSample): void {
    this.#clusterSamples.push(sample);
  }

  get clusterSamples(): readonly ClusterSample[] {
    return this.#clusterSamples;
  }

  /** The recorded part of the history. */
  toHistory(): RecordedHistory {
    const proxyLives: readonly ProxyServingPeriod[] = this.#servicePeriods;
    const leavings: readonly LeavingRecord[] = this.#leavingMarks;
    return {
      leavings,
      work: this.#work,
      plannedStops: this.#plannedStops,
      acceptedConfigurations: this.#acceptedConfigurations,
      configurationSamples: this.#configurationSamples,
      proxyLives,
    };
  }
}
