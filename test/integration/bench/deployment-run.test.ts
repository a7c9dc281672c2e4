/** Short but complete runs of the bench. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEPLOYMENTS, type Deployment } from '../../../bench/deployments.js';
import type { Fault } from '../../../bench/faults/fault.js';
import { OPERATORS_RACING } from '../../../bench/faults/operators-racing.js';
import { PROXY_PLANNED_STOP } from '../../../bench/faults/proxy-faults.js';
import { renderPage } from '../../../bench/report/page.js';
import { type BenchOptions, type BenchRun, runBench } from '../../../bench/run/run-bench.js';

const DEPLOYMENT: Deployment = {
  ...DEPLOYMENTS.bureau,
  groups: DEPLOYMENTS.bureau.groups.slice(0, 1),
};

/** Long, so that a busy machine causes no election during a test. */
const ELECTION_TIMEOUT_MS = 60_000;

const OPTIONS: BenchOptions = {
  deployment: DEPLOYMENT,
  seed: 4,
  durationMs: 4_000,
  warmUpMs: 500,
  proxies: 3,
  policy: 'ours',
  faults: [],
  requestsPerSecond: 80,
  sessions: 24,
  statementMs: 0,
  electionTimeoutMs: ELECTION_TIMEOUT_MS,
  hasNetworkDelays: false,
};

function ownWritesMissed({ report }: BenchRun): number {
  return report.violations.sessionReadsOwnWrites;
}

test('with a planned stop and concurrent operators no promise is broken, and planned stops are observed', async () => {
  const run = await runBench({ ...OPTIONS, faults: [PROXY_PLANNED_STOP, OPERATORS_RACING] });
  const { report, history } = run;
  assert.equal(report.firstViolations, []);
  assert.ok(report.outcomes.done > 0);
  assert.ok((report.replicaReadShare ?? 0) > 0);
  assert.ok((report.replicaReadShareByProxies ?? 0) > 0);
  assert.not.ok(report.unobserved.includes('plannedStopCutsNothing'));
  assert.ok(history.acceptedConfigurations.length > 0);
  assert.ok(history.configurationSamples.length > 0);
  assert.equal(
    history.plannedStops.map(({ exitCode }) => exitCode),
    [0],
  );
  const page = await renderPage(run);
  assert.is(page.match(/<svg/g)?.length, 7);
  assert.not.match(page, /<script|https?:\/\/(?!www\.w3\.org)/);
});

/** From the start of the fault to the end of the run, no replica has recent writes. */
const REPLICAS_FAR_BEHIND: Fault = {
  name: 'replicas-far-behind',
  summary: 'all replicas of all groups replay a minute late',
  durationMs: Number.POSITIVE_INFINITY,
  begin: async ({ cluster }) => {
    const setLag = async (replayLagMs: number): Promise<void> => {
      const instances = [...cluster.groups.values()].flatMap((group) =>
        group.instances.map(({ name }) => group.setFaults(name, { replayLagMs })),
      );
      await Promise.all(instances);
    };
    await setLag(60_000);
    return { target: 'all replicas', primaryFailures: [], end: () => setLag(0) };
  },
};

test('with replicas far behind our policy breaks no promise, and any-replica misses own writes', async () => {
  const faults = [REPLICAS_FAR_BEHIND];
  const ours = await runBench({ ...OPTIONS, faults });
  assert.equal(ours.report.firstViolations, []);
  const anyReplica = await runBench({ ...OPTIONS, faults, policy: 'any-replica' });
  assert.ok(ownWritesMissed(anyReplica) > 0);
});

test('the policy primary-only reads from no replica', async () => {
  const run = await runBench({ ...OPTIONS, durationMs: 1_000, policy: 'primary-only' });
  assert.is(run.report.replicaReadShare, 0);
  assert.ok(run.report.outcomes.done > 0);
});

test.run();
