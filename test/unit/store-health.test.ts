/** When what was read from the store counts as current. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { StoreHealth } from '../../src/core/directory/store-health.js';

test('the store is healthy from the first success', () => {
  const health = new StoreHealth();
  assert.is(health.healthySince(0), undefined);
  health.recordSuccess(5, 10);
  assert.is(health.healthySince(20), 10);
});

/** Otherwise each cut of a waiting poll would count as an outage, in which registrations may expire. */
test('a failure that is followed by a success at once is no outage', () => {
  const health = new StoreHealth();
  health.recordSuccess(0, 0);
  health.recordFailure(5000);
  assert.is(health.healthySince(5200), 0);
  health.recordSuccess(5001, 5250);
  assert.is(health.healthySince(9000), 0);
});

test('an outage lasts from a failure without a success to the next success of a call sent after it', () => {
  const health = new StoreHealth();
  health.recordSuccess(0, 0);
  health.recordFailure(5000);
  health.recordFailure(5200);
  assert.is(health.healthySince(5299), 0);
  assert.is(health.healthySince(5300), undefined);
  health.recordSuccess(4999, 5400);
  assert.is(health.healthySince(5400), undefined, 'sent before the failure');
  health.recordSuccess(5500, 5600);
  assert.is(health.healthySince(5600), 5600);
});

test.run();
