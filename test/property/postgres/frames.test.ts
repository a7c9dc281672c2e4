/** The frame reader finds the same messages for any division of the byte stream into chunks. */
import * as assert from 'node:assert/strict';
import fc from 'fast-check';
import { test } from 'uvu';
import { MessageTooLargeError, ProtocolViolationError } from '../../../src/postgres/errors.js';
import { FrameReader } from '../../../src/postgres/frames.js';

const SEED = 20261202;
const MAXIMUM_BYTES = 4096;

interface Frame {
  readonly type: number;
  readonly body: Uint8Array;
}

const frames = fc.array(
  fc.record({ type: fc.integer({ min: 1, max: 255 }), body: fc.uint8Array({ maxLength: 300 }) }),
  { maxLength: 30 },
);

function encode(list: readonly Frame[]): Buffer {
  return Buffer.concat(
    list.map((frame) => {
      const buffer = Buffer.alloc(5 + frame.body.length);
      buffer[0] = frame.type;
      buffer.writeInt32BE(4 + frame.body.length, 1);
      buffer.set(frame.body, 5);
      return buffer;
    }),
  );
}

function cut(stream: Buffer, cuts: readonly number[]): Buffer[] {
  const points = [...cuts.map((point) => point % (stream.length + 1)), 0, stream.length];
  points.sort((left, right) => left - right);
  return points.slice(1).map((end, index) => stream.subarray(points[index], end));
}

test('any chunks give the same messages', () => {
  fc.assert(
    fc.property(frames, fc.array(fc.nat(), { maxLength: 60 }), (list, cuts) => {
      const seen: Buffer[] = [];
      const reader = new FrameReader((type, buffer, start, end) => {
        assert.equal(type, buffer[start]);
        seen.push(buffer.subarray(start, end));
      }, MAXIMUM_BYTES);
      const stream = encode(list);
      for (const chunk of cut(stream, cuts)) assert.ok(reader.push(chunk).isOk());
      assert.equal(seen.length, list.length);
      assert.ok(Buffer.concat(seen).equals(stream));
      assert.equal(reader.pendingBytes, 0);
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test('a message that is complete in one chunk is visited without copying', () => {
  const stream = encode([{ type: 81, body: new Uint8Array(10) }]);
  let visited: Buffer | undefined;
  new FrameReader((_type, buffer) => {
    visited = buffer;
  }).push(stream);
  assert.equal(visited, stream);
});

test('invalid lengths end the stream, byte by byte and in one chunk', () => {
  for (const length of [-1, 0, 3, MAXIMUM_BYTES]) {
    const header = Buffer.from([81, 0, 0, 0, 0, 0, 0]);
    header.writeInt32BE(length, 1);
    const expected = length < 4 ? ProtocolViolationError : MessageTooLargeError;
    for (const step of [1, 7]) {
      const reader = new FrameReader(() => assert.fail('visited'), MAXIMUM_BYTES);
      let error: unknown;
      for (let at = 0; at < header.length && error === undefined; at += step) {
        const pushed = reader.push(header.subarray(at, at + step));
        if (pushed.isErr()) error = pushed.error;
      }
      assert.ok(error instanceof expected);
    }
  }
});

test('stop during a visit skips the rest of the chunk', () => {
  let visits = 0;
  const reader = new FrameReader(() => {
    visits += 1;
    reader.stop();
  });
  const one = { type: 83, body: new Uint8Array(0) };
  assert.ok(reader.push(encode([one, one, one])).isOk());
  assert.ok(reader.push(encode([one])).isOk());
  assert.equal(visits, 1);
});

test.run();
