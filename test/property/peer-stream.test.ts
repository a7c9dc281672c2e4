/** Two streams connected without sockets, under arbitrary schedules: order, credit, and exactly one close. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { MeadowstackError } from '../../src/core/errors.js';
import { decodeValue, encodeValue } from '../../src/peer/codec.js';
import { FrameDecoder, FrameType, type FrameTypeCode } from '../../src/peer/frame.js';
import { FrameBatch } from '../../src/peer/frame-batch.js';
import { DEFAULT_PEER_LINK_LIMITS } from '../../src/peer/options.js';
import { LinkStream, type StreamLink } from '../../src/peer/stream.js';

const SEED = 20261202;
const WINDOW_BYTES = 1000;
const LIMITS = { ...DEFAULT_PEER_LINK_LIMITS, windowBytes: WINDOW_BYTES };

/** One side: a stream, and its frames that the other side has not yet received. */
class Side {
  readonly stream: LinkStream;
  readonly wire: { type: FrameTypeCode; payload: Buffer }[] = [];
  readonly log: string[] = [];
  readonly closes: (MeadowstackError | undefined)[] = [];
  paused = false;
  #scheduled = false;
  #forgotten = false;

  constructor(knownToPeer: boolean) {
    const link: StreamLink = {
      linkNumber: 1,
      peerName: 'test',
      limits: LIMITS,
      scheduleStream: () => {
        this.#scheduled = true;
      },
      sendCredit: (_stream, bytes) => {
        const payload = Buffer.alloc(4);
        payload.writeUInt32BE(bytes);
        this.wire.push({ type: FrameType.CREDIT, payload });
      },
      sendAbort: (_stream, reason) =>
        this.wire.push({ type: FrameType.ABORT, payload: encodeValue(reason, 1000) }),
      removeStream: () => {
        this.#forgotten = true;
      },
    };
    this.stream = new LinkStream(link, 1, knownToPeer);
    this.stream.onData = (data) => this.log.push(...data.toString().split(''));
    this.stream.onMessage = (message) => this.log.push(`message ${message}`);
    this.stream.onClose = (error) => this.closes.push(error);
  }

