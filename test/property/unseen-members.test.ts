/**
 * A node that starts after a primary's entry went knows its id by the record and nothing more, and asks the other
 * members for the position that every acknowledged commit is at or before. That primary and one more silent member
 * may be all that have a commit: what the rest tells is no proof.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PromotionSimulation } from '../support/promotion/simulation.js';

/** Schedules in which a node has started so. */
const SEEDS = [163, 497, 659, 976, 1023];

test('a primary that is known by its record alone counts as silent', () => {
  for (const seed of SEEDS) {
    const simulation = new PromotionSimulation({ seed, replicaReadsTrusting: 1 });
    simulation.run(3000);
    simulation.strike(20_000);
    simulation.heal();
    assert.equal(simulation.violations, [], `seed ${seed}`);
  }
});

test.run();
