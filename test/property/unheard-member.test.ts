/**
 * Guards against a stale read at a replica. An instance is replaced at its address and crashes again before a starting
 * node has seen its registration. The node is cut off from the store. The instance comes back, and only it and the
 * primary receive commits, since the third member receives nothing. The node queries the members that it knows, the
 * primary's response is late, and the node reads at the third one.
 *
 * A query round with one missing response proves the newest position only if the node knows all members. Here the two
 * members with the commit are the unresponsive primary and one unknown to the node: in this seed the third member is at
 * 635, the others at 655 and 656. The record that all nodes follow lists departed members, so the node queries it.
 * `unheard-newcomer` covers a new member that no record lists.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  LATER_MECHANISMS,
  MIXED_FAULT_KINDS,
  simulateMixedFaults,
} from '../support/promotion/mix.js';

/** To replay: `MIX_RUNS=1 MIX_SEED=712465 node dist/test/property/promotion-mix.test.js`. */
const SEED = 712465;

test('a node does not read at a replica by a round that lacks an unknown member', () => {
  const { violations, servicesWithoutWrites } = simulateMixedFaults(SEED);
  assert.equal([violations, servicesWithoutWrites], [[], []]);
});

test('the read is also prevented by the mechanism `current-members` alone', () => {
  const others = LATER_MECHANISMS.filter((mechanism) => mechanism !== 'current-members');
  const { violations, servicesWithoutWrites } = simulateMixedFaults(
    SEED,
    MIXED_FAULT_KINDS,
    others,
  );
  assert.equal([violations, servicesWithoutWrites], [[], []]);
});

test('with a member list that may be outdated the read is stale', () => {
  const { violations } = simulateMixedFaults(SEED, MIXED_FAULT_KINDS, LATER_MECHANISMS);
  assert.ok(
    violations.some((violation) => violation.startsWith('STALE: read by node-3 at group-1-2')),
  );
});

test.run();
