/**
 * A replica joins while a change of primary is under way, after the candidate was chosen. The leader and most nodes don't
 * reach the old primary; one node, cut off from the store, still writes there. The newcomer is held by nobody, so that
 * commits are acknowledged once more: the instance that is promoted lacks them.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PromotionSimulation } from '../support/promotion/simulation.js';
import { STORE } from '../support/promotion/store.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
/** Who is a member has been told by then. */
const WARM_UP_MS = 6000;
const STEP_MS = 2;
const WITHIN_MS = 5000;
const LONG_MS = 20_000;
/** A lease is over by then, and a member that refuses is forgotten. */
const SETTLE_MS = 4000;

interface Played {
  readonly simulation: PromotionSimulation;
  /** Acknowledgements that the cut-off node passed on to its callers after the newcomer had come. */
  readonly passedOn: number;
}

function play(seed: number): Played {
  const simulation = new PromotionSimulation({ seed, services: 1 });
  simulation.run(WARM_UP_MS);
  const { group, network, leader, nodes } = simulation;
  const primary = group.leader;
  const [ending, held] = group.instances.filter((instance) => instance !== primary);
  const unaware = nodes.find((node) => node !== leader);
  if (ending === undefined || held === undefined || unaware === undefined) {
    throw new Error('a group has three instances, and there are nodes beside the leader');
  }
  group.remove(ending);
  network.cut(unaware.name, STORE, LONG_MS);
  simulation.run(SETTLE_MS);
  for (const { name } of nodes) {
    if (name !== unaware.name) network.cut(name, primary.address, LONG_MS);
  }
  assert.ok(
    simulation.runUntil(() => held.heldTerm > 0, STEP_MS, WITHIN_MS),
    'a replica is held',
  );
  simulation.run(250);
  const before = unaware.writesAcknowledged;
  group.join();
  simulation.run(300);
  const passedOn = unaware.writesAcknowledged - before;
  simulation.run(5000);
  return { simulation, passedOn };
}

test('no caller is told of a commit that the candidate lacks', () => {
  for (const seed of SEEDS) assert.is(play(seed).passedOn, 0, `seed ${seed}`);
});

test('no instance acknowledges a commit that the candidate lacks', () => {
  for (const seed of SEEDS) {
    const { simulation } = play(seed);
    assert.equal(simulation.violations, [], `seed ${seed}\n${simulation.story}`);
  }
});

test.run();
