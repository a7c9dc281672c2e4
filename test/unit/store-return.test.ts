/** After an outage of the store, failed calls are retried at its first response. */
import { errAsync } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { StoreOutageDetector } from '../../src/core/directory/store-outage-detector.js';
import type { PromotionEvent, RequestAnswer } from '../../src/core/promotion/contract.js';
import { PromotionStateMachine } from '../../src/core/promotion/machine.js';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';
import { PrefixReader } from '../../src/direct/prefix-reader.js';
import type { Store } from '../../src/platform/contract.js';
import { StoreUnavailableError } from '../../src/platform/errors.js';
import { handleEvents } from '../support/promotion-feed.js';

test('the first response after an outage is reported once, also the very first response', () => {
  const detector = new StoreOutageDetector();
  assert.not(detector.recordCall(false, 0));
  assert.ok(detector.recordCall(true, 100));
  assert.not(detector.recordCall(true, 200));
  assert.not(detector.recordCall(false, 1000));
  assert.ok(detector.recordCall(true, 1100));
});

test('a store that fails some calls while it answers others had no outage', () => {
  const detector = new StoreOutageDetector();
  detector.recordCall(true, 0);
  for (let at = 100; at < 1000; at += 100) {
    assert.not(detector.recordCall(false, at - 50));
    assert.not(detector.recordCall(true, at));
  }
});

test('failed requests for the lease and the records are repeated at once when the store responds again', () => {
  const machine = new PromotionStateMachine({
    ...{ nodeName: 'node', incarnation: 'i', timings: DEFAULT_PROMOTION_TIMINGS },
    random: () => 0.5,
  });
  const refuse = (): RequestAnswer => ({
    ...{ type: 'store-failed', isLeaseGone: false, hasResponded: false, retryAfterMs: undefined },
  });
  const requestTypesAfter = (event: PromotionEvent, at: number): string[] =>
    handleEvents(machine, [event], at, refuse).map(({ type }) => type);
  const { unregisteredReadDelayMs } = DEFAULT_PROMOTION_TIMINGS;
  requestTypesAfter({ type: 'start' }, 0);
  requestTypesAfter({ type: 'tick' }, unregisteredReadDelayMs);
  assert.equal(requestTypesAfter({ type: 'tick' }, unregisteredReadDelayMs + 1), [], 'both wait');
  const requestTypes = requestTypesAfter({ type: 'store-returned' }, unregisteredReadDelayMs + 1);
  assert.equal(requestTypes.sort(), ['grant-lease', 'range']);
});

test('a prefix whose read failed is read at once when the store responds again', () => {
  let reads = 0;
  let cancelled = 0;
  const failure = errAsync(new StoreUnavailableError('away'));
  const store = {
    range: () => {
      reads += 1;
      return failure;
    },
  } as unknown as Store;
  const reader = new PrefixReader({
    ...{ store, prefix: 'p/', backoff: { baseMs: 1000, maximumMs: 1000 } },
    ...{ clock: () => 0, random: () => 0.5, schedule: () => () => (cancelled += 1) },
    ...{ onRange: () => {}, onEvents: () => {}, onProblem: () => {} },
  });
  reader.start();
  return Promise.resolve(failure).then(() => {
    assert.is(reads, 1);
    reader.retryNow();
    assert.is(reads, 2);
    assert.is(cancelled, 1);
    reader.retryNow();
    assert.is(reads, 2, 'a read in flight is not repeated');
  });
});

test.run();
