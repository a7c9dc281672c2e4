/**
 * The sending half of a link: collects the frames of one event-loop turn, lets the streams with
 * pending data add theirs in turn, and writes all of them to the socket together. While the socket's
 * buffer is full, streams wait; the small frames of the link itself don't.
 */
import type { Socket } from 'node:net';
import type { MutableCounters } from './counters.js';
import type { FrameTypeCode } from './frame.js';
import { FrameBatch } from './frame-batch.js';
import type { LinkStream } from './stream.js';

const CREDIT_BYTES = 4;

/** Writes the frames of one link. */
export class LinkWriter {
  readonly #socket: Socket;
  readonly #counters: MutableCounters;
  readonly #socketBufferBytes: number;
  readonly #batch = new FrameBatch();
  /** Streams with pending data, in the order of their turns. */
  readonly #scheduled = new Set<LinkStream>();
  #flushScheduled = false;
  #started = false;
  /** Called after a flush, so that pending calls are marked as written. */
  onFlushed: (() => void) | undefined;

  constructor(socket: Socket, counters: MutableCounters, socketBufferBytes: number) {
    this.#socket = socket;
    this.#counters = counters;
    this.#socketBufferBytes = socketBufferBytes;
    socket.on('drain', () => this.#flush());
  }

  /** Starts writing the collected frames; to be called once the handshake is complete. */
  start(): void {
    this.#started = true;
    this.#scheduleFlush();
  }

  /** Writes a handshake frame at once, bypassing the batch. */
  writeNow(frame: Buffer): void {
    this.#counters.bytesSent += frame.length;
    this.#socket.write(frame);
  }

  addFrame(type: FrameTypeCode, stream: number, payload: Buffer): void {
    this.#batch.add(type, stream, payload);
    this.#scheduleFlush();
  }

  addUint32Frame(type: FrameTypeCode, stream: number, value: number): void {
    const payload = Buffer.allocUnsafe(CREDIT_BYTES);
    payload.writeUInt32BE(value);
    this.addFrame(type, stream, payload);
  }

  schedule(stream: LinkStream): void {
    this.#scheduled.add(stream);
    this.#scheduleFlush();
  }

  unschedule(stream: LinkStream): void {
    this.#scheduled.delete(stream);
  }

  /** Releases memory that an idle link doesn't need. */
  releaseMemory(): void {
    this.#batch.release();
  }

  stop(): void {
    this.#started = false;
    this.#scheduled.clear();
    this.#batch.take();
  }

  #scheduleFlush(): void {
    if (this.#flushScheduled || !this.#started) return;
    this.#flushScheduled = true;
    setImmediate(() => {
      this.#flushScheduled = false;
      this.#flush();
    });
  }

  #flush(): void {
    if (!this.#started) return;
    this.#runTurns();
    const parts = this.#batch.take();
    if (parts.length > 0) this.#writeParts(parts);
    const waitsForDrain = this.#socket.writableNeedDrain;
    if (this.#scheduled.size > 0 && !waitsForDrain) this.#scheduleFlush();
  }

  /** Round robin: a stream that needs another turn goes to the end of the set. */
  #runTurns(): void {
    const freeBytes = this.#socketBufferBytes - this.#socket.writableLength;
    for (const stream of this.#scheduled) {
      if (this.#batch.bytes >= freeBytes) return;
      this.#scheduled.delete(stream);
      if (stream.takeTurn(this.#batch)) this.#scheduled.add(stream);
    }
  }

  #writeParts(parts: readonly Buffer[]): void {
    if (parts.length > 1) this.#socket.cork();
    for (const part of parts) {
      this.#counters.bytesSent += part.length;
      this.#socket.write(part);
    }
    if (parts.length > 1) this.#socket.uncork();
    this.#counters.socketWrites += 1;
    this.onFlushed?.();
  }
}
