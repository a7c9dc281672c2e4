/** Delay after which callers that were refused for lack of capacity should retry. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { refusalRetryDelay } from '../../src/core/retry/refusal-retry-delay.js';

const SETTINGS = { seed: 20261203, numRuns: 300 };
const random = fc.double({ min: 0, max: 0.999, noNaN: true });

test('callers of lower priority get a longer retry delay on average, and all delays are spread', () => {
  fc.assert(
    fc.property(fc.nat(8), random, (priority, drawn) => {
      const at = refusalRetryDelay(priority, drawn);
      assert.ok(at >= refusalRetryDelay(priority, 0) && at <= 2 * refusalRetryDelay(priority, 0));
      assert.ok(refusalRetryDelay(priority + 1, drawn) > at);
    }),
    SETTINGS,
  );
  assert.is(refusalRetryDelay(0, 0), 100);
  assert.is(refusalRetryDelay(1000, 0.5), 1500, 'bounded');
});

test.run();
