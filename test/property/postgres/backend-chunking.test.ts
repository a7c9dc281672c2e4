import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type ResponseEnd,
  type ResponseListener,
  ResponseReader,
} from '../../../src/postgres/backend/response-reader.js';
import { FrameReader } from '../../../src/postgres/frames.js';
import * as messages from '../../../src/postgres/messages.js';
import { dataRow, ROW_DESCRIPTION, ready } from '../../support/scripted-server.js';

const SEED = 20_261_202;
const RUNS = 300;
const ignore = (): void => undefined;

/** One message of a response, and its effect on what is held back. */
interface Step {
  readonly bytes: Buffer;
  readonly effect: 'result' | 'completion' | 'neutral';
}

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.string({ maxLength: 300 }).map((text): Step => ({ bytes: dataRow(text), effect: 'result' })),
  fc.constant<Step>({ bytes: ROW_DESCRIPTION, effect: 'result' }),
  fc
    .nat(99)
    .map(
      (rows): Step => ({ bytes: messages.commandComplete(`SELECT ${rows}`), effect: 'completion' }),
    ),
  fc.constant<Step>({ bytes: messages.EMPTY_QUERY_RESPONSE, effect: 'completion' }),
  fc.constantFrom<Step>(
    { bytes: messages.BIND_COMPLETE, effect: 'neutral' },
    { bytes: messages.CLOSE_COMPLETE, effect: 'neutral' },
    { bytes: messages.noticeResponse('careful', ''), effect: 'neutral' },
    { bytes: messages.parameterStatus('TimeZone', 'UTC'), effect: 'neutral' },
  ),
);

/** Index from which messages must be held back: that of the last completion, if no result follows it. */
function heldBackFrom(steps: readonly Step[]): number {
  const lastCompletion = steps.findLastIndex((step) => step.effect === 'completion');
  const lastResult = steps.findLastIndex((step) => step.effect === 'result');
  return lastCompletion > lastResult ? lastCompletion : steps.length;
}

function bytesOf(steps: readonly Step[]): string {
  return Buffer.concat(steps.map((step) => step.bytes)).toString('hex');
}

function cut(whole: Buffer, lengths: readonly number[]): Buffer[] {
  const chunks: Buffer[] = [];
  let offset = 0;
  for (let index = 0; offset < whole.length; index += 1) {
    const length = lengths[index % lengths.length] ?? 1;
    chunks.push(whole.subarray(offset, offset + length));
    offset += length;
  }
  return chunks;
}

test('for any chunks, a response is divided into a relayed and a held-back part of whole messages', () => {
  const property = fc.property(
    fc.array(stepArbitrary, { maxLength: 25 }),
    fc.array(fc.integer({ min: 1, max: 400 }), { minLength: 1, maxLength: 12 }),
    fc.nat(3),
    (steps, lengths, preludeLength) => {
      const relayed: Buffer[] = [];
      const prepared: string[] = [];
      const ends: ResponseEnd[] = [];
      const listener: ResponseListener = {
        relay: (part) => {
          relayed.push(part);
          const whole = new FrameReader(ignore);
          whole.push(part);
          assert.is(whole.pendingBytes, 0);
        },
        handleEnd: (end) => ends.push(end),
        handleFatalError: () => assert.unreachable(),
        handleViolation: (message) => assert.unreachable(message),
        handleHeldBackTooLarge: () => assert.unreachable(),
        recordPrepared: (name) => prepared.push(name),
        recordDeallocated: ignore,
        recordParameter: ignore,
        recordDroppedNotification: ignore,
      };
      const reader = new ResponseReader(listener);
      const names = Array.from({ length: preludeLength }, (_, index) => `s${index}`);
      reader.begin({
        prelude: names.map((name) => ({ type: 0x31, prepared: name })),
        batch: true,
        hasAppendedQuery: true,
      });
      const whole = Buffer.concat([
        ...names.map(() => messages.PARSE_COMPLETE),
        ...steps.map((step) => step.bytes),
        ready('T'),
        ROW_DESCRIPTION,
        dataRow('position'),
        messages.commandComplete('SELECT 1'),
        ready('T'),
      ]);
      const frames = new FrameReader(reader.visit);
      for (const chunk of cut(whole, lengths)) {
        frames.push(Buffer.from(chunk));
        reader.handleChunkEnd();
      }
      const split = heldBackFrom(steps);
      const [end] = ends;
      assert.is(ends.length, 1);
      assert.equal(prepared, names);
      assert.is(Buffer.concat(relayed).toString('hex'), bytesOf(steps.slice(0, split)));
      assert.is(end?.heldBack.toString('hex'), bytesOf(steps.slice(split)));
      assert.equal(end?.appendedQueryRows, [['position']]);
    },
  );
  fc.assert(property, { seed: SEED, numRuns: RUNS });
});

test.run();
