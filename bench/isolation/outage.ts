/**
 * Measures how an outage of a primary amplifies the load: requests that the owners send to the database
 * for each request of a caller, before, during and after the outage.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { z } from 'zod';
import type { Cluster } from '../harness/cluster.js';
import { QuietLoad, type QuietRequest } from './quiet-load.js';
import { GROUP, QUIET_TENANT, startSharedCluster } from './shared-cluster.js';
import { TenantSessions } from './tenant-sessions.js';

export interface OutageOptions {
  readonly seed: number;
  readonly ratePerSecond: number;
  readonly statementMs: number;
  readonly slots: number;
}

export interface OutageWindow {
  readonly window: 'before' | 'outage' | 'after';
  /** Callers' requests that were due in the window. */
  readonly callerRequests: number;
  readonly sentToDatabase: number;
  /** Requests sent to the database per request of a caller. */
  readonly amplification: number;
  /** Highest rate between two successive samples. */
  readonly peakSentPerSecond: number;
  readonly retries: number;
  readonly errors: number;
}

interface Sample {
  readonly atMs: number;
  readonly sent: number;
  readonly retries: number;
}

const statusSchema = z.object({
  groups: z.array(
    z.object({
      writes: z.number(),
      primaryReads: z.number(),
      replicaReads: z.number(),
      retries: z.number(),
    }),
  ),
});

const SESSION_COUNT = 200;
const ELECTION_TIMEOUT_MS = 500;
const SAMPLE_PERIOD_MS = 100;
const KILL_AT_MS = 5000;
/** Part of the run that counts as the outage: election, discovery of the new primary, and draining of the queue. */
const OUTAGE_MS = 3000;
const RUN_MS = 16_000;
const WARM_UP_MS = 2000;
const MS_PER_SECOND = 1000;
const DECIMAL_DIGITS = 3;

/** Kills the primary of a group under load, and computes the figures of each window. */
export async function measureOutage(options: OutageOptions): Promise<readonly OutageWindow[]> {
  const { seed, statementMs, slots, ratePerSecond } = options;
  const cluster = await startSharedCluster({
    seed,
    statementMs,
    slots,
    electionTimeoutMs: ELECTION_TIMEOUT_MS,
  });
  try {
    const proxies = cluster.callerAddresses;
    const sessions = await TenantSessions.open(proxies, QUIET_TENANT, GROUP, SESSION_COUNT);
    const load = new QuietLoad(sessions, seed, ratePerSecond);
    await load.run(WARM_UP_MS);
    const startedAt = performance.now();
    const [requests, samples] = await Promise.all([
      load.run(RUN_MS),
      sampleUntil(cluster, startedAt, RUN_MS),
      killPrimary(cluster),
    ]);
    await sessions.close();
    return computeWindows(requests, samples);
  } finally {
    await cluster.stop();
  }
}

async function killPrimary(cluster: Cluster): Promise<void> {
  await delay(KILL_AT_MS);
  const group = cluster.group(GROUP);
  const { name } = await group.waitForPrimary();
  await group.kill(name);
}

async function sampleUntil(
  cluster: Cluster,
  startedAt: number,
  durationMs: number,
): Promise<readonly Sample[]> {
  const samples: Sample[] = [];
  for (;;) {
    const atMs = performance.now() - startedAt;
    samples.push({ atMs, ...(await readSentCounts(cluster)) });
    if (atMs > durationMs) return samples;
    await delay(SAMPLE_PERIOD_MS);
  }
}

async function readSentCounts(cluster: Cluster): Promise<Omit<Sample, 'atMs'>> {
  let sent = 0;
  let retries = 0;
  for (const { admin } of cluster.proxies.values()) {
    const response = await fetch(`http://${admin?.host}:${admin?.port}/status`);
    const { groups } = statusSchema.parse(await response.json());
    for (const group of groups) {
      sent += group.writes + group.primaryReads + group.replicaReads;
      retries += group.retries;
    }
  }
  return { sent, retries };
}

function computeWindows(
  requests: readonly QuietRequest[],
  samples: readonly Sample[],
): readonly OutageWindow[] {
  const outageEndMs = KILL_AT_MS + OUTAGE_MS;
  const windows = [
    ['before', 0, KILL_AT_MS],
    ['outage', KILL_AT_MS, outageEndMs],
    ['after', outageEndMs, RUN_MS],
  ] as const;
  return windows.map(([window, from, to]) => {
    const own = requests.filter(({ offsetMs }) => offsetMs >= from && offsetMs < to);
    const samplesInWindow = samples.filter(({ atMs }) => atMs >= from && atMs < to);
    const [first] = samplesInWindow;
    const last = samplesInWindow.at(-1);
    // Counts from the last sample before the window, so that the windows are contiguous.
    const start = samples.filter(({ atMs }) => atMs < from).at(-1) ?? first;
    const sentToDatabase = (last?.sent ?? 0) - (start?.sent ?? 0);
    return {
      window,
      callerRequests: own.length,
      sentToDatabase,
      amplification: Number((sentToDatabase / own.length).toFixed(DECIMAL_DIGITS)),
      peakSentPerSecond: Math.round(computePeakRate(samplesInWindow)),
      retries: (last?.retries ?? 0) - (start?.retries ?? 0),
      errors: own.filter(({ error }) => error !== undefined).length,
    };
  });
}

function computePeakRate(samples: readonly Sample[]): number {
  let peak = 0;
  samples.forEach((sample, index) => {
    const before = samples[index - 1];
    if (before === undefined) return;
    const rate = ((sample.sent - before.sent) * MS_PER_SECOND) / (sample.atMs - before.atMs);
    peak = Math.max(peak, rate);
  });
  return peak;
}
