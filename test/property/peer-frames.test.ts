/** Encoding and decoding of frames, for any division of the bytes into chunks. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PeerProtocolError } from '../../src/peer/errors.js';
import {
  encodeFrame,
  FrameDecoder,
  FrameType,
  type FrameTypeCode,
  HEADER_BYTES,
  MAX_DATA_PAYLOAD_BYTES,
} from '../../src/peer/frame.js';
import { FrameBatch } from '../../src/peer/frame-batch.js';

const SEED = 20261202;
const MAX_PAYLOAD_BYTES = 100_000;
const MAX_STREAM = 2 ** 48 - 1;

interface Frame {
  readonly type: FrameTypeCode;
  readonly stream: number;
  readonly payload: Buffer;
}

const frameArbitrary: fc.Arbitrary<Frame> = fc.record({
  type: fc.constantFrom<FrameTypeCode>(FrameType.DATA, FrameType.MESSAGE, FrameType.OPEN),
  stream: fc.oneof(fc.nat(10), fc.integer({ min: 0, max: MAX_STREAM })),
  payload: fc
    .oneof(fc.nat(20), fc.integer({ min: 4000, max: 9000 }))
    .map((length) => Buffer.alloc(length, length)),
});

/** Splits the bytes at the given positions, which may be unsorted and contain duplicates. */
function chunksOf(bytes: Buffer, cuts: readonly number[]): Buffer[] {
  const places = [...cuts.map((cut) => cut % (bytes.length + 1)), bytes.length];
  places.sort((left, right) => left - right);
  return places.map((place, index) => bytes.subarray(places[index - 1] ?? 0, place));
}

function decodeAll(chunks: readonly Buffer[], maxPayloadBytes = MAX_PAYLOAD_BYTES): Frame[] {
  const frames: Frame[] = [];
  const decoder = new FrameDecoder((type, stream, payload) => {
    frames.push({ type, stream, payload: Buffer.from(payload) });
  }, maxPayloadBytes);
  for (const chunk of chunks) decoder.push(chunk);
  return frames;
}

function summary(frames: readonly Frame[]): string[] {
  return frames.map(({ type, stream, payload }) => `${type} ${stream} ${payload.toString('hex')}`);
}

test('frames and batches decode the same for any division into chunks', () => {
  fc.assert(
    fc.property(
      fc.array(frameArbitrary, { maxLength: 20 }),
      fc.array(fc.nat(), { maxLength: 30 }),
      (frames, cuts) => {
        const batch = new FrameBatch();
        for (const { type, stream, payload } of frames) batch.add(type, stream, payload);
        const expectedBytes = batch.bytes;
        const bytes = Buffer.concat(batch.take());
        assert.is(bytes.length, expectedBytes);
        assert.equal(summary(decodeAll(chunksOf(bytes, cuts))), summary(frames));
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
});

test('a batch that was taken is not changed by later additions', () => {
  const batch = new FrameBatch();
  batch.add(FrameType.DATA, 1, Buffer.from('first'));
  const taken = batch.take();
  const before = Buffer.concat(taken);
  batch.add(FrameType.DATA, 2, Buffer.from('second'));
  batch.release();
  batch.add(FrameType.DATA, 3, Buffer.from('third'));
  assert.equal(Buffer.concat(taken), before);
});

test('a frame can be decoded byte by byte', () => {
  const frame = encodeFrame(FrameType.MESSAGE, MAX_STREAM, Buffer.alloc(300, 1));
  const chunks = Array.from({ length: frame.length }, (_, index) =>
    frame.subarray(index, index + 1),
  );
  assert.is(decodeAll(chunks).length, 1);
});

test('a truncated frame is not delivered, and is distinguished from an end between frames', () => {
  fc.assert(
    fc.property(frameArbitrary, fc.nat(), ({ type, stream, payload }, cut) => {
      const bytes = encodeFrame(type, stream, payload);
      let frames = 0;
      const decoder = new FrameDecoder(() => {
        frames += 1;
      }, MAX_PAYLOAD_BYTES);
      decoder.push(bytes.subarray(0, cut % bytes.length));
      assert.is(frames, 0);
      assert.is(decoder.isInsideFrame, cut % bytes.length > 0);
    }),
    { seed: SEED },
  );
});

test('an oversized frame is rejected by its header alone', () => {
  for (const type of Object.values(FrameType)) {
    const header = encodeFrame(type, 1, Buffer.alloc(0));
    header.writeUInt32BE(HEADER_BYTES - 4 + MAX_PAYLOAD_BYTES + 1);
    assert.throws(
      () => decodeAll([header]),
      (error: unknown) => error instanceof PeerProtocolError,
    );
  }
  const data = encodeFrame(FrameType.DATA, 1, Buffer.alloc(MAX_DATA_PAYLOAD_BYTES + 1));
  assert.throws(
    () => decodeAll([data]),
    (error: unknown) => error instanceof PeerProtocolError,
  );
});

test('arbitrary bytes give frames or a protocol error', () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 60 }), { maxLength: 10 }), (chunks) => {
      try {
        decodeAll(
          chunks.map((chunk) => Buffer.from(chunk)),
          1000,
        );
      } catch (error) {
        assert.instance(error, PeerProtocolError);
      }
    }),
    { seed: SEED, numRuns: 1000 },
  );
});

test.run();
