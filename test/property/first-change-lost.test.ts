/**
 * Guards against a service that never accepts writes again. During the first primary change of a group, the replicas are
 * held and the old primary is demoted. Then the store is restored from a backup without the change, and the leader, the
 * only node that knew of it, has been killed. Without a record, the instance that reports itself as primary counts as
 * the primary; here all three are replicas, so no primary is found and none is replaced.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  STORE_RESTORE_MECHANISMS,
  STORE_RESTORE_MIX,
  simulateMixedFaults,
} from '../support/promotion/mix.js';

/** To replay: `RETURN_RUNS=1 RETURN_SEED=930270 node dist/test/property/store-return.test.js`. */
const SEED = 930270;

test('a group whose first change was lost gets a primary', () => {
  const { violations, servicesWithoutWrites } = simulateMixedFaults(SEED, STORE_RESTORE_MIX);
  assert.equal([violations, servicesWithoutWrites], [[], []]);
});

test('without that, it has none for good', () => {
  const { servicesWithoutWrites } = simulateMixedFaults(
    SEED,
    STORE_RESTORE_MIX,
    STORE_RESTORE_MECHANISMS,
  );
  assert.equal(servicesWithoutWrites, ['group-1']);
});

test.run();
