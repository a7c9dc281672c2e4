/**
 * Guards against the loss of an acknowledged commit at a promotion. An instance starts at the address of a departed
 * member, and all nodes see its registration. A store outage begins before the leader has recorded the new member, and
 * the registration expires. That replica alone receives a last commit, since the other one is held. After the outage
 * another node continues the change and promotes the held replica before the registration is back. It must count the
 * member, which it has seen itself, although neither the store nor the handover record lists it.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  LATER_MECHANISMS,
  MIXED_FAULT_KINDS,
  simulateMixedFaults,
} from '../support/promotion/mix.js';

/** To replay: `MIX_RUNS=1 MIX_SEED=800618 node dist/test/property/promotion-mix.test.js`. */
const SEED = 800618;

test('a promotion counts members that nodes have seen, though no leader has recorded them', () => {
  const { violations, servicesWithoutWrites } = simulateMixedFaults(SEED);
  assert.equal([violations, servicesWithoutWrites], [[], []]);
});

test('without the members known only to nodes, the commit is lost', () => {
  const { violations } = simulateMixedFaults(SEED, MIXED_FAULT_KINDS, LATER_MECHANISMS);
  assert.equal(violations, ['LOST: commit 371 at the promotion of group-1-2']);
});

test.run();
