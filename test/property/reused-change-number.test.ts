/**
 * Guards against a stale read at a replaced primary. A primary change ends, and the store is restored from a backup
 * without it, while the only node that knows of its end is cut off. The next change gets the same number. Then the store
 * is restored from an older backup, and the node that was cut off writes its record again. If of two records with the
 * same change number the one in the store counts as the later one, the first change replaces the second.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  STORE_RESTORE_MECHANISMS,
  STORE_RESTORE_MIX,
  simulateMixedFaults,
} from '../support/promotion/mix.js';

/** To replay: `RETURN_RUNS=1 RETURN_SEED=930569 node dist/test/property/store-return.test.js`. */
const SEED = 930569;

test('a record of an earlier term is not taken for the later one', () => {
  const { violations, servicesWithoutWrites } = simulateMixedFaults(SEED, STORE_RESTORE_MIX);
  assert.equal([violations, servicesWithoutWrites], [[], []]);
});

test('without that, a read at a deposed primary is stale', () => {
  const { violations } = simulateMixedFaults(SEED, STORE_RESTORE_MIX, STORE_RESTORE_MECHANISMS);
  assert.ok(
    violations.some((violation) => violation.startsWith('STALE: read by node-1 at group-0-1')),
  );
});

test.run();
