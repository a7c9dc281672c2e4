/**
 * A node that starts after the registration of a primary has expired knows the primary only by its id in the record, not
 * its address, and can query only the other members. That primary and one more unresponsive member may be the only ones
 * with a commit, so the other responses prove nothing. The same holds for any member whose registration expired before
 * the node started: it goes on serving, and only the leader's record lists it.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PromotionSimulation } from '../support/promotion/simulation.js';

/** Seeds in which a node starts like this. */
const SEEDS = [163, 252, 434, 497, 527, 642, 659, 686, 762, 976, 1023, 1059];

test('a primary known only by its record counts as unresponsive', () => {
  for (const seed of SEEDS) {
    const simulation = new PromotionSimulation({ seed, assumedSyncReplicas: 1 });
    simulation.run(3000);
    simulation.injectFaults(20_000);
    simulation.waitForFaultsToEnd();
    assert.equal(simulation.violations, [], `seed ${seed}`);
  }
});

test('a member whose registration expired before the node started counts as a member', () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const simulation = new PromotionSimulation({ seed, services: 1, assumedSyncReplicas: 1 });
    simulation.run(3000);
    const { group, clock, nodes } = simulation;
    const [leaving, lagging] = group.instances.filter((instance) => instance !== group.primary);
    const [node] = nodes;
    if (leaving === undefined || lagging === undefined || node === undefined) {
      throw new Error('a group has three instances, and there are nodes');
    }
    // It loses its registration and goes on serving; from here on only it and the primary receive commits.
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
