/** Reads at replicas, by what enough members have received, miss no acknowledged commit under any schedule of faults. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PromotionSimulation } from '../support/promotion/simulation.js';

const RUNS = 25;
const FIRST_SEED = 20_261_202;
/** Receivers of each commit beside its primary, in these groups. */
const SYNC_REPLICAS = 1;

interface Strikes {
  readonly violations: readonly string[];
  readonly reads: number;
}

function strike(seed: number, assumedSyncReplicas: number): Strikes {
  const simulation = new PromotionSimulation({ seed, assumedSyncReplicas });
  simulation.run(3000);
  simulation.injectFaults(20_000);
  simulation.waitForFaultsToEnd();
  const reads = simulation.nodes.reduce((sum, node) => sum + node.readsAtReplicas, 0);
  return { violations: simulation.violations, reads };
}

const SEEDS = Array.from({ length: RUNS }, (_, index) => FIRST_SEED + index);

test('no read at a replica is stale, whoever leads and whatever fails', () => {
  let reads = 0;
  for (const seed of SEEDS) {
    const struck = strike(seed, SYNC_REPLICAS);
    assert.equal(struck.violations, [], `seed ${seed}`);
    reads += struck.reads;
  }
  assert.ok(reads > 1000, `${reads} reads`);
});

test('counting on one receiver more than there is shows a stale read', () => {
  const isStale = (seed: number): boolean =>
    strike(seed, SYNC_REPLICAS + 1).violations.some((violation) => violation.startsWith('STALE'));
  assert.ok(SEEDS.some(isStale));
});

test.run();
