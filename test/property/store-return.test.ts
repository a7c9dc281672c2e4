/**
 * The store is restored from a backup, once or twice in a row, with all other faults of the mixed model. Backups are 0.1
 * to 10 s old, outages last 0 to 5 s. For more seeds: `RETURN_RUNS=2000 RETURN_SEED=1`.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import { isClean, STORE_RESTORE_MIX, simulateMixedFaults } from '../support/promotion/mix.js';

const RUNS = Number(process.env.RETURN_RUNS ?? 25);
const FIRST_SEED = Number(process.env.RETURN_SEED ?? 20_261_203);

/** A restore brings back the key of a leader that had resigned, on a lease that is still renewed; no node becomes leader. */
const LEADER_KEY_RESTORED = [75, 87, 192, 200, 277, 287];

function findingsOf(
  seeds: readonly number[],
  disabledMechanisms: readonly PromotionMechanism[] = [],
) {
  return seeds
    .map((seed) => simulateMixedFaults(seed, STORE_RESTORE_MIX, disabledMechanisms))
    .filter((outcome) => !isClean(outcome))
    .map(
      ({ seed, violations, servicesWithoutWrites }) =>
        `${seed}: ${[...violations, ...servicesWithoutWrites].join('; ')}`,
    );
}

/** Mechanisms, and seeds with a violation or a stopped service without them. */
const NEEDED_MECHANISMS: readonly (readonly [PromotionMechanism, readonly number[]])[] = [
  ['era-registration', [4, 6, 8, 16, 20, 21, 30, 31, 32, 52]],
  ['lost-records', [1, 13, 22, 28, 49, 23, 30, 31, 38, 51]],
];

/**
 * A restore reverts the leader's handover record. In 112 and 923 the members with the log have left, and one that has
 * just joined is promoted; in 139 a departed member has come back and is not queried.
 */
const HANDOVER_RESTORED = [112, 923, 139];
/** After several restores an older list of members counts as the later one because of its revision. */
const OLDER_MEMBERS_RESTORED = [232];
/** A node that has just started sees only the backup, and reads at replicas without the member with the newest commit. */
const STARTED_AFTER_RESTORE = [1650];

test('no seed has a violation, and every service accepts writes at the end', () => {
  const seeds = Array.from({ length: RUNS }, (_, index) => FIRST_SEED + index);
  assert.equal(findingsOf(seeds), []);
});

test('a restored leader key without a leader is removed', () => {
  assert.equal(findingsOf(LEADER_KEY_RESTORED), []);
});

test('the members are known to all nodes, also when the handover record is reverted', () => {
  assert.equal(findingsOf([...HANDOVER_RESTORED, ...OLDER_MEMBERS_RESTORED]), []);
});

test('a process that has seen only the current store era relies on no record until the era has settled', () => {
  assert.equal(findingsOf(STARTED_AFTER_RESTORE), []);
});

for (const [mechanism, seeds] of NEEDED_MECHANISMS) {
  test(`without ${mechanism} there is a violation or a service stops`, () => {
    assert.ok(findingsOf(seeds, [mechanism]).length > 0);
  });
}

test.run();
