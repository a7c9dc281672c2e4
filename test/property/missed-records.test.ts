/**
 * Guards against stale reads at a replaced primary. The primary is replaced while a node is cut off from the store. Then
 * the store is restored from a backup older than the change and serves that node again. The node registers, reads the
 * records and trusts the primary of the backup, 0.1 s before another node writes the lost record again. That happens if
 * a process assumes that it remembers everything that the backup lacks, although it did not follow the store up to the
 * restore.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import { STORE_RESTORE_MIX, simulateMixedFaults } from '../support/promotion/mix.js';
import type { PromotionSimulation } from '../support/promotion/simulation.js';
import { LONG_MS, Steps } from '../support/promotion/steps.js';

/** To replay: `RETURN_RUNS=1 RETURN_SEED=930858 node dist/test/property/store-return.test.js`. */
const SEED = 930858;

/** Seeds of the schedule below, whose steps wait for the states that they need. */
const SCHEDULE_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** The reader misses the second change; after the restore it is the only node that reaches the store. */
function play(
  seed: number,
  disabledMechanisms: readonly PromotionMechanism[] = [],
): PromotionSimulation {
  const steps = new Steps(seed, disabledMechanisms);
  const { simulation, leader } = steps;
  const { group, network, clock } = simulation;
  const [reader] = steps.others(leader);
  if (reader === undefined) throw new Error('there are nodes beside the leader');
  steps.replaceCrashedPrimary(leader);
  steps.cutFromStore([reader]);
  const changeStartedAt = clock.now;
  const deposed = group.primary;
  steps.isolate(deposed, steps.others(reader));
  for (const { address } of group.instances) {
    if (address !== deposed.address) network.cut(reader.name, address, LONG_MS);
  }
  steps.untilReplaced(deposed, leader);
  simulation.run(500);
  steps.cutFromStore(steps.others(reader));
  steps.restoreStore(steps.elapsedSince(changeStartedAt) + 300);
  steps.reconnectToStore([reader]);
  simulation.run(1500);
  steps.reconnectToStore(steps.others(reader));
  simulation.run(3000);
  return simulation;
}

test('a node that was cut off at a return of the store trusts no primary by the copy alone', () => {
  const { violations, servicesWithoutWrites } = simulateMixedFaults(SEED, STORE_RESTORE_MIX);
  assert.equal([violations, servicesWithoutWrites], [[], []]);
});

test('in a schedule played step by step, the node reads nothing stale', () => {
  for (const seed of SCHEDULE_SEEDS) {
    const { violations, eventLog } = play(seed);
    assert.equal(violations, [], `seed ${seed}\n${eventLog}`);
  }
});

test('without `era-coverage`, its reads in that schedule are stale', () => {
  for (const seed of SCHEDULE_SEEDS) {
    const { violations } = play(seed, ['era-coverage']);
    assert.ok(
      violations.some((violation) => violation.startsWith('STALE')),
      `seed ${seed}`,
    );
  }
});

test.run();
