/**
 * A replica joins during a primary change, after the candidate was chosen. The leader and most nodes can't reach the old
 * primary, but one node that is cut off from the store still writes there. No one holds the new replica, so it completes
 * commits at the old primary again, and the promoted instance lacks them.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PromotionSimulation } from '../support/promotion/simulation.js';
import { STORE } from '../support/promotion/store.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
/** By then the members are published. */
const WARM_UP_MS = 6000;
const STEP_MS = 2;
const TIMEOUT_MS = 5000;
const CUT_MS = 20_000;
/** By then a lease has expired, and a member that refuses connections has been removed. */
const SETTLE_MS = 4000;

interface Played {
  readonly simulation: PromotionSimulation;
  /** Acknowledgements that the cut-off node sent to its callers after the new replica had joined. */
  readonly relayedCount: number;
}

function play(seed: number): Played {
  const simulation = new PromotionSimulation({ seed, services: 1 });
  simulation.run(WARM_UP_MS);
  const { group, network, leader, nodes } = simulation;
  const primary = group.primary;
  const [ending, held] = group.instances.filter((instance) => instance !== primary);
  const cutOffNode = nodes.find((node) => node !== leader);
  if (ending === undefined || held === undefined || cutOffNode === undefined) {
    throw new Error('a group has three instances, and there are nodes beside the leader');
  }
  group.remove(ending);
  network.cut(cutOffNode.name, STORE, CUT_MS);
  simulation.run(SETTLE_MS);
  for (const { name } of nodes) {
    if (name !== cutOffNode.name) network.cut(name, primary.address, CUT_MS);
  }
  assert.ok(
    simulation.runUntil(() => held.heldTerm > 0, STEP_MS, TIMEOUT_MS),
    'a replica is held',
  );
  simulation.run(250);
  const before = cutOffNode.writesAcknowledged;
  group.join();
  simulation.run(300);
  const relayedCount = cutOffNode.writesAcknowledged - before;
  simulation.run(5000);
  return { simulation, relayedCount };
}

test('no commit that the candidate lacks is acknowledged to a caller', () => {
  for (const seed of SEEDS) assert.is(play(seed).relayedCount, 0, `seed ${seed}`);
});

test('no instance acknowledges a commit that the candidate lacks', () => {
  for (const seed of SEEDS) {
    const { simulation } = play(seed);
    assert.equal(simulation.violations, [], `seed ${seed}\n${simulation.eventLog}`);
  }
});

test.run();
