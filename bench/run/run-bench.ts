/**
 * One run: starts a cluster, warms it up, runs the load with its faults, collects the records of
 * databases and proxies, checks the history, and computes the figures.
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
  toClusterTenant,
} from './deployment-cluster.js';
import { stopClusterOnSignal } from './interruption.js';
import { type MachineFigures, observeMachine } from './machine.js';
import { Progress } from './progress.js';
import { listUnobservedPromises } from './unobserved.js';

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
  readonly hasNetworkDelays: boolean;
}

/** The report that `--json` writes. */
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
  /** From a primary's failure to the election of the next, as recorded by the databases; null if none was elected. */
  readonly electionMs: readonly (number | null)[];
  /** Fraction of reads that the proxies sent to replicas, by their own counts; null if they counted no reads. */
  readonly replicaReadShareByProxies: number | null;
  /** Promises that this run could not test; their violation counts are meaningless. */
  readonly unobserved: readonly string[];
  /** The first violations, as a starting point for diagnosis. */
  readonly firstViolations: readonly Violation[];
  readonly machine: MachineFigures;
}

/** A run's report, with the data from which the page's plots are made. */
export interface BenchRun {
  readonly report: BenchReport;
  readonly history: History;
  readonly measured: LoadResult;
  readonly samples: readonly ClusterSample[];
}

/** Makes the request ids and the schedule of the warm-up differ from those of the measured part. */
const WARM_UP_SEED_OFFSET = 1_000_000;
const FAULT_SEED_OFFSET = 2_000_000;
const MAX_LISTED_VIOLATIONS = 20;

export async function runBench(options: BenchOptions): Promise<BenchRun> {
  const machine = observeMachine();
  const cluster = await startDeploymentCluster({
    deployments: [options.deployment],
    proxies: options.proxies,
    seed: options.seed,
    statementMs: options.statementMs,
    electionTimeoutMs: options.electionTimeoutMs,
    hasNetworkDelays: options.hasNetworkDelays,
    proxyFlags: options.policy === 'ours' ? [] : [`--test-policy=${options.policy}`],
  });
  const removeSignalHandlers = stopClusterOnSignal(cluster);
  try {
    return await runOnCluster(cluster, options, machine);
  } finally {
    removeSignalHandlers();
    await cluster.stop();
  }
}

async function runOnCluster(
  cluster: Cluster,
  options: BenchOptions,
  machine: () => MachineFigures,
): Promise<BenchRun> {
  const recorder = new RunRecorder();
  for (const nodeId of [...cluster.proxies.keys()].sort()) recorder.recordProxyStart(nodeId);
  const sampler = new ClusterSampler(cluster, recorder, DATABASE_ROLE);
  const progress = new Progress(`${options.deployment.name} ${options.policy}`);
  try {
    progress.writeMessage('warm-up');
    const warmUp = await runLoad(toWarmUpOptions(cluster, options));
    progress.writeMessage('measured part');
    const [measured, faults] = await Promise.all([
      runLoad({
        ...toLoadOptions(cluster, options),
        onAttempt: (record) => progress.recordAttempt(record),
      }),
      runFaults(cluster, options, recorder, progress),
    ]);
    await sampler.stop();
    const logs = await collectLogs(cluster);
    const history = buildHistory(recorder, [warmUp, measured], logs);
    const samples = recorder.clusterSamples;
    const { replicaReadFraction } = sampler;
    const run = {
      options,
      measured,
      faults,
      history,
      logs,
      replicaReadFraction,
      machine: machine(),
    };
    return { report: buildReport(run), history, measured, samples };
  } finally {
    progress.stop();
    await sampler.stop();
  }
}

function toLoadOptions(cluster: Cluster, options: BenchOptions): LoadOptions {
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

function toWarmUpOptions(cluster: Cluster, options: BenchOptions): LoadOptions {
  const { seed, warmUpMs: durationMs } = options;
  return { ...toLoadOptions(cluster, options), seed: seed + WARM_UP_SEED_OFFSET, durationMs };
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
    context: { cluster, deployment, recorder, tenant: toClusterTenant(deployment) },
    seed: faultSeed,
    startedAt: nowMs(),
    onChange: (text) => progress.writeMessage(text),
  });
}

function buildHistory(
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
  readonly replicaReadFraction: number | null;
  readonly machine: MachineFigures;
}

function buildReport(run: FinishedRun): BenchReport {
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
    replicaReadShareByProxies: run.replicaReadFraction,
    unobserved: listUnobservedPromises(history),
    firstViolations: violations.slice(0, MAX_LISTED_VIOLATIONS),
    machine: run.machine,
  };
}
