/** After an outage of the store, failed calls are retried at its first response. */
import { errAsync } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { StoreOutageDetector } from '../../src/core/directory/store-return.js';
import type { PromotionEvent, RequestAnswer } from '../../src/core/promotion/contract.js';
import { PromotionStateMachine } from '../../src/core/promotion/machine.js';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';
import { PrefixReader } from '../../src/direct/prefix-reader.js';
import type { Store } from '../../src/platform/contract.js';
import { StoreUnavailableError } from '../../src/platform/errors.js';
import { handleEvents } from '../support/promotion-feed.js';

test('the first answer after an absence is told once, also the first of all', () => {
  const seen = new StoreOutageDetector();
  assert.not(seen.recordCall(false, 0));
  assert.ok(seen.recordCall(true, 100));
  assert.not(seen.recordCall(true, 200));
  assert.not(seen.recordCall(false, 1000));
  assert.ok(seen.recordCall(true, 1100));
});

test('a store that refuses some calls beside others that it answers was not away', () => {
  const seen = new StoreOutageDetector();
  seen.recordCall(true, 0);
  for (let at = 100; at < 1000; at += 100) {
    assert.not(seen.recordCall(false, at - 50));
    assert.not(seen.recordCall(true, at));
  }
});

test('a lease and records that were refused are asked for at once when the store answers again', () => {
  const machine = new PromotionStateMachine({
    ...{ nodeName: 'node', incarnation: 'i', timings: DEFAULT_PROMOTION_TIMINGS },
    random: () => 0.5,
  });
  const refuse = (): RequestAnswer => ({
    ...{ type: 'store-failed', isLeaseGone: false, retryAfterMs: undefined },
  });
  const ask = (event: PromotionEvent, at: number): string[] =>
    handleEvents(machine, [event], at, refuse).map(({ type }) => type);
  const { unregisteredReadDelayMs } = DEFAULT_PROMOTION_TIMINGS;
  ask({ type: 'start' }, 0);
  ask({ type: 'tick' }, unregisteredReadDelayMs);
  assert.equal(ask({ type: 'tick' }, unregisteredReadDelayMs + 1), [], 'both wait');
  const asked = ask({ type: 'store-returned' }, unregisteredReadDelayMs + 1);
  assert.equal(asked.sort(), ['grant-lease', 'range']);
});

test('a prefix that could not be read is read at once when the store answers again', () => {
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
    assert.is(reads, 2, 'a read that is on its way is not repeated');
  });
});

test.run();
