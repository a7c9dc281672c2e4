/**
 * The mixed model: delayed processes, members that join, leave, end with their logs and get successors at their
 * addresses, a store that refuses some nodes, and all other faults. For more seeds: `MIX_RUNS=5000 MIX_SEED=1`.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { isClean, type MixOutcome, simulateMixedFaults } from '../support/promotion/mix.js';

const RUNS = Number(process.env.MIX_RUNS ?? 30);
const FIRST_SEED = Number(process.env.MIX_SEED ?? 20_261_202);

/** A node that has just started reads at a replica without proof, since it does not know departed members. */
const UNPROVEN_READS = [5, 56, 108, 121, 168, 215, 319, 365, 1107, 1355, 1898, 1905];
/** The same with a member that has just joined and that no node knows yet. */
const JUST_JOINED = [10177, 10996, 11787, 12762, 14041, 14446, 14566];
/** A member ends with its log, the primary is replaced at its address, and no promotion follows. */
const NEVER_PROMOTED = [
  30, 32, 50, 80, 81, 89, 102, 131, 185, 246, 248, 257, 269, 281, 293, 305, 359, 393,
];
/** The successor of a primary that the leader has never seen is not found. */
const UNSEEN_PRIMARY = [488, 1940];

function reportOf({ seed, violations, servicesWithoutWrites }: MixOutcome): string {
  return `seed ${seed}: ${[...violations, ...servicesWithoutWrites.map((it) => `stopped ${it}`)].join('; ')}`;
}

function findingsOf(seeds: readonly number[]): string {
  const failed = seeds
    .map((seed) => simulateMixedFaults(seed))
    .filter((outcome) => !isClean(outcome));
  return failed.map(reportOf).join('\n');
}

test('no seed has a violation, and every service accepts writes at the end', () => {
  assert.is(findingsOf(Array.from({ length: RUNS }, (_, index) => FIRST_SEED + index)), '');
});

test('seeds that can read without proof have no violation', () => {
  assert.is(findingsOf([...UNPROVEN_READS, ...JUST_JOINED]), '');
});

test('seeds that can leave a service without a primary promote one', () => {
  assert.is(findingsOf([...NEVER_PROMOTED, ...UNSEEN_PRIMARY]), '');
});

test.run();
