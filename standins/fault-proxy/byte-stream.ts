/**
 * One direction of one connection: carries bytes from a source socket to a destination, in order and
 * whole, delayed, throttled or held as the route's faults say. Without faults it is a plain write.
 */
import type { Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import type { RandomSource } from '../common/random.js';
import type { DelayTimer } from './scheduler.js';
import type { DirectionFaults } from './settings.js';

/** Bytes kept in the proxy before it stops reading: what a network and two buffers would hold. */
const MAX_HELD_BYTES = 1024 * 1024;
const MILLISECONDS_PER_SECOND = 1000;
/** A throttled chunk is sent in pieces that last about this long. */
const THROTTLE_PIECE_MS = 10;

interface DataItem {
  readonly type: 'data';
  readonly bytes: Buffer;
  readonly dueAtMs: number;
}

interface LastItem {
  readonly type: 'end' | 'reset';
  readonly dueAtMs: number;
}

type Item = DataItem | LastItem;

/** What a stream reports to its route. */
export interface ByteCounter {
  bytes: number;
}

export class ByteStream {
  #items: Item[] = [];
  #heldBytes = 0;
  /** Point before which a throttled stream sends nothing more. */
  #sendableAtMs = 0;
  #destinationFull = false;
  #sourceOver = false;
  #closed = false;

  constructor(
    private readonly source: Socket,
    private readonly destination: Socket,
    private readonly faults: () => DirectionFaults,
    private readonly random: () => RandomSource,
    private readonly counter: ByteCounter,
    private readonly timer: DelayTimer,
  ) {
    source.on('data', (bytes: Buffer) => this.#accept(bytes));
    source.on('end', () => this.#finish('end'));
    source.on('close', (hadError: boolean) => this.#finish(hadError ? 'reset' : 'end'));
    destination.on('drain', () => {
      this.#destinationFull = false;
      this.flush();
    });
    destination.on('close', () => {
      if (!this.#closed) this.close();
    });
  }

  /** Ends the stream; what it holds is dropped, since there is no one left to take it. */
  close(): void {
    this.abandon();
    this.source.resume();
  }

  /** Ends the stream and reads no more, as if the network behind had forgotten it. */
  abandon(): void {
    this.#closed = true;
    this.timer.cancel();
    this.#items = [];
    this.#heldBytes = 0;
    this.source.pause();
  }

  #accept(bytes: Buffer): void {
    if (this.#closed) return;
    this.counter.bytes += bytes.length;
    const faults = this.faults();
    if (this.#items.length === 0 && isPlain(faults)) {
      this.#write(bytes);
      this.#adjustReading();
      return;
    }
    this.#items.push({ type: 'data', bytes, dueAtMs: this.#dueAt(faults) });
    this.#heldBytes += bytes.length;
    this.flush();
  }

  /** A reset may follow an end, an end nothing. */
  #finish(type: LastItem['type']): void {
    if (this.#closed) return;
    if (this.#sourceOver && type === 'end') return;
    this.#sourceOver = true;
    this.#pushLast(type);
  }

  #pushLast(type: LastItem['type']): void {
    this.#items.push({ type, dueAtMs: this.#dueAt(this.faults()) });
    this.flush();
  }

  /** Jitter never reorders: items leave in the order they came, each when it is due. */
  #dueAt(faults: DirectionFaults): number {
    if (faults.latencyMs === 0 && faults.jitterMs === 0) return 0;
    const jitter = faults.jitterMs === 0 ? 0 : this.random()() * faults.jitterMs;
    return performance.now() + faults.latencyMs + jitter;
  }

  /** Sends what may be sent now. Called when bytes come, time passes or the faults change. */
  flush(): void {
    this.timer.cancel();
    while (!this.#closed && !this.#destinationFull) {
      const first = this.#items[0];
      const faults = this.faults();
      if (first === undefined || faults.cut) break;
      const waitMs = this.#waitFor(first, faults) - performance.now();
      if (!this.timer.isDue(waitMs)) {
        this.timer.schedule(waitMs, () => this.flush());
        break;
      }
      this.#sendFirst(first, faults);
    }
    this.#adjustReading();
  }

  #waitFor(item: Item, faults: DirectionFaults): number {
    return faults.bytesPerSecond > 0 ? Math.max(item.dueAtMs, this.#sendableAtMs) : item.dueAtMs;
  }

  #sendFirst(item: Item, faults: DirectionFaults): void {
    this.#items.shift();
    if (item.type === 'data') this.#sendData(item, faults);
    else if (item.type === 'end') this.destination.end();
    else this.destination.resetAndDestroy();
  }

  #sendData(item: DataItem, faults: DirectionFaults): void {
    const piece = item.bytes.subarray(0, pieceBytes(faults, item.bytes.length));
    const rest = item.bytes.subarray(piece.length);
    if (rest.length > 0) this.#items.unshift({ ...item, bytes: rest });
    this.#heldBytes -= piece.length;
    this.#pace(piece.length, faults);
    this.#write(piece);
  }

  #pace(sentBytes: number, faults: DirectionFaults): void {
    if (faults.bytesPerSecond === 0) return;
    const start = Math.max(this.#sendableAtMs, performance.now());
    this.#sendableAtMs = start + (sentBytes / faults.bytesPerSecond) * MILLISECONDS_PER_SECOND;
  }

  #write(bytes: Buffer): void {
    if (this.destination.destroyed || this.destination.writableEnded) return;
    if (!this.destination.write(bytes)) this.#destinationFull = true;
  }

  #adjustReading(): void {
    if (this.#closed) return;
    if (this.#destinationFull || this.#heldBytes >= MAX_HELD_BYTES) this.source.pause();
    else if (this.source.isPaused()) this.source.resume();
  }
}

function isPlain(faults: DirectionFaults): boolean {
  return (
    !faults.cut && faults.latencyMs === 0 && faults.jitterMs === 0 && faults.bytesPerSecond === 0
  );
}

function pieceBytes(faults: DirectionFaults, available: number): number {
  if (faults.bytesPerSecond === 0) return available;
  const piece = (faults.bytesPerSecond * THROTTLE_PIECE_MS) / MILLISECONDS_PER_SECOND;
  return Math.max(1, Math.min(available, Math.floor(piece)));
}
