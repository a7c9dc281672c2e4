/** Reads at replicas that have reached a proven position miss no acknowledged commit under any schedule of faults. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PromotionSimulation } from '../support/promotion/simulation.js';

const RUNS = 25;
const FIRST_SEED = 20_261_202;
/** Number of replicas that receive each commit before it is acknowledged. */
const SYNC_REPLICAS = 1;

interface Result {
  readonly violations: readonly string[];
  readonly reads: number;
}

function play(seed: number, assumedSyncReplicas: number): Result {
  const simulation = new PromotionSimulation({ seed, assumedSyncReplicas });
  simulation.run(3000);
  simulation.injectFaults(20_000);
  simulation.waitForFaultsToEnd();
  const reads = simulation.nodes.reduce((sum, node) => sum + node.readsAtReplicas, 0);
  return { violations: simulation.violations, reads };
}

const SEEDS = Array.from({ length: RUNS }, (_, index) => FIRST_SEED + index);

test('no read at a replica is stale under any faults', () => {
  let reads = 0;
  for (const seed of SEEDS) {
    const result = play(seed, SYNC_REPLICAS);
    assert.equal(result.violations, [], `seed ${seed}`);
    reads += result.reads;
  }
  assert.ok(reads > 1000, `${reads} reads`);
});

test('with one more assumed receiver than there is, reads are stale', () => {
  const isStale = (seed: number): boolean =>
    play(seed, SYNC_REPLICAS + 1).violations.some((violation) => violation.startsWith('STALE'));
  assert.ok(SEEDS.some(isStale));
});

test.run();
