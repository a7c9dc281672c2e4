import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { backoffCeiling, backoffPause } from '../../src/core/retry/backoff.js';

const policy = { baseMs: 100, maximumMs: 5000 };
const SEED = 20261202;

test('the upper bound of the delay doubles up to the maximum', () => {
  const ceilings = [1, 2, 3, 6, 7, 1000].map((failures) => backoffCeiling(policy, failures));
  assert.equal(ceilings, [100, 200, 400, 3200, 5000, 5000]);
});

test('a delay lies between the requested minimum and the upper bound above it', () => {
  const random = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true });
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 99 }), random, fc.nat(9999), (failures, draw, least) => {
      const pause = backoffPause(policy, failures, draw, least);
      return pause >= least && pause <= least + backoffCeiling(policy, failures);
    }),
    { seed: SEED },
  );
});

test('delays cover the whole range below the upper bound', () => {
  assert.is(backoffPause(policy, 3, 0), 0);
  assert.is(backoffPause(policy, 3, 0.5), 200);
});

test.run();
