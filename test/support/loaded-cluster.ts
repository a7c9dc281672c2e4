/**
 * A cluster of real processes under the bench's open-loop load. Collects the history of callers, databases and
 * proxies for the checkers of the nine guarantees.
 */
import { AssertionError } from 'node:assert';
import * as assert from 'uvu/assert';
import { checkHistory } from '../../bench/checkers/index.js';
import { DEPLOYMENTS, type Deployment } from '../../bench/deployments.js';
import type { Cluster } from '../../bench/harness/cluster.js';
import type { DatabaseGroup } from '../../bench/harness/database-group.js';
import type { History, RequestRecord } from '../../bench/history/model.js';
import { type LoadResult, runLoad } from '../../bench/load/generator.js';
import { ClusterSampler } from '../../bench/recorders/cluster-sampler.js';
import { RunRecorder } from '../../bench/recorders/run-recorder.js';
import { collectLogs } from '../../bench/run/collect-logs.js';
import {
  credentialsOf,
  DATABASE_ROLE,
  startDeploymentCluster,
} from '../../bench/run/deployment-cluster.js';
import { until } from './until.js';

/** The deployment of a bicycle trust with one group: keyed unlocks, hires in transactions, dock lookups. */
export const LOADED_GROUP = 'trust-1';
const ZONES = ['kingston-a', 'kingston-b', 'kingston-c'];
export const LOADED_DEPLOYMENT: Deployment = {
  ...DEPLOYMENTS.trust,
  groups: [LOADED_GROUP],
  zones: ZONES,
  initialRows: { ...DEPLOYMENTS.trust.initialRows, docks: 50 },
};
const ELECTION_TIMEOUT_MS = 300;
/** Each part of a run has its own seed, so that request ids are unique. */
const SEEDS_PER_RUN = 1_000;

export interface LoadedClusterOptions {
  readonly seed: number;
  readonly proxies?: number;
  readonly proxyFlags?: readonly string[];
  /** Silence after which a group holds an election; default 300 ms, short enough for frequent failovers. */
  readonly electionTimeoutMs?: number;
}

export function startLoadedCluster(options: LoadedClusterOptions): Promise<Cluster> {
  return startDeploymentCluster({
    deployments: [LOADED_DEPLOYMENT],
    proxies: options.proxies ?? 3,
    seed: options.seed,
    statementMs: 1,
    electionTimeoutMs: options.electionTimeoutMs ?? ELECTION_TIMEOUT_MS,
    hasNetworkDelays: false,
    proxyFlags: options.proxyFlags ?? [],
  });
}

/** Completed requests so far, and waiting for more. */
export class LoadProgress {
  readonly records: RequestRecord[] = [];

  /** Resolves once `count` more records fulfil the condition. */
  async waitForRecords(
    count: number,
    what: string,
    condition: (record: RequestRecord) => boolean,
  ): Promise<void> {
    const from = this.records.length;
    try {
      await until(`${count} more ${what}`, () => {
        return this.records.slice(from).filter(condition).length >= count;
      });
    } catch (error) {
      const cause = `what came instead: ${this.outcomesSince(from)}`;
      throw new AssertionError({ message: `${(error as Error).message}; ${cause}` });
    }
  }

  /** Number of records by outcome, for the error message of a wait that timed out. */
  private outcomesSince(from: number): string {
    const counts = new Map<string, number>();
    for (const { access, outcome, errorCode = '' } of this.records.slice(from)) {
      const kind = `${access} ${outcome} ${errorCode}`.trim();
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
    }
    return [...counts].map(([kind, count]) => `${count} × ${kind}`).join(', ') || 'nothing';
  }

  /** Resolves once `count` more writes have succeeded. */
  waitForWrites(count: number): Promise<void> {
    const isDone = (record: RequestRecord): boolean =>
      record.access === 'write' && record.outcome === 'done';
    return this.waitForRecords(count, 'writes done', isDone);
  }
}

export interface LoadUnderFault {
  readonly cluster: Cluster;
  readonly seed: number;
  /** Duration of one part of the load; parts are repeated until the fault has ended. */
  readonly partMs: number;
  readonly requestsPerSecond?: number;
  readonly sessions?: number;
  /** Deadline of each request; by default that of the deployment's request kinds. */
  readonly deadlineMs?: number;
  /** Starts and ends the fault. */
  readonly fault: (progress: LoadProgress, recorder: RunRecorder) => Promise<void>;
}

/** Runs load and fault concurrently and collects the history when the groups have settled. */
export async function loadUnderFault(run: LoadUnderFault): Promise<History> {
  const progress = new LoadProgress();
  const recorder = new RunRecorder();
  for (const nodeId of run.cluster.proxies.keys()) recorder.recordProxyStart(nodeId);
  const sampler = new ClusterSampler(run.cluster, recorder, DATABASE_ROLE);
  const fault = new PendingWork(run.fault(progress, recorder));
  const parts: LoadResult[] = [];
  do parts.push(await runPart(run, parts.length, progress));
  while (!fault.ended);
  await sampler.stop();
  await fault.done;
  const { commits, elections } = await collectLogs(run.cluster);
  return {
    ...recorder.toHistory(),
    requests: parts.flatMap(({ requests }) => requests),
    transactions: parts.flatMap(({ transactions }) => transactions),
    commits,
    elections,
    endedAt: Date.now(),
  };
}

/** A promise with a flag for whether it has settled; a rejection is reported when `done` is awaited. */
class PendingWork {
  ended = false;

  constructor(readonly done: Promise<void>) {
    const end = (): void => {
      this.ended = true;
    };
    done.then(end, end);
  }
}

function withDeadline(deployment: Deployment, deadlineMs: number | undefined): Deployment {
  if (deadlineMs === undefined) return deployment;
  return { ...deployment, kinds: deployment.kinds.map((kind) => ({ ...kind, deadlineMs })) };
}

function runPart(run: LoadUnderFault, part: number, progress: LoadProgress): Promise<LoadResult> {
  return runLoad({
    deployment: withDeadline(LOADED_DEPLOYMENT, run.deadlineMs),
    seed: run.seed * SEEDS_PER_RUN + part,
    durationMs: run.partMs,
    requestsPerSecond: run.requestsPerSecond ?? 150,
    sessions: run.sessions ?? 24,
    proxies: run.cluster.callerAddresses,
    credentialsOf: (group) => credentialsOf(LOADED_DEPLOYMENT, group),
    onAttempt: (record) => progress.records.push(record),
  });
}

/** Asserts that no guarantee is violated and all requests, except at killed proxies, got a final response. */
export function assertNoViolations(history: History, killedProxies: readonly string[] = []): void {
  assert.equal(checkHistory(history), []);
  const withoutAnswer = history.requests.filter(({ ending, proxy }) => {
    return ending === 'abandoned' || (ending === 'cut' && !killedProxies.includes(proxy));
  });
  assert.equal(withoutAnswer, []);
  assert.ok(history.requests.some(({ outcome }) => outcome === 'done'));
}

/** Resolves once no instance has an open transaction. */
export async function waitForNoOpenTransactions(group: DatabaseGroup): Promise<void> {
  for (const { name } of group.instances) {
    await until(`no open transaction on ${name}`, async () => {
      const { openTransactions } = await group.state(name);
      return openTransactions === 0;
    });
  }
}
