/**
 * Back ends that are decommissioned and proxies that stop, under load: a back end marked as leaving soon gets no
 * new work, and a graceful shutdown of any proxy cuts no request and loses no transaction.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkLeaving } from '../../../bench/checkers/departures.js';
import type { Cluster } from '../../../bench/harness/cluster.js';
import type { History } from '../../../bench/history/model.js';
import { nowMs } from '../../../bench/load/clock.js';
import type { RunRecorder } from '../../../bench/recorders/run-recorder.js';
import { LONG_HEARTBEAT_FLAG } from '../../support/cluster.js';
import {
  assertNoViolations,
  LOADED_GROUP,
  loadUnderFault,
  startLoadedCluster,
} from '../../support/loaded-cluster.js';
import { until } from '../../support/until.js';

const PART_MS = 2_000;
/** Far above the delay of a heartbeat on a busy machine, so that no election makes a leaving replica primary. */
const ELECTION_TIMEOUT_MS = 5_000;
/** Far above a request's duration on a busy machine, so that only the restarts can make one fail. */
const DEADLINE_MS = 10_000;
const WRITES_PER_STEP = 20;
/** Time after the mark is visible from which a back end must get no new work. */
const LEAVING_GRACE_MS = 2_000;
const OBSERVED_MS = 4_500;

const test = suite<{ cluster: Cluster }>('departures');

test.before(async (context) => {
  context.cluster = await startLoadedCluster({
    seed: 3,
    electionTimeoutMs: ELECTION_TIMEOUT_MS,
    // Long timeouts: a stopping proxy closes its links, so that no test needs silent links to be detected.
    proxyFlags: [LONG_HEARTBEAT_FLAG],
  });
});

test.after(async ({ cluster }) => {
  await cluster.stop();
});

/** Marks an instance as leaving, and resolves when it has been observed for OBSERVED_MS. */
async function observeLeaving(
  cluster: Cluster,
  name: string,
  recorder: RunRecorder,
  meanwhile: () => Promise<void>,
): Promise<void> {
  const { actual } = await cluster.machines.state();
  const machine = actual.find((one) => one.role === 'database' && one.name === name);
  assert.ok(machine);
  await cluster.machines.markLeaving({ role: 'database', name });
  const visibleAt = nowMs();
  const endRecord = recorder.recordLeavingMark(name, visibleAt);
  await meanwhile();
  await until('observed beyond the grace', () => nowMs() > visibleAt + OBSERVED_MS);
  endRecord();
  await cluster.machines.upsert({ ...machine, state: 'live' });
}

function assertNoLateWork(history: History): void {
  assert.is(history.leavings.length, 1);
  assert.equal(checkLeaving(history, LEAVING_GRACE_MS), []);
  assertNoViolations(history);
}

test('a replica marked as leaving gets no new work after the grace period', async ({ cluster }) => {
  const group = cluster.group(LOADED_GROUP);
  const history = await loadUnderFault({
    cluster,
    seed: 301,
    partMs: PART_MS,
    fault: async (progress, recorder) => {
      const primary = await group.waitForPrimary();
      const replica = group.instances.find(({ name }) => name !== primary.name);
      assert.ok(replica);
      await progress.waitForRecords(5, 'replica reads', ({ servedBy }) => servedBy === 'replica');
      await observeLeaving(cluster, replica.name, recorder, () => {
        return progress.waitForRecords(
          20,
          'replica reads',
          ({ servedBy }) => servedBy === 'replica',
        );
      });
      assert.is((await group.state(replica.name)).role, 'replica', 'no election meanwhile');
    },
  });
  assertNoLateWork(history);
});

test('a primary marked as leaving gets no new work after another instance is promoted', async ({
  cluster,
}) => {
  const group = cluster.group(LOADED_GROUP);
  const history = await loadUnderFault({
    cluster,
    seed: 302,
    partMs: PART_MS,
    fault: async (progress, recorder) => {
      const primary = await group.waitForPrimary();
      const successor = group.instances.find(({ name }) => name !== primary.name);
      assert.ok(successor);
      await progress.waitForWrites(WRITES_PER_STEP);
      await observeLeaving(cluster, primary.name, recorder, async () => {
        await group.promote(successor.name);
        await progress.waitForWrites(WRITES_PER_STEP);
      });
    },
  });
  assertNoLateWork(history);
});

test('a rolling restart of all proxies leaves no request of unknown outcome and aborts no transaction', async ({
  cluster,
}) => {
  const history = await loadUnderFault({
    cluster,
    seed: 303,
    partMs: PART_MS,
    deadlineMs: DEADLINE_MS,
    fault: async (progress, recorder) => {
      for (const { nodeId, zone, stop } of [...cluster.proxies.values()]) {
        await progress.waitForWrites(WRITES_PER_STEP);
        const requestedAt = nowMs();
        recorder.recordProxyStop(nodeId);
        const exitCode = (await stop()) ?? undefined;
        recorder.recordPlannedStop({ proxy: nodeId, requestedAt, exitedAt: nowMs(), exitCode });
        await cluster.startProxy({ nodeId, zone });
        recorder.recordProxyStart(nodeId);
      }
      await progress.waitForWrites(WRITES_PER_STEP);
    },
  });
  assert.is(history.plannedStops.length, 3);
  assertNoViolations(history);
  const lost = history.requests.filter(({ outcome, errorCode }) => {
    return outcome === 'unknown' || errorCode === 'MS-TRANSACTION-ABORTED';
  });
  assert.equal(lost, []);
});

test.run();
