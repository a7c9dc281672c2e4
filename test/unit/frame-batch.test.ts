import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FrameType, HEADER_BYTES } from '../../src/peer/frame.js';
import { FrameBatch } from '../../src/peer/frame-batch.js';

const PAYLOAD = Buffer.alloc(100, 'x');
const FRAME_BYTES = HEADER_BYTES + PAYLOAD.length;
const INITIAL_SLAB_BYTES = 1024;

test('a link that sends one frame after an idle period holds little memory for it', () => {
  const batch = new FrameBatch();
  for (let round = 0; round < 3; round += 1) {
    batch.add(FrameType.PING, 0, PAYLOAD);
    assert.is(batch.heldBytes, INITIAL_SLAB_BYTES);
    batch.take();
    batch.release();
    assert.is(batch.heldBytes, 0);
  }
});

test('frames keep their bytes and order across many slabs', () => {
  const batch = new FrameBatch();
  const count = 2000;
  const parts: Buffer[] = [];
  for (let index = 0; index < count; index += 1) {
    const payload = Buffer.alloc(PAYLOAD.length, index % 256);
    batch.add(FrameType.PING, index, payload);
    if (index % 7 === 0) parts.push(...batch.take());
  }
  parts.push(...batch.take());
  const bytes = Buffer.concat(parts);
  assert.is(bytes.length, count * FRAME_BYTES);
  for (let index = 0; index < count; index += 1) {
    const start = index * FRAME_BYTES + HEADER_BYTES;
    assert.is(bytes[start], index % 256);
    assert.is(bytes[start + PAYLOAD.length - 1], index % 256);
  }
});

test.run();
