/**
 * One run: starts a cluster, warms it up, runs the load with its faults, collects what databases and
 * proxies recorded, checks the history, and gives the figures.
 */
import { checkHistory, findNonMonotonicReads, type Violation } from '../checkers/index.js';
import type { Deployment } from '../deployments.js';
import type { Fault } from '../faults/fault.js';
import { type FaultRecord, injectFaults } from '../faults/injector.js';
import { planFaults } from '../faults/schedule.js';
import type { Cluster } from '../harness/cluster.js';
import type { History } from '../history/model.js';
import { nowMs } from '../load/clock.js';
import { computeFigures, type RunFigures } from '../load/figures.js';
import { type LoadOptions, type LoadResult, runLoad } from '../load/generator.js';
import { createRandom } from '../load/random.js';
import { ClusterSampler } from '../recorders/cluster-sampler.js';
import { type ClusterSample, RunRecorder } from '../recorders/run-recorder.js';
import { type CollectedLogs, collectLogs } from './collect-logs.js';
import {
  credentialsOf,
  DATABASE_ROLE,
  startDeploymentCluster,
  tenantOf,
} from './deployment-cluster.js';
import { endOnSignal } from './interruption.js';
import { type MachineFigures, observeMachine } from './machine.js';
import { Progress } from './progress.js';
import { unobservedPromises } from './unobserved.js';

export interface BenchOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly durationMs: number;
  readonly warmUpMs: number;
  readonly proxies: number;
  readonly policy: string;
  readonly faults: readonly Fault[];
  readonly requestsPerSecond: number;
  readonly sessions: number;
  readonly statementMs: number;
  readonly electionTimeoutMs: number;
  readonly delays: boolean;
}

/** What `--json` writes. */
export interface BenchReport extends RunFigures {
  readonly settings: {
    readonly durationMs: number;
    readonly requestsPerSecond: number;
    readonly sessions: number;
    readonly proxies: number;
    readonly statementMs: number;
    readonly electionTimeoutMs: number;
  };
  readonly faults: readonly FaultRecord[];
  /** From the failure of a primary to the take-over of the next, by the databases' own account. */
  readonly electionMs: readonly (number | null)[];
  /** Share of reads sent to replicas by the proxies' own counts; null if none told. */
  readonly replicaReadShareByProxies: number | null;
  /** Promises that this run could not observe; their count of violations says nothing. */
  readonly unobserved: readonly string[];
  /** The first violations, to begin looking from. */
  readonly firstViolations: readonly Violation[];
  readonly machine: MachineFigures;
}

/** A run with what the page needs beside its figures. */
export interface BenchRun {
  readonly report: BenchReport;
  readonly history: History;
  readonly measured: LoadResult;
  readonly samples: readonly ClusterSample[];
}

/** Keeps the ids and the schedule of the warm-up apart from those of the measured part. */
const WARM_UP_SEED_OFFSET = 1_000_000;
const FAULT_SEED_OFFSET = 2_000_000;
const SHOWN_VIOLATIONS = 20;

export async function runBench(options: BenchOptions): Promise<BenchRun> {
  const machine = observeMachine();
  const cluster = await startDeploymentCluster({
    deployments: [options.deployment],
    proxies: options.proxies,
    seed: options.seed,
    statementMs: options.statementMs,
    electionTimeoutMs: options.electionTimeoutMs,
    delays: options.delays,
    proxyFlags: options.policy === 'ours' ? [] : [`--test-policy=${options.policy}`],
  });
  const release = endOnSignal(cluster);
  try {
    return await runOn(cluster, options, machine);
  } finally {
    release();
    await cluster.stop();
  }
}

