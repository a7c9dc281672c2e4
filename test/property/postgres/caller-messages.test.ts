/** Any bytes that a caller sends result in a batch or a typed error, never in an exception. */
import * as assert from 'node:assert/strict';
import fc from 'fast-check';
import { test } from 'uvu';
import { BatchBuilder } from '../../../src/postgres/caller/batch-builder.js';
import type { Frame } from '../../../src/postgres/caller/message-fields.js';
import { DEFAULT_CALLER_LIMITS } from '../../../src/postgres/caller/options.js';
import { PreparedStatementStore } from '../../../src/postgres/caller/prepared-statements.js';
import { ResponseMerger, type ResponseStep } from '../../../src/postgres/caller/response-merger.js';
import { createMockVerifier, ScramExchange } from '../../../src/postgres/caller/scram.js';
import { parseFirstMessage } from '../../../src/postgres/caller/startup.js';
import { FrameReader } from '../../../src/postgres/frames.js';
import {
  commandComplete,
  FrontendMessageType,
  noticeResponse,
} from '../../../src/postgres/messages.js';

const SEED = 20261202;
const NUM_RUNS = 1000;
const EXTENDED_TYPES = [
  FrontendMessageType.PARSE,
  FrontendMessageType.BIND,
  FrontendMessageType.DESCRIBE,
  FrontendMessageType.EXECUTE,
  FrontendMessageType.CLOSE,
];

/** Message bodies that resemble valid ones: short strings, zero bytes, small numbers. */
const body = fc
  .array(fc.constantFrom('S', 'P', 'a', '\0', '\0', '\0\0', '\0\0\0\u0001', 'commit', '\xff'), {
    maxLength: 8,
  })
  .map((parts) => Buffer.from(parts.join(''), 'latin1'));

function frameOf(type: number, content: Buffer): Frame {
  const buffer = Buffer.concat([Buffer.from([type, 0, 0, 0, 0]), content]);
  buffer.writeInt32BE(4 + content.length, 1);
  return { type, buffer, start: 0, end: buffer.length };
}

test('arbitrary extended-query messages give complete messages or a typed error', () => {
  const messages = fc.array(fc.tuple(fc.constantFrom(...EXTENDED_TYPES), body), { maxLength: 5 });
  fc.assert(
    fc.property(fc.array(messages), fc.boolean(), fc.boolean(), (batches, failed, flush) => {
      const builder = new BatchBuilder(new PreparedStatementStore(DEFAULT_CALLER_LIMITS));
      const boundary = frameOf(
        flush ? FrontendMessageType.FLUSH : FrontendMessageType.SYNC,
        Buffer.alloc(0),
      );
      for (const batch of batches) {
        const frames = batch.map(([type, content]) => frameOf(type, content));
        const built = builder.buildExtended(frames, boundary, {
          inTransaction: failed || flush,
          failed,
        });
        if (built.isErr()) continue;
        const types: number[] = [];
        const reader = new FrameReader((type) => types.push(type));
        assert.ok(reader.push(built.value.batch.messages).isOk());
        assert.equal(reader.pendingBytes, 0);
        assert.equal(types.pop(), FrontendMessageType.SYNC);
        const relayed = built.value.steps.filter((step) => step === 'relay');
        assert.equal(types.length, relayed.length);
      }
    }),
    { seed: SEED, numRuns: NUM_RUNS },
  );
});

test('arbitrary start-up messages and log-in texts give a result', () => {
  const codes = fc.constantFrom(196608, 196610, 80877102, 80877103, 80877104, 131072, 0);
  fc.assert(
    fc.property(codes, body, fc.string(), (code, content, text) => {
      const header = Buffer.alloc(8);
      header.writeInt32BE(8 + content.length, 0);
      header.writeInt32BE(code, 4);
      parseFirstMessage(Buffer.concat([header, content]));
      parseFirstMessage(content);
      const exchange = new ScramExchange('a', createMockVerifier('a', Buffer.alloc(32)), true, 'x');
      assert.ok(exchange.respondToFinal(text).isErr());
      exchange.respondToFirst(text);
      exchange.respondToFirst('n,,n=,r=abc');
      assert.ok(
        exchange.respondToFinal(`c=biws,r=abcx,p=${Buffer.from(text).toString('base64')}`).isErr(),
      );
    }),
    { seed: SEED, numRuns: NUM_RUNS },
  );
});

test('the merged answer is the same however the back end cuts it', () => {
  const steps = fc.array(
    fc.constantFrom<ResponseStep>('relay', 'parse-complete', 'close-complete'),
    {
      maxLength: 12,
    },
  );
  fc.assert(
    fc.property(steps, fc.array(fc.boolean(), { minLength: 40, maxLength: 40 }), (plan, flips) => {
      const answers = plan.flatMap((step, index) => {
        if (step !== 'relay') return [];
        const answer = commandComplete(`SELECT ${index}`);
        return flips[index] === true ? [noticeResponse('a', 'b'), answer] : [answer];
      });
      const outputs = [answers, [Buffer.concat(answers)]].map((writes) => mergeAll(plan, writes));
      assert.ok(outputs[0]?.equals(outputs[1] ?? Buffer.alloc(0)));
      const order = typesOf(outputs[0] ?? Buffer.alloc(0)).filter((type) => type !== 'N');
      const expected = plan.map(
        (step) => ({ relay: 'C', 'parse-complete': '1', 'close-complete': '3' })[step],
      );
      assert.deepEqual(order, expected);
    }),
    { seed: SEED, numRuns: NUM_RUNS },
  );
});

function mergeAll(plan: readonly ResponseStep[], writes: readonly Buffer[]): Buffer {
  const output: Buffer[] = [];
  const take = (bytes: Buffer): boolean => output.push(bytes) > 0;
  const merger = new ResponseMerger(plan);
  for (const write of writes) if (write.length > 0) merger.relay(write, take);
  merger.finish(take);
  return Buffer.concat(output);
}

function typesOf(messages: Buffer): string[] {
  const types: string[] = [];
  new FrameReader((type) => types.push(String.fromCharCode(type))).push(messages);
  return types;
}

test.run();
