/** Reads configuration revisions, queue lengths and read counts from the proxies' admin ports. */
import { z } from 'zod';
import type { Cluster } from '../harness/cluster.js';
import type { RunningProxy } from '../harness/proxy-process.js';
import { nowMs } from '../load/clock.js';
import type { RunRecorder } from './run-recorder.js';

const groupSchema = z.object({
  group: z.string(),
  queued: z.number(),
  replicaReads: z.number(),
  primaryReads: z.number(),
});

/** The part of the response to `GET /status` that is used here. */
const statusSchema = z.object({
  configuration: z.object({ revision: z.number(), relay: z.boolean() }),
  groups: z.array(groupSchema),
});
type ProxyStatus = z.output<typeof statusSchema>;

/** Reads that one proxy process, as owner of groups, has sent. */
interface ReadCounts {
  readonly replicaReads: number;
  readonly primaryReads: number;
}

const STATUS_TIMEOUT_MS = 1_000;

export class ProxySampler {
  /** By process id, because a replaced proxy counts from zero. */
  readonly #readCountsByPid = new Map<number, ReadCounts>();

  constructor(
    private readonly cluster: Cluster,
    private readonly recorder: RunRecorder,
  ) {}

  /** Number of requests queued in all proxies that responded in time. */
  async sample(): Promise<number> {
    const proxies = [...this.cluster.proxies.values()];
    const queued = await Promise.all(proxies.map((proxy) => this.#sampleProxy(proxy)));
    return queued.reduce((sum, count) => sum + count, 0);
  }

  /** Fraction of reads that the proxies sent to replicas, by their own counts; null if they counted no reads. */
  get replicaReadFraction(): number | null {
    let replicaReads = 0;
    let reads = 0;
    for (const counts of this.#readCountsByPid.values()) {
      replicaReads += counts.replicaReads;
      reads += counts.replicaReads + counts.primaryReads;
    }
    return reads === 0 ? null : replicaReads / reads;
  }

  async #sampleProxy(proxy: RunningProxy): Promise<number> {
    const at = nowMs();
    const status = await readStatus(proxy);
    if (status === undefined) return 0;
    const { revision: configurationRevision, relay } = status.configuration;
    this.recorder.recordProxySample({ proxy: proxy.nodeId, at, configurationRevision, relay });
    this.#readCountsByPid.set(proxy.pid, {
      replicaReads: status.groups.reduce((sum, group) => sum + group.replicaReads, 0),
      primaryReads: status.groups.reduce((sum, group) => sum + group.primaryReads, 0),
    });
    return status.groups.reduce((sum, group) => sum + group.queued, 0);
  }
}

async function readStatus({ admin }: RunningProxy): Promise<ProxyStatus | undefined> {
  if (admin === undefined) return undefined;
  try {
    const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
    const response = await fetch(`http://${admin.host}:${admin.port}/status`, { signal });
    return statusSchema.parse(await response.json());
  } catch {
    // The proxy is killed, paused or shutting down; the fault itself is recorded elsewhere.
    return undefined;
  }
}
