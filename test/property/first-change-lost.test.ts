/**
 * What callers saw: a service took no writes any more, for good. In order: the first change of primary ever begins, the
 * replicas are held and the old primary is demoted; the store comes back from a copy without that change; its leader was killed
 * meanwhile, and no other node has heard of it.
 *
 * Cause: without a record, whoever calls itself primary is it; all three are replicas now, and nobody is replaced.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  STORE_RESTORE_MECHANISMS,
  STORE_RESTORE_MIX,
  simulateMixedFaults,
} from '../support/promotion/mix.js';

/** `RETURN_RUNS=1 RETURN_SEED=930270 node dist/test/property/store-return.test.js`, found among 930000 to 930599 */
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
