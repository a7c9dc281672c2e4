/** Statements that a session waits for before its values change. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { InFlightStatements } from '../../../src/direct/in-flight-statements.js';

const LONG_MS = 10_000;
const keepAlive = setInterval(() => {}, 1000);
test.after(() => clearInterval(keepAlive));

test('without a statement in flight the wait ends at once', async () => {
  assert.ok(await new InFlightStatements().waitForEnd(0));
});

test('the wait ends once the last exchange has settled, whether it succeeded or failed', async () => {
  const inFlight = new InFlightStatements();
  let answer: (() => void) | undefined;
  let fail: (() => void) | undefined;
  inFlight.add(new Promise<void>((resolve) => (answer = resolve)));
  inFlight.add(new Promise<void>((_resolve, reject) => (fail = () => reject(new Error('lost')))));
  let hasEnded = false;
  const ended = inFlight.waitForEnd(LONG_MS).then((isEnded) => {
    hasEnded = isEnded;
  });
  answer?.();
  await new Promise((resolve) => setImmediate(resolve));
  assert.not(hasEnded);
  fail?.();
  await ended;
  assert.ok(hasEnded);
  assert.ok(await inFlight.waitForEnd(0));
});

test('the wait reports that a statement has not ended within the timeout', async () => {
  const inFlight = new InFlightStatements();
  inFlight.add(new Promise(() => undefined));
  assert.not(await inFlight.waitForEnd(1));
});

test.run();
