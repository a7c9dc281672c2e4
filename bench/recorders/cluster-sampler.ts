/** Samples all instances and proxies of the cluster periodically during a run. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Cluster } from '../harness/cluster.js';
import { nowMs } from '../load/clock.js';
import { InstanceSampler } from './instance-sampler.js';
import { ProxySampler } from './proxy-sampler.js';
import type { RunRecorder } from './run-recorder.js';

const SAMPLE_PERIOD_MS = 250;

export class ClusterSampler {
  readonly #instances: InstanceSampler;
  readonly #proxies: ProxySampler;
  readonly #stopped = new AbortController();
  readonly #running: Promise<void>;

  constructor(
    cluster: Cluster,
    private readonly recorder: RunRecorder,
    callerRole: string,
  ) {
    this.#instances = new InstanceSampler(cluster, recorder, callerRole);
    this.#proxies = new ProxySampler(cluster, recorder);
    this.#running = this.#run();
  }

  /** Fraction of reads that the proxies sent to replicas, by their own counts; null without such counts. */
  get replicaReadFraction(): number | null {
    return this.#proxies.replicaReadFraction;
  }

  /** Takes a last sample and stops. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    await this.#running;
    await this.#sample();
  }

  async #run(): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      await this.#sample();
      await delay(SAMPLE_PERIOD_MS, undefined, { signal }).catch(() => undefined);
    }
  }

  async #sample(): Promise<void> {
    const at = nowMs();
    const [instances, queuedAtProxies] = await Promise.all([
      this.#instances.sample(),
      this.#proxies.sample(),
    ]);
    this.recorder.recordClusterSample({
      at,
      queuedAtProxies,
      queuedAtInstances: instances.queued,
      connections: instances.connections,
    });
  }
}
