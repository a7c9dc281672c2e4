/**
 * Guards against a stale read at a replica. A replica removes its registration and crashes, and the leader removes it
 * from the members. A node starts. The replica comes back without a registration, and only it and the primary receive
 * commits, since the third member receives nothing. The primary is cut off from the nodes, and the new node queries the
 * members that it knows and reads at the third one. If only leaders know the departed members, the read misses a commit:
 * in this seed the third member has 786 log entries, the primary and the departed member, which was not queried, 907.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  LATER_MECHANISMS,
  MIXED_FAULT_KINDS,
  simulateMixedFaults,
} from '../support/promotion/mix.js';

/** To replay: `MIX_RUNS=1 MIX_SEED=800597 node dist/test/property/promotion-mix.test.js`. */
const SEED = 800597;

test('a node counts members that departed before it started', () => {
  const { violations, servicesWithoutWrites } = simulateMixedFaults(SEED);
  assert.equal([violations, servicesWithoutWrites], [[], []]);
});

test('without the record of departed members the read is stale', () => {
  const { violations } = simulateMixedFaults(SEED, MIXED_FAULT_KINDS, LATER_MECHANISMS);
  assert.ok(
    violations.some((violation) => violation.startsWith('STALE: read by node-0 at group-0-4')),
  );
});

test.run();
