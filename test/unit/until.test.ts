/** The time limit of waits in tests: a condition that never responds must not exceed it. */
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { until } from '../support/until.js';

const BOUND_MS = 50;
/** Far above the time limit, far below the time that the test runner allows for a file. */
const TOO_LONG_MS = 5_000;

/** The message with which the wait fails; `still waiting` if it far exceeds the time limit. */
async function outcomeOf(condition: () => boolean | Promise<boolean>): Promise<string> {
  const timeoutController = new AbortController();
  const waited = until('it happens', condition, BOUND_MS).then(
    () => 'held',
    (error: Error) => error.message,
  );
  const tooLong = pause(TOO_LONG_MS, 'still waiting', { signal: timeoutController.signal });
  try {
    return await Promise.race([waited, tooLong]);
  } finally {
    timeoutController.abort();
    tooLong.catch(() => undefined);
  }
}

test('a condition that becomes true ends the wait', async () => {
  let checkCount = 0;
  assert.is(await outcomeOf(() => ++checkCount === 2), 'held');
  assert.is(checkCount, 2);
});

test('a condition that stays false fails at the time limit', async () => {
  assert.is(await outcomeOf(() => false), 'never: it happens');
});

test('a condition that never responds fails at the time limit', async () => {
  assert.is(await outcomeOf(() => new Promise<boolean>(() => undefined)), 'never: it happens');
});

test('a condition that throws fails the wait with its own error', async () => {
  assert.is(await outcomeOf(() => Promise.reject(new Error('asked wrongly'))), 'asked wrongly');
});

test.run();
