/**
 * Guards against a stale read at a replaced primary. A primary change ends, and the store is restored from a backup
 * without it, while the only node that knows of its end is cut off. The next change gets the same number. Then the store
 * is restored from an older backup, and the node that was cut off writes its record again. If of two records with the
 * same change number the one in the store counts as the later one, the first change replaces the second.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import { STORE_RESTORE_MIX, simulateMixedFaults } from '../support/promotion/mix.js';
import type { PromotionSimulation } from '../support/promotion/simulation.js';
import { Steps } from '../support/promotion/steps.js';

/** To replay: `RETURN_RUNS=1 RETURN_SEED=930569 node dist/test/property/store-return.test.js`. */
const SEED = 930569;

/** Seeds of the schedule below, whose steps wait for the states that they need. */
const SCHEDULE_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** Both changes have number 1; only the first leader knows the first, and it writes its record again at the end. */
function play(
  seed: number,
  disabledMechanisms: readonly PromotionMechanism[] = [],
): PromotionSimulation {
  const steps = new Steps(seed, disabledMechanisms);
  const { simulation, leader: firstLeader } = steps;
  const { group, clock } = simulation;
  const others = steps.others(firstLeader);
  steps.leaveAlone(firstLeader);
  const changesStartedAt = clock.now;
  const initial = group.primary;
  group.crash(initial);
  steps.untilReplaced(initial, firstLeader);
  const deposed = group.primary;
  steps.cutFromStore([firstLeader]);
  steps.until('its lease has expired', () => !steps.hasStore(firstLeader));
  group.restart(initial);
  steps.restoreStore(steps.elapsedSince(changesStartedAt) + 200);
  steps.reconnectToStore(others);
  steps.until('the others know the primary by its own claim', () =>
    others.every((node) => steps.primaryIdAt(node) === deposed.id),
  );
  simulation.run(3000);
  const secondLeader = steps.leader;
  const [reader] = others.filter((node) => node !== secondLeader);
  if (reader === undefined) throw new Error('there are nodes beside the leaders');
  steps.isolate(deposed, steps.others(reader));
  steps.untilReplaced(deposed, secondLeader);
  simulation.run(500);
  steps.cutFromStore(others);
  steps.restoreStore(steps.elapsedSince(changesStartedAt) + 200);
  steps.reconnectToStore([firstLeader]);
  steps.until('the first record is back', () => steps.hasPrimaryRecord());
  steps.reconnectToStore(others);
  simulation.run(6000);
  return simulation;
}

test('a record of an earlier term is not taken for the later one', () => {
  const { violations, servicesWithoutWrites } = simulateMixedFaults(SEED, STORE_RESTORE_MIX);
  assert.equal([violations, servicesWithoutWrites], [[], []]);
});

test('in a schedule played step by step, the record of the earlier term is not taken for the later one', () => {
  for (const seed of SCHEDULE_SEEDS) {
    const { violations, eventLog } = play(seed);
    assert.equal(violations, [], `seed ${seed}\n${eventLog}`);
  }
});

test('without `later-term`, reads at the deposed primary in that schedule are stale', () => {
  for (const seed of SCHEDULE_SEEDS) {
    const { violations } = play(seed, ['later-term', 'fresh-suspicions']);
    assert.ok(
      violations.some((violation) => violation.startsWith('STALE')),
      `seed ${seed}`,
    );
  }
});

test.run();
