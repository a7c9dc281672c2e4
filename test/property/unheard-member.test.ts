/**
 * What a caller saw: a read that misses a commit which was acknowledged 26 ms before it began. In order: an instance of a group is replaced in place
 * and crashes again before a node that starts has seen its entry; the node is cut off from the store; the instance comes back, and
 * commits stand on it and on the primary, while the third member receives nothing; the node asks the members that it
 * knows, the primary's answer is late, and it reads at the third one.
 *
 * Cause: a round with one silent member is taken to prove the newest position, since one that has each commit must have answered. That holds among
 * all members; here the two that had it were the silent primary and one that this node had never heard of. Evidence, at the read: answers
 * "group-1-2 replica 635, group-1-1 none", while the group has group-1-0.2 at 655 and group-1-1 at 656. The record
 * that all nodes follow names forgotten members since, so that this node asks it. A newcomer of which no record tells is the matter of
 * `unheard-newcomer`.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  LATER_MECHANISMS,
  MIXED_FAULT_KINDS,
  simulateMixedFaults,
} from '../support/promotion/mix.js';

/** `MIX_RUNS=1 MIX_SEED=712465 node dist/test/property/promotion-mix.test.js`, found among 710000 to 714999 */
const SEED = 712465;

test('a node reads at no replica by what members tell that it has not heard of', () => {
  const { violations, servicesWithoutWrites } = simulateMixedFaults(SEED);
  assert.equal([violations, servicesWithoutWrites], [[], []]);
});

test('so it is where nodes know no more of members than in the course that was found', () => {
  const others = LATER_MECHANISMS.filter((mechanism) => mechanism !== 'current-members');
  const { violations, servicesWithoutWrites } = simulateMixedFaults(
    SEED,
    MIXED_FAULT_KINDS,
    others,
  );
  assert.equal([violations, servicesWithoutWrites], [[], []]);
});

test('by a list of members that may be old it reads what misses a commit', () => {
  const { violations } = simulateMixedFaults(SEED, MIXED_FAULT_KINDS, LATER_MECHANISMS);
  assert.ok(
    violations.some((violation) => violation.startsWith('STALE: read by node-3 at group-1-2')),
  );
});

test.run();
