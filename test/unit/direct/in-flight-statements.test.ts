/** Statements that a session waits for before its values change. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { InFlightStatements } from '../../../src/direct/in-flight-statements.js';

const LONG_MS = 10_000;
const keepAlive = setInterval(() => {}, 1000);
test.after(() => clearInterval(keepAlive));

test('nothing under way is over at once', async () => {
  assert.ok(await new InFlightStatements().waitForEnd(0));
});

test('it is over when the last exchange has settled, failed ones too', async () => {
  const inFlight = new InFlightStatements();
  let answer: (() => void) | undefined;
  let fail: (() => void) | undefined;
  inFlight.add(new Promise<void>((resolve) => (answer = resolve)));
  inFlight.add(new Promise<void>((_resolve, reject) => (fail = () => reject(new Error('lost')))));
  let isOver = false;
  const ended = inFlight.waitForEnd(LONG_MS).then((over) => {
    isOver = over;
  });
  answer?.();
  await new Promise((resolve) => setImmediate(resolve));
  assert.not(isOver);
  fail?.();
  await ended;
  assert.ok(isOver);
  assert.ok(await inFlight.waitForEnd(0));
});

test('what does not end is told', async () => {
  const inFlight = new InFlightStatements();
  inFlight.add(new Promise(() => undefined));
  assert.not(await inFlight.waitForEnd(1));
});

test.run();