async function runOn(
  cluster: Cluster,
  options: BenchOptions,
  machine: () => MachineFigures,
): Promise<BenchRun> {
  const recorder = new RunRecorder();
  for (const nodeId of [...cluster.proxies.keys()].sort()) recorder.recordProxyStart(nodeId);
  const sampler = new ClusterSampler(cluster, recorder, DATABASE_ROLE);
  const progress = new Progress(`${options.deployment.name} ${options.policy}`);
  try {
    progress.note('warm-up');
    const warmUp = await runLoad(warmUpOptions(cluster, options));
    progress.note('measured part');
    const [measured, faults] = await Promise.all([
      runLoad({ ...loadOptions(cluster, options), onAttempt: (record) => progress.record(record) }),
      runFaults(cluster, options, recorder, progress),
    ]);
    await sampler.stop();
    const logs = await collectLogs(cluster);
    const history = historyOf(recorder, [warmUp, measured], logs);
    const samples = recorder.clusterSamples;
    const { replicaReadFraction: replicaReadShare } = sampler;
    const run = { options, measured, faults, history, logs, replicaReadShare, machine: machine() };
    return { report: reportOf(run), history, measured, samples };
  } finally {
    progress.stop();
    await sampler.stop();
  }
}

function loadOptions(cluster: Cluster, options: BenchOptions): LoadOptions {
  const { deployment, seed, durationMs, requestsPerSecond, sessions } = options;
  return {
    deployment,
    seed,
    durationMs,
    requestsPerSecond,
    sessions,
    proxies: cluster.callerAddresses,
    credentialsOf: (group) => credentialsOf(deployment, group),
  };
}

function warmUpOptions(cluster: Cluster, options: BenchOptions): LoadOptions {
  const { seed, warmUpMs: durationMs } = options;
  return { ...loadOptions(cluster, options), seed: seed + WARM_UP_SEED_OFFSET, durationMs };
}

async function runFaults(
  cluster: Cluster,
  { faults, durationMs, seed, deployment }: BenchOptions,
  recorder: RunRecorder,
  progress: Progress,
): Promise<FaultRecord[]> {
  const faultSeed = seed + FAULT_SEED_OFFSET;
  return injectFaults({
    planned: planFaults(faults, durationMs, createRandom(faultSeed)),
    context: { cluster, deployment, recorder, tenant: tenantOf(deployment) },
    seed: faultSeed,
    startedAt: nowMs(),
    onChange: (text) => progress.note(text),
  });
}

function historyOf(
  recorder: RunRecorder,
  loads: readonly LoadResult[],
  { commits, elections }: CollectedLogs,
): History {
  return {
    ...recorder.toHistory(),
    requests: loads.flatMap(({ requests }) => requests),
    transactions: loads.flatMap(({ transactions }) => transactions),
    commits,
    elections,
    endedAt: nowMs(),
  };
}

interface FinishedRun {
  readonly options: BenchOptions;
  readonly measured: LoadResult;
  readonly faults: readonly FaultRecord[];
  readonly history: History;
  readonly logs: CollectedLogs;
  readonly replicaReadShare: number | null;
  readonly machine: MachineFigures;
}

function reportOf(run: FinishedRun): BenchReport {
  const { options, measured, faults, history, logs } = run;
  const { durationMs, requestsPerSecond, sessions, proxies } = options;
  const { statementMs, electionTimeoutMs } = options;
  const violations = checkHistory(history);
  const failures = faults.flatMap(({ primaryFailures }) => primaryFailures);
  const figures = computeFigures({
    deployment: options.deployment,
    seed: options.seed,
    policy: options.policy,
    requests: measured.requests,
    failures,
    violations,
    nonMonotonicReads: findNonMonotonicReads(history).length,
    connectionsOpened: logs.connectionsOpened,
    endedAt: measured.endedAt,
  });
  return {
    ...figures,
    settings: {
      durationMs,
      requestsPerSecond,
      sessions,
      proxies,
      statementMs,
      electionTimeoutMs,
    },
    faults,
    electionMs: failures.map(({ group, at }) => {
      const next = history.elections.filter((one) => one.group === group && one.at >= at);
      return next.length === 0 ? null : Math.min(...next.map((one) => one.at)) - at;
    }),
    replicaReadShareByProxies: run.replicaReadShare,
    unobserved: unobservedPromises(history),
    firstViolations: violations.slice(0, SHOWN_VIOLATIONS),
    machine: run.machine,
  };
}
