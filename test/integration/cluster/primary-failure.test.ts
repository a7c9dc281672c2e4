/**
 * A primary that is paused or killed, alone or together with another fault: no acknowledged write is lost, no
 * keyed write runs twice, no write reported as not run has run, and every caller gets a final response.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Cluster } from '../../../bench/harness/cluster.js';
import {
  nextTimelineOf,
  runScenario,
  type Scenario,
  WRITES_AFTER,
  waitForOtherPrimary,
} from '../../support/failover-scenario.js';
import { assertNoViolations, startLoadedCluster } from '../../support/loaded-cluster.js';

const test = suite<{ cluster: Cluster }>('primary failure');

test.before(async (context) => {
  context.cluster = await startLoadedCluster({ seed: 1 });
});

test.after(async ({ cluster }) => {
  await cluster.stop();
});

const SCENARIOS: readonly Scenario[] = [
  {
    name: 'paused and resumed',
    seed: 104,
    fault: async (target) => {
      const { group, primary, progress } = target;
      const timeline = await nextTimelineOf(target);
      group.pause(primary.name);
      await waitForOtherPrimary(group, primary.name, timeline);
      await progress.waitForWrites(WRITES_AFTER);
      group.resume(primary.name);
    },
  },
  {
    name: 'killed',
    seed: 105,
    fault: async (target) => {
      const { group, primary, progress } = target;
      const timeline = await nextTimelineOf(target);
      await group.kill(primary.name);
      await group.waitForPrimary(timeline);
      await progress.waitForWrites(WRITES_AFTER);
      await group.restart(primary.name);
    },
  },
  {
    name: 'replaced twice in quick succession',
    seed: 106,
    fault: async (target) => {
      const { group, primary, progress } = target;
      const timeline = await nextTimelineOf(target);
      await group.isolate(primary.name, true);
      const second = await waitForOtherPrimary(group, primary.name, timeline);
      await group.isolate(primary.name, false);
      await group.waitForState(primary.name, (state) => state.timeline >= timeline);
      await group.isolate(second.name, true);
      await waitForOtherPrimary(group, second.name, timeline + 1);
      await progress.waitForWrites(WRITES_AFTER);
      await group.isolate(second.name, false);
    },
  },
  {
    name: 'killed while one replica is far behind',
    seed: 107,
    fault: async (target) => {
      const { group, primary, progress } = target;
      const timeline = await nextTimelineOf(target);
      const [lagging] = group.instances.filter(({ name }) => name !== primary.name);
      assert.ok(lagging);
      await group.setFaults(lagging.name, { receiveStall: true, replayLagMs: 500 });
      await progress.waitForWrites(WRITES_AFTER);
      await group.kill(primary.name);
      await group.waitForPrimary(timeline);
      // A majority must receive a write before it is acknowledged; with two instances left, both must receive it.
      await group.setFaults(lagging.name, { receiveStall: false });
      await progress.waitForWrites(WRITES_AFTER);
      await group.setFaults(lagging.name, { replayLagMs: 0 });
      await group.restart(primary.name);
    },
  },
  {
    name: 'killed at the same moment as an owner of the group',
    seed: 108,
    killedProxies: ['proxy-1'],
    fault: async (target) => {
      const { cluster, group, primary, progress } = target;
      const timeline = await nextTimelineOf(target);
      const owner = cluster.proxy('proxy-1');
      await Promise.all([group.kill(primary.name), owner.kill()]);
      await group.waitForPrimary(timeline);
      await progress.waitForWrites(WRITES_AFTER);
      await Promise.all([
        group.restart(primary.name),
        cluster.startProxy({ nodeId: owner.nodeId, zone: owner.zone }),
      ]);
    },
  },
  {
    name: 'killed while the store is down',
    seed: 109,
    fault: async (target) => {
      const { cluster, group, primary, progress } = target;
      const timeline = await nextTimelineOf(target);
      await cluster.store.setFaults({ outage: 'refuse' });
      await group.kill(primary.name);
      await group.waitForPrimary(timeline);
      await progress.waitForWrites(WRITES_AFTER);
      await group.restart(primary.name);
      await cluster.store.heal();
    },
  },
];

for (const scenario of SCENARIOS) {
  test(`no promise is broken if the primary is ${scenario.name}`, async ({ cluster }) => {
    const history = await runScenario(cluster, scenario);
    assertNoViolations(history, scenario.killedProxies);
  });
}

test.run();
