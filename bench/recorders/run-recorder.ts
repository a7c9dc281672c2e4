/**
 * What happens during a run beside the callers' requests: proxies' lives, planned stops, accepted
 * configurations, leaving marks; and samples of configurations in force, work on leaving back ends,
 * queues and connections. The checkers of promises 7 to 9 and the report read it.
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

/** The state of the cluster at one time. */
export interface ClusterSample {
  readonly at: number;
  /** Requests that wait in the proxies' queues. */
  readonly queuedAtProxies: number;
  /** Statements that wait for a slot of an instance. */
  readonly queuedAtInstances: number;
  /** Connections that the instances hold open. */
  readonly connections: number;
}

/** What one proxy told of itself. */
export interface ProxySample {
  readonly proxy: string;
  readonly at: number;
  readonly configurationRevision: number;
  readonly relay: boolean;
}

interface ProxyLife {
  readonly proxy: string;
  readonly servingFrom: number;
  servingUntil: number | undefined;
}

interface Leaving {
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
  readonly #lives: ProxyLife[] = [];
  readonly #plannedStops: PlannedStopRecord[] = [];
  readonly #accepted: AcceptedConfigurationRecord[] = [];
  readonly #configurations: ConfigurationSampleRecord[] = [];
  readonly #leavings: Leaving[] = [];
  readonly #work: WorkRecord[] = [];
  readonly #clusterSamples: ClusterSample[] = [];
  readonly #relays = new Set<string>();

  proxyStarted(proxy: string): void {
    this.#lives.push({ proxy, servingFrom: nowMs(), servingUntil: undefined });
  }

  /** From now on the proxy need not serve: it is killed, paused or asked to stop. */
  proxyStopped(proxy: string): void {
    this.#relays.delete(proxy);
    const life = this.#lives.findLast((candidate) => candidate.proxy === proxy);
    if (life !== undefined) life.servingUntil ??= nowMs();
  }

  /** Proxies that are meant to serve now. */
  get servingProxies(): readonly string[] {
    const serving = this.#lives.filter(({ servingUntil }) => servingUntil === undefined);
    return serving.map(({ proxy }) => proxy);
  }

  /** Proxies that relayed the configuration when they were last asked. */
  get relays(): readonly string[] {
    return [...this.#relays];
  }

  plannedStop(record: PlannedStopRecord): void {
    this.#plannedStops.push(record);
  }

  /** The store has accepted a configuration. */
  configurationAccepted(revision: number): void {
    this.#accepted.push({ revision, acceptedAt: nowMs() });
  }

  /** The back end's leaving mark shows from `visibleAt` on; the result is called when it is off. */
  leaving(instance: string, visibleAt: number): () => void {
    const leaving: Leaving = { instance, visibleAt, endedAt: undefined };
    this.#leavings.push(leaving);
    return () => {
      leaving.endedAt = nowMs();
    };
  }

  /** Instances whose leaving mark is on. */
  get leavingInstances(): readonly string[] {
    const marked = this.#leavings.filter(({ endedAt }) => endedAt === undefined);
    return marked.map(({ instance }) => instance);
  }

  work(record: WorkRecord): void {
    this.#work.push(record);
  }

  proxySample({ proxy, at, configurationRevision: revision, relay }: ProxySample): void {
    this.#configurations.push({ proxy, at, revision });
    if (relay) this.#relays.add(proxy);
    else this.#relays.delete(proxy);
  }

  clusterSample(sample: ClusterSample): void {
    this.#clusterSamples.push(sample);
  }

  get clusterSamples(): readonly ClusterSample[] {
    return this.#clusterSamples;
  }

  /** The part of the history that is recorded here. */
  history(): RecordedHistory {
    const proxyLives: readonly ProxyServingPeriod[] = this.#lives;
    const leavings: readonly LeavingRecord[] = this.#leavings;
    return {
      leavings,
      work: this.#work,
      plannedStops: this.#plannedStops,
      acceptedConfigurations: this.#accepted,
      configurationSamples: this.#configurations,
      proxyLives,
    };
  }
}
