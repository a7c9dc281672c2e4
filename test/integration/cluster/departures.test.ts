/**
 * Back ends and proxies that leave, under load: a leaving back end gets no new work soon after its
 * mark is visible, and a planned stop of any proxy cuts nothing and loses no transaction.
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
/** Far above what a busy machine delays a heartbeat by: a leaving replica must not be elected. */
const ELECTION_TIMEOUT_MS = 5_000;
/** Far above what a busy machine takes for a request: only the restarts may make one fail. */
const DEADLINE_MS = 10_000;
const WRITES_BETWEEN = 20;
/** No new work from then on after the mark is visible. */
const GRACE_MS = 2_000;
const OBSERVED_MS = 4_500;

const test = suite<{ cluster: Cluster }>('departures');

test.before(async (context) => {
  context.cluster = await startLoadedCluster({
    seed: 3,
    electionTimeoutMs: ELECTION_TIMEOUT_MS,
    // A proxy that leaves closes its links: nothing here shows by their silence.
    proxyFlags: [LONG_HEARTBEAT_FLAG],
  });
});

test.after(async ({ cluster }) => {
  await cluster.stop();
});

/** Marks an instance as leaving and resolves once it was observed long enough. */
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
  const marked = recorder.recordLeavingMark(name, visibleAt);
  await meanwhile();
  await until('observed beyond the grace', () => nowMs() > visibleAt + OBSERVED_MS);
  marked();
  await cluster.machines.upsert({ ...machine, state: 'live' });
}

function assertNoLateWork(history: History): void {
  assert.is(history.leavings.length, 1);
  assert.equal(checkLeaving(history, GRACE_MS), []);
  assertNoViolations(history);
}

test('a leaving replica gets no new work', async ({ cluster }) => {
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

test('a leaving primary gets no new work once the group has another', async ({ cluster }) => {
  const group = cluster.group(LOADED_GROUP);
  const history = await loadUnderFault({
    cluster,
    seed: 302,
    partMs: PART_MS,
    fault: async (progress, recorder) => {
      const primary = await group.waitForPrimary();
      const successor = group.instances.find(({ name }) => name !== primary.name);
      assert.ok(successor);
      await progress.waitForWrites(WRITES_BETWEEN);
      await observeLeaving(cluster, primary.name, recorder, async () => {
        await group.promote(successor.name);
        await progress.waitForWrites(WRITES_BETWEEN);
      });
    },
  });
  assertNoLateWork(history);
});

test('a rolling restart of all proxies cuts nothing and loses no transaction', async ({
  cluster,
}) => {
  const history = await loadUnderFault({
    cluster,
    seed: 303,
    partMs: PART_MS,
    deadlineMs: DEADLINE_MS,
    fault: async (progress, recorder) => {
      for (const { nodeId, zone, stop } of [...cluster.proxies.values()]) {
        await progress.waitForWrites(WRITES_BETWEEN);
        const requestedAt = nowMs();
        recorder.recordProxyStop(nodeId);
        const exitCode = (await stop()) ?? undefined;
        recorder.recordPlannedStop({ proxy: nodeId, requestedAt, exitedAt: nowMs(), exitCode });
        await cluster.startProxy({ nodeId, zone });
        recorder.recordProxyStart(nodeId);
      }
      await progress.waitForWrites(WRITES_BETWEEN);
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
