/**
 * A node that starts after a primary's entry went knows its id by the record and nothing more, and asks the other
 * members for the position that every acknowledged commit is at or before. That primary and one more silent member
 * may be all that have a commit: what the rest tells is no proof. The same where a member's entry went before the node
 * began: it serves on, and only the leader's record tells of it.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PromotionSimulation } from '../support/promotion/simulation.js';

/** Schedules in which a node has started so. */
const SEEDS = [163, 252, 434, 497, 527, 642, 659, 686, 762, 976, 1023, 1059];

test('a primary that is known by its record alone counts as silent', () => {
  for (const seed of SEEDS) {
    const simulation = new PromotionSimulation({ seed, assumedSyncReplicas: 1 });
    simulation.run(3000);
    simulation.injectFaults(20_000);
    simulation.waitForFaultsToEnd();
    assert.equal(simulation.violations, [], `seed ${seed}`);
  }
});

test('a member whose entry went before a node began counts as one', () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const simulation = new PromotionSimulation({ seed, services: 1, assumedSyncReplicas: 1 });
    simulation.run(3000);
    const { group, clock, nodes } = simulation;
    const [leaving, lagging] = group.instances.filter((instance) => instance !== group.primary);
    const [node] = nodes;
    if (leaving === undefined || lagging === undefined || node === undefined) {
      throw new Error('a group has three instances, and there are nodes');
    }
    // It leaves without a word and serves on: with the primary it has all that is acknowledged from here on.
    leaving.isRegistered = false;
    lagging.notReceivingUntil = clock.now + 6000;
    node.kill();
    simulation.run(300);
    node.start();
    simulation.run(4000);
    assert.equal(simulation.violations, [], `seed ${seed}`);
  }
});

test.run();