  /** Writes the stream's frames, like the link's writer in one event-loop turn. */
  flush(): void {
    if (!this.#scheduled) return;
    this.#scheduled = false;
    const batch = new FrameBatch();
    while (this.stream.takeTurn(batch));
    const decoder = new FrameDecoder((type, _stream, payload) => {
      this.wire.push({ type, payload });
    }, LIMITS.maxMessageBytes);
    for (const part of batch.take()) decoder.push(part);
  }

  /** Receives one frame from the other side. */
  receiveFrom(other: Side): void {
    const frame = other.wire.shift();
    if (frame === undefined || this.#forgotten) return;
    const { type, payload } = frame;
    if (type === FrameType.DATA) this.stream.receiveData(payload);
    else if (type === FrameType.MESSAGE) this.stream.receiveMessage(decodeValue(payload));
    else if (type === FrameType.CREDIT) this.stream.receiveCredit(payload.readUInt32BE());
    else if (type === FrameType.END) this.stream.receiveEnd();
    else if (type === FrameType.ABORT) this.stream.receiveAbort(String(decodeValue(payload)));
  }

  get bytesOnWire(): number {
    const data = this.wire.filter((frame) => frame.type === FrameType.DATA);
    return data.reduce((sum, frame) => sum + frame.payload.length, 0);
  }

  get dataReceived(): number {
    return this.log.filter((item) => item.length === 1).length;
  }
}

type Action =
  | { readonly type: 'write'; readonly bytes: number }
  | { readonly type: 'send' | 'flush' | 'arrive' | 'credit' | 'pause' | 'resume' };

const actionArbitrary: fc.Arbitrary<Action> = fc.oneof(
  fc.record({ type: fc.constant('write' as const), bytes: fc.integer({ min: 1, max: 900 }) }),
  fc.record({
    type: fc.constantFrom<Exclude<Action['type'], 'write'>>(
      'send',
      'flush',
      'flush',
      'arrive',
      'arrive',
      'credit',
      'pause',
      'resume',
    ),
  }),
);

/** Writes letters in alphabetical order, so that loss and reordering are visible. */
class Writer {
  readonly expected: string[] = [];
  #count = 0;

  apply(action: Action, writer: Side, reader: Side): void {
    if (action.type === 'write') this.#write(writer, action.bytes);
    else if (action.type === 'send') this.#send(writer);
    else if (action.type === 'flush') writer.flush();
    else if (action.type === 'arrive') reader.receiveFrom(writer);
    else if (action.type === 'credit') writer.receiveFrom(reader);
    else this.#setPaused(reader, action.type === 'pause');
  }

  #write(writer: Side, bytes: number): void {
    const letter = String.fromCharCode(97 + (this.#count % 26));
    this.#count += 1;
    writer.stream.write(Buffer.from(letter.repeat(bytes)));
    this.expected.push(...letter.repeat(bytes));
  }

  #send(writer: Side): void {
    this.#count += 1;
    writer.stream.send(this.#count);
    this.expected.push(`message ${this.#count}`);
  }

  #setPaused(reader: Side, paused: boolean): void {
    reader.paused = paused;
    if (paused) reader.stream.pause();
    else reader.stream.resume();
  }
}

function settle(writer: Side, reader: Side): void {
  for (let round = 0; round < 200; round += 1) {
    writer.flush();
    while (writer.wire.length > 0) reader.receiveFrom(writer);
    while (reader.wire.length > 0) writer.receiveFrom(reader);
  }
}

test('data and messages arrive complete and in order, within the window', () => {
  fc.assert(
    fc.property(fc.array(actionArbitrary, { maxLength: 120, size: 'max' }), (actions) => {
      const side = new Side(true);
      const reader = new Side(true);
      const writer = new Writer();
      let consumedWhilePaused = 0;
      for (const action of actions) {
        writer.apply(action, side, reader);
        if (!reader.paused) consumedWhilePaused = reader.dataReceived;
        assert.is(reader.dataReceived, consumedWhilePaused, 'nothing is delivered while paused');
        const expected = writer.expected.slice(0, reader.log.length);
        assert.equal(reader.log, expected);
      }
      reader.stream.resume();
      settle(side, reader);
      assert.equal(reader.log, writer.expected);
      assert.is(side.closes.length + reader.closes.length, 0);
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test('a paused reader gets one window of data and no more', () => {
  const side = new Side(true);
  const reader = new Side(true);
  reader.stream.pause();
  side.stream.write(Buffer.alloc(WINDOW_BYTES * 5, 97));
  side.flush();
  assert.is(side.bytesOnWire, WINDOW_BYTES);
  while (side.wire.length > 0) reader.receiveFrom(side);
  assert.is(reader.wire.length, 0, 'no credit while paused');
  side.flush();
  assert.is(side.bytesOnWire, 0);
});

test('a reader that pauses within onData returns no credit until it resumes', () => {
  const reader = new Side(true);
  reader.stream.onData = () => reader.stream.pause();
  reader.stream.receiveData(Buffer.alloc(WINDOW_BYTES));
  assert.is(reader.wire.length, 0);
  reader.stream.resume();
  assert.equal(
    reader.wire.map((frame) => frame.type),
    [FrameType.CREDIT],
  );
});

test('data beyond the credit is a protocol error', () => {
  const reader = new Side(true);
  reader.stream.pause();
  reader.stream.receiveData(Buffer.alloc(WINDOW_BYTES));
  assert.throws(() => reader.stream.receiveData(Buffer.alloc(1)), /beyond the credit/);
});

test('credit beyond the window is a protocol error', () => {
  const side = new Side(true);
  assert.throws(() => side.stream.receiveCredit(1), /beyond the window/);
});

test('a writer that ignores back pressure is aborted with that reason', async () => {
  const side = new Side(false);
  side.stream.write(Buffer.alloc(LIMITS.maxQueuedBytes + 1));
  side.stream.write(Buffer.alloc(1));
  await Promise.resolve();
  assert.is(side.closes.length, 1);
  assert.match(side.closes[0]?.message ?? '', /back pressure/);
  side.flush();
  assert.is(side.wire.length, 0, 'no frame is sent');
});

test('a stream closes exactly once, whatever ends it', async () => {
  type Ending = (side: Side) => void;
  const endings: Ending[] = [
    (side) => side.stream.end(),
    (side) => side.stream.abort('x'),
    (side) => side.stream.receiveEnd(),
    (side) => side.stream.receiveAbort('y'),
    (side) => side.stream.handleLinkLost('z'),
    (side) => side.flush(),
  ];
  for (const first of endings) {
    for (const second of endings) {
      const side = new Side(true);
      first(side);
      second(side);
      side.flush();
      side.stream.handleLinkLost('at last');
      await Promise.resolve();
      assert.is(side.closes.length, 1);
    }
  }
});

test.run();
