/**
 * The demo of `meadowstack proxy`: a cluster of real processes serves both deployments, whose callers'
 * sessions move between proxies, while one primary is killed. The last line on standard output is JSON
 * with the figures; the exit code is 0 if everything ran and no promise was violated.
 */
import { checkHistory } from '../checkers/index.js';
import type { Deployment } from '../deployments.js';
import { SMALL_DEPLOYMENTS } from '../dev/cluster-description.js';
import { type FaultRecord, injectFaults } from '../faults/injector.js';
import { PRIMARY_KILLED } from '../faults/primary-killed.js';
import type { Cluster } from '../harness/cluster.js';
import { EMPTY_HISTORY, type History, type RequestRecord } from '../history/model.js';
import { nowMs } from '../load/clock.js';
import { computeFigures, type RunFigures } from '../load/figures.js';
import { type LoadResult, runLoad } from '../load/generator.js';
import { RunRecorder } from '../recorders/run-recorder.js';
import { collectLogs } from '../run/collect-logs.js';
import {
  credentialsOf,
  startDeploymentCluster,
  toClusterTenant,
} from '../run/deployment-cluster.js';
import { stopClusterOnSignal } from '../run/interruption.js';
import { countProxyChanges, DemoOutput } from './demo-output.js';

const SEED = 1;
const DURATION_MS = 8_000;
const REQUESTS_PER_SECOND = 100;
const SESSION_COUNT = 20;
const KILL_AT_MS = 3_000;
const MAX_SHOWN_VIOLATIONS = 5;

const output = new DemoOutput();
output.writeLine('starting store, machine list, two database groups of three, and two proxies');
const cluster = await startDeploymentCluster({
  deployments: SMALL_DEPLOYMENTS,
  proxies: 2,
  seed: SEED,
  statementMs: 1,
  electionTimeoutMs: 300,
  hasNetworkDelays: true,
});
const release = stopClusterOnSignal(cluster);
try {
  await runDemo(cluster);
} finally {
  release();
  await cluster.stop();
}

async function runDemo(running: Cluster): Promise<void> {
  output.writeLine(`${SMALL_DEPLOYMENTS.length} tenants send orders, look-ups and unlocks`);
  const [loads, faults] = await Promise.all([
    Promise.all(SMALL_DEPLOYMENTS.map((deployment) => sendLoad(running, deployment))),
    killPrimary(running),
  ]);
  output.writeLine(
    'all callers have ended; checking their results against the logs of the databases',
  );
  const logs = await collectLogs(running);
  const requests = loads.flatMap((load) => load.requests);
  const history: History = {
    ...EMPTY_HISTORY,
    requests,
    transactions: loads.flatMap((load) => load.transactions),
    commits: logs.commits,
    elections: logs.elections,
    endedAt: nowMs(),
  };
  output.writeLine(`${countProxyChanges(requests)} times a session moved to the other proxy`);
  writeResults(loads, faults, history, logs.connectionsOpened);
}

function sendLoad(running: Cluster, deployment: Deployment): Promise<LoadResult> {
  return runLoad({
    deployment,
    seed: SEED,
    durationMs: DURATION_MS,
    requestsPerSecond: REQUESTS_PER_SECOND,
    sessions: SESSION_COUNT,
    proxies: running.callerAddresses,
    credentialsOf: (group) => credentialsOf(deployment, group),
  });
}

async function killPrimary(running: Cluster): Promise<FaultRecord[]> {
  const [deployment] = SMALL_DEPLOYMENTS;
  if (deployment === undefined) return [];
  const faults = await injectFaults({
    planned: [{ fault: PRIMARY_KILLED, beginMs: KILL_AT_MS, endMs: KILL_AT_MS }],
    context: {
      cluster: running,
      deployment,
      recorder: new RunRecorder(),
      tenant: toClusterTenant(deployment),
    },
    seed: SEED,
    startedAt: nowMs(),
    onChange: () => undefined,
  });
  for (const fault of faults) output.writeFault(fault);
  return faults;
}

function writeResults(
  loads: readonly LoadResult[],
  faults: readonly FaultRecord[],
  history: History,
  connectionsOpened: number,
): void {
  const violations = checkHistory(history);
  const failures = faults.flatMap(({ primaryFailures }) => primaryFailures);
  const figures = SMALL_DEPLOYMENTS.map((deployment, index) =>
    computeFigures({
      deployment,
      seed: SEED,
      policy: 'ours',
      requests: loads[index]?.requests ?? [],
      failures: failures.filter(({ group }) => deployment.groups.includes(group)),
      violations,
      nonMonotonicReads: 0,
      connectionsOpened,
      endedAt: loads[index]?.endedAt ?? history.endedAt,
    }),
  );
  for (const one of figures) output.writeFigures(one);
  for (const violation of violations.slice(0, MAX_SHOWN_VIOLATIONS))
    output.writeLine(violation.detail);
  process.stdout.write(`${JSON.stringify(createSummary(figures, history, violations.length))}\n`);
  if (violations.length > 0) process.exitCode = 1;
}

/** The JSON of the last line. */
interface DemoSummary {
  readonly requests: number;
  readonly writes: number;
  readonly replicaReadShare: number;
  readonly failoverGapMs: number | null;
  readonly violations: number;
}

function createSummary(
  figures: readonly RunFigures[],
  history: History,
  violations: number,
): DemoSummary {
  const gaps = figures.flatMap(({ failoverGapMs }) => failoverGapMs.each);
  const writes = new Set(history.requests.filter(isDoneWrite).map((request) => request.logicalId));
  const reads = history.requests.filter(({ servedBy }) => servedBy !== undefined);
  const onReplicas = reads.filter(({ servedBy }) => servedBy === 'replica');
  return {
    requests: figures.reduce((sum, { requests }) => sum + requests, 0),
    writes: writes.size,
    replicaReadShare: reads.length === 0 ? 0 : onReplicas.length / reads.length,
    failoverGapMs: gaps.length === 0 ? null : Math.max(...gaps),
    violations,
  };
}

function isDoneWrite({ access, outcome }: RequestRecord): boolean {
  return access === 'write' && outcome === 'done';
}
