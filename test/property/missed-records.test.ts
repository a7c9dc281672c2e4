/**
 * Guards against stale reads at a replaced primary. The primary is replaced while a node is cut off from the store. Then
 * the store is restored from a backup older than the change and serves that node again. The node registers, reads the
 * records and trusts the primary of the backup, 0.1 s before another node writes the lost record again. That happens if
 * a process assumes that it remembers everything that the backup lacks, although it did not follow the store up to the
 * restore.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  STORE_RESTORE_MECHANISMS,
  STORE_RESTORE_MIX,
  simulateMixedFaults,
} from '../support/promotion/mix.js';

/** To replay: `RETURN_RUNS=1 RETURN_SEED=930858 node dist/test/property/store-return.test.js`. */
const SEED = 930858;

test('a node that was cut off at a return of the store trusts no primary by the copy alone', () => {
  const { violations, servicesWithoutWrites } = simulateMixedFaults(SEED, STORE_RESTORE_MIX);
  assert.equal([violations, servicesWithoutWrites], [[], []]);
});

test('without that, its reads are stale', () => {
  const { violations } = simulateMixedFaults(SEED, STORE_RESTORE_MIX, STORE_RESTORE_MECHANISMS);
  assert.is(violations.length, 2);
});

test.run();
