/**
 * Guards against a service that never accepts writes again. During the first primary change of a group, the replicas are
 * held and the old primary is demoted. Then the store is restored from a backup without the change, and the leader, the
 * only node that knew of it, has been killed. Without a record, the instance that reports itself as primary counts as
 * the primary; here all three are replicas, so no primary is found and none is replaced.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import { STORE_RESTORE_MIX, simulateMixedFaults } from '../support/promotion/mix.js';
import { LONG_MS, Steps } from '../support/promotion/steps.js';

/** To replay: `RETURN_RUNS=1 RETURN_SEED=930270 node dist/test/property/store-return.test.js`. */
const SEED = 930270;

/** Seeds of the schedule below, whose steps wait for the states that they need. */
const SCHEDULE_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
/** Far longer than any change takes. */
const RECOVERY_MS = 20_000;
const PROGRESS_MS = 2000;

/** Plays the change up to the demotion and its loss; whether the group accepts writes in the end. */
function recovers(seed: number, disabledMechanisms: readonly PromotionMechanism[] = []): boolean {
  const steps = new Steps(seed, disabledMechanisms);
  const { simulation, leader } = steps;
  const { group, clock, platform } = simulation;
  const others = steps.others(leader);
  steps.leaveAlone(leader);
  const changeStartedAt = clock.now;
  platform.downUntil = clock.now + LONG_MS;
  group.primary.draining = true;
  steps.until('the primary is demoted', () => group.primary.role === 'replica');
  leader.kill();
  platform.downUntil = 0;
  group.primary.draining = false;
  steps.restoreStore(steps.elapsedSince(changeStartedAt) + 200);
  steps.reconnectToStore(others);
  simulation.run(RECOVERY_MS);
  leader.start();
  simulation.run(RECOVERY_MS);
  assert.equal(simulation.violations, [], `seed ${seed}`);
  const { commits } = group;
  simulation.run(PROGRESS_MS);
  return group.commits > commits;
}

test('a group whose first change was lost gets a primary', () => {
  const { violations, servicesWithoutWrites } = simulateMixedFaults(SEED, STORE_RESTORE_MIX);
  assert.equal([violations, servicesWithoutWrites], [[], []]);
});

test('in a schedule played step by step, the group gets a primary', () => {
  assert.equal(
    SCHEDULE_SEEDS.filter((seed) => !recovers(seed)),
    [],
  );
});

test('without `noted-primary`, it has none for good', () => {
  assert.equal(
    SCHEDULE_SEEDS.filter((seed) => recovers(seed, ['noted-primary'])),
    [],
  );
});

test.run();
