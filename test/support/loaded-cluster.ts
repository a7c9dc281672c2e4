/**
 * A cluster of real processes under the bench's open-loop load, and the history of what callers,
 * databases and proxies saw, for the checkers of the nine promises.
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

/** The bicycle trust with one group: keyed unlocks, hires in transactions, dock lookups. */
export const LOADED_GROUP = 'trust-1';
const ZONES = ['kingston-a', 'kingston-b', 'kingston-c'];
export const LOADED_DEPLOYMENT: Deployment = {
  ...DEPLOYMENTS.trust,
  groups: [LOADED_GROUP],
  zones: ZONES,
  initialRows: { ...DEPLOYMENTS.trust.initialRows, docks: 50 },
};
const ELECTION_TIMEOUT_MS = 300;
/** Each part of a run has a seed of its own, so that no request is named twice. */
const SEEDS_A_RUN = 1_000;

export interface LoadedClusterOptions {
  readonly seed: number;
  readonly proxies?: number;
  readonly proxyFlags?: readonly string[];
  /** Silence after which a group elects; default 300 ms, short enough to fail over often. */
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

/** What has come back so far, to wait on. */
export class LoadProgress {
  readonly records: RequestRecord[] = [];

  /** Resolves once `count` more records than now fulfil the condition. */
  async more(
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

  /** How often each outcome came, so that a wait in vain tells why. */
  private outcomesSince(from: number): string {
    const counts = new Map<string, number>();
    for (const { access, outcome, errorCode = '' } of this.records.slice(from)) {
      const kind = `${access} ${outcome} ${errorCode}`.trim();
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
    }
    return [...counts].map(([kind, count]) => `${count} × ${kind}`).join(', ') || 'nothing';
  }

  /** Writes go through. */
  writesDone(count: number): Promise<void> {
    const isDone = (record: RequestRecord): boolean =>
      record.access === 'write' && record.outcome === 'done';
    return this.more(count, 'writes done', isDone);
  }
}

export interface LoadUnderFault {
  readonly cluster: Cluster;
  readonly seed: number;
  /** Length of one part of the load; another part follows until the fault is over. */
  readonly partMs: number;
  readonly requestsPerSecond?: number;
  readonly sessions?: number;
  /** Time that callers give each request; default that of the deployment's kinds. */
  readonly deadlineMs?: number;
  /** Begins and ends the fault. */
  readonly fault: (progress: LoadProgress, recorder: RunRecorder) => Promise<void>;
}

/** Runs load and fault beside each other and collects the history when the groups have settled. */
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

/** A promise that can be asked whether it has settled; a failure waits for `done` to be awaited. */
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
    seed: run.seed * SEEDS_A_RUN + part,
    durationMs: run.partMs,
    requestsPerSecond: run.requestsPerSecond ?? 150,
    sessions: run.sessions ?? 24,
    proxies: run.cluster.callerAddresses,
    credentialsOf: (group) => credentialsOf(LOADED_DEPLOYMENT, group),
    onAttempt: (record) => progress.records.push(record),
  });
}

/** No promise is broken, and every caller got a final answer; those of killed proxies are cut. */
export function assertPromisesKept(history: History, killedProxies: readonly string[] = []): void {
  assert.equal(checkHistory(history), []);
  const withoutAnswer = history.requests.filter(({ ending, proxy }) => {
    return ending === 'abandoned' || (ending === 'cut' && !killedProxies.includes(proxy));
  });
  assert.equal(withoutAnswer, []);
  assert.ok(history.requests.some(({ outcome }) => outcome === 'done'));
}

/** No instance holds a transaction open. */
export async function noOpenTransactions(group: DatabaseGroup): Promise<void> {
  for (const { name } of group.instances) {
    await until(`no open transaction on ${name}`, async () => {
      const { openTransactions } = await group.state(name);
      return openTransactions === 0;
    });
  }
}
