/**
 * What callers saw: a service took no writes any more, for good. One of 4,000 seeds of the mixed model.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { playMix } from '../support/promotion/mix.js';

/** `MIX_RUNS=1 MIX_SEED=701138 node dist/test/property/promotion-mix.test.js` */
const SEED = 701138;

test('a service whose named candidate is gone gets another one', () => {
  const { violations, stopped } = playMix(SEED);
  assert.equal([violations, stopped], [[], []]);
});

test.run();
