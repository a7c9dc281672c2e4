/**
 * A store that comes back from a copy of itself, once or twice in a row, beside every other fault of the mixed model: copies 0.1 to 10 s
 * old, absences of 0 to 5 s. More seeds by hand: `RETURN_RUNS=2000 RETURN_SEED=1`.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import { isClean, STORE_RESTORE_MIX, simulateMixedFaults } from '../support/promotion/mix.js';

const RUNS = Number(process.env.RETURN_RUNS ?? 25);
const FIRST_SEED = Number(process.env.RETURN_SEED ?? 20_261_203);

/** A leader had resigned; the return brought its key back, on a lease that lived on, and nobody took the lead any more. */
const KEY_CAME_BACK = [75, 87, 192, 200, 277, 287];

function findingsOf(seeds: readonly number[], disabled: readonly PromotionMechanism[] = []) {
  return seeds
    .map((seed) => simulateMixedFaults(seed, STORE_RESTORE_MIX, disabled))
    .filter((outcome) => !isClean(outcome))
    .map(
      ({ seed, violations, servicesWithoutWrites }) =>
        `${seed}: ${[...violations, ...servicesWithoutWrites].join('; ')}`,
    );
}

/** Seeds that need a mechanism. */
const SWITCHED_OFF: readonly (readonly [PromotionMechanism, readonly number[]])[] = [
  ['era-registration', [4, 6, 8, 16, 20, 21, 30, 31, 32, 52]],
  ['lost-records', [1, 13, 22, 28, 49, 23, 30, 31, 38, 51]],
];

/**
 * The leader's notes went back. In 112 and 923 the members that had the log had left by then, and one that had just joined was promoted; in 139 one
 * that was forgotten had come back, and was not asked.
 */
const NOTES_WENT_BACK = [112, 923, 139];
/** After several returns an older list of members was taken for the later one, by its revision. */
const OLDER_MEMBERS = [232];
/** A node that had just started saw only the copy, and read at replicas without the member that had the newest commit. */
const NO_MEMORY = [1650];

test('no seed breaks a promise, and every service takes writes in the end', () => {
  const seeds = Array.from({ length: RUNS }, (_, index) => FIRST_SEED + index);
  assert.equal(findingsOf(seeds), []);
});

test('a leader key that comes back without a leader is removed', () => {
  assert.equal(findingsOf(KEY_CAME_BACK), []);
});

test("members that count are known from what all nodes follow, though the leader's notes went back", () => {
  assert.equal(findingsOf([...NOTES_WENT_BACK, ...OLDER_MEMBERS]), []);
});

test('a process that has only heard of the present era relies on no record before that is settled', () => {
  assert.equal(findingsOf(NO_MEMORY), []);
});

for (const [mechanism, seeds] of SWITCHED_OFF) {
  test(`without ${mechanism} a promise is broken or a service stops`, () => {
    assert.ok(findingsOf(seeds, [mechanism]).length > 0);
  });
}

test.run();
