/** What a session waits for before its values change. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { StatementsUnderWay } from '../../../src/direct/statements-under-way.js';

const LONG_MS = 10_000;
const keepAlive = setInterval(() => {}, 1000);
test.after(() => clearInterval(keepAlive));

test('nothing under way is over at once', async () => {
  assert.ok(await new StatementsUnderWay().ended(0));
});

test('it is over when the last exchange has settled, failed ones too', async () => {
  const underWay = new StatementsUnderWay();
  let answer: (() => void) | undefined;
  let fail: (() => void) | undefined;
  underWay.add(new Promise<void>((resolve) => (answer = resolve)));
  underWay.add(new Promise<void>((_resolve, reject) => (fail = () => reject(new Error('lost')))));
  let isOver = false;
  const ended = underWay.ended(LONG_MS).then((over) => {
    isOver = over;
  });
  answer?.();
  await new Promise((resolve) => setImmediate(resolve));
  assert.not(isOver);
  fail?.();
  await ended;
  assert.ok(isOver);
  assert.ok(await underWay.ended(0));
});

test('what does not end is told', async () => {
  const underWay = new StatementsUnderWay();
  underWay.add(new Promise(() => undefined));
  assert.not(await underWay.ended(1));
});

test.run();
