/**
 * What a caller saw: a read at a deposed primary that misses a commit acknowledged 1.1 s before. In order: a change of primary ends; the
 * store comes back from a copy without it, and the one node that has heard of its end is cut off; the next change has the same
 * number; the store comes back from an older copy once more, and the node that was cut off writes its record again.
 *
 * Cause: of two records with the same number of a change, whichever the store had was taken for the later one.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  STORE_RESTORE_MECHANISMS,
  STORE_RESTORE_MIX,
  simulateMixedFaults,
} from '../support/promotion/mix.js';

/** `RETURN_RUNS=1 RETURN_SEED=930569 node dist/test/property/store-return.test.js`, found among 930000 to 930599 */
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
