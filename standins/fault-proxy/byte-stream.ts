/**
 * One direction of one connection: forwards bytes from a source socket to a destination, in order
 * and without loss, delayed, throttled or held back by the route's faults. Without faults it is a
 * plain write.
 */
import type { Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import type { RandomSource } from '../common/random.js';
import type { DelayTimer } from './scheduler.js';
import type { DirectionFaults } from './settings.js';

/** Bytes buffered before the proxy stops reading: the capacity of a network and two socket buffers. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
const MILLISECONDS_PER_SECOND = 1000;
/** A throttled chunk is sent in pieces, each of which takes about this time. */
const THROTTLE_PIECE_MS = 10;

interface DataItem {
  readonly type: 'data';
  readonly bytes: Buffer;
  readonly dueAtMs: number;
}

interface CloseItem {
  readonly type: 'end' | 'reset';
  readonly dueAtMs: number;
}

type StreamItem = DataItem | CloseItem;

/** Counter of a route that its streams increase. */
export interface ByteCounter {
  bytes: number;
}

export class ByteStream {
  #items: StreamItem[] = [];
  #bufferedBytes = 0;
  /** Earliest time at which a throttled stream sends again. */
  #nextSendAtMs = 0;
  #isDestinationFull = false;
  #isSourceEnded = false;
  #isClosed = false;

  constructor(
    private readonly source: Socket,
    private readonly destination: Socket,
    private readonly faults: () => DirectionFaults,
    private readonly random: () => RandomSource,
    private readonly counter: ByteCounter,
    private readonly timer: DelayTimer,
  ) {
    source.on('data', (bytes: Buffer) => this.#receive(bytes));
    source.on('end', () => this.#finish('end'));
    source.on('close', (hadError: boolean) => this.#finish(hadError ? 'reset' : 'end'));
    destination.on('drain', () => {
      this.#isDestinationFull = false;
      this.flush();
    });
    destination.on('close', () => {
      if (!this.#isClosed) this.close();
    });
  }

  /** Ends the stream and drops buffered bytes, since the destination is closed. */
  close(): void {
    this.abandon();
    this.source.resume();
  }

  /** Ends the stream and stops reading, as if the network had lost the connection's state. */
  abandon(): void {
    this.#isClosed = true;
    this.timer.cancel();
    this.#items = [];
    this.#bufferedBytes = 0;
    this.source.pause();
  }

  #receive(bytes: Buffer): void {
    if (this.#isClosed) return;
    this.counter.bytes += bytes.length;
    const faults = this.faults();
    if (this.#items.length === 0 && hasNoFaults(faults)) {
      this.#write(bytes);
      this.#adjustReading();
      return;
    }
    this.#items.push({ type: 'data', bytes, dueAtMs: this.#dueAt(faults) });
    this.#bufferedBytes += bytes.length;
    this.flush();
  }

  /** A reset may follow an end; an end after an end or a reset is ignored. */
  #finish(type: CloseItem['type']): void {
    if (this.#isClosed) return;
    if (this.#isSourceEnded && type === 'end') return;
    this.#isSourceEnded = true;
    this.#pushClose(type);
  }

  #pushClose(type: CloseItem['type']): void {
    this.#items.push({ type, dueAtMs: this.#dueAt(this.faults()) });
    this.flush();
  }

  /** Jitter never reorders: items are sent in order of arrival, none before it is due. */
  #dueAt(faults: DirectionFaults): number {
    if (faults.latencyMs === 0 && faults.jitterMs === 0) return 0;
    const jitter = faults.jitterMs === 0 ? 0 : this.random()() * faults.jitterMs;
    return performance.now() + faults.latencyMs + jitter;
  }

  /** Sends what may be sent now. Called when bytes arrive, a timer fires or the faults change. */
  flush(): void {
    this.timer.cancel();
    while (!this.#isClosed && !this.#isDestinationFull) {
      const first = this.#items[0];
      const faults = this.faults();
      if (first === undefined || faults.cut) break;
      const waitMs = this.#dueTimeOf(first, faults) - performance.now();
      if (!this.timer.isDue(waitMs)) {
        this.timer.schedule(waitMs, () => this.flush());
        break;
      }
      this.#sendFirst(first, faults);
    }
    this.#adjustReading();
  }

  #dueTimeOf(item: StreamItem, faults: DirectionFaults): number {
    return faults.bytesPerSecond > 0 ? Math.max(item.dueAtMs, this.#nextSendAtMs) : item.dueAtMs;
  }

  #sendFirst(item: StreamItem, faults: DirectionFaults): void {
    this.#items.shift();
    if (item.type === 'data') this.#sendData(item, faults);
    else if (item.type === 'end') this.destination.end();
    else this.destination.resetAndDestroy();
  }

  #sendData(item: DataItem, faults: DirectionFaults): void {
    const piece = item.bytes.subarray(0, nextPieceBytes(faults, item.bytes.length));
    const rest = item.bytes.subarray(piece.length);
    if (rest.length > 0) this.#items.unshift({ ...item, bytes: rest });
    this.#bufferedBytes -= piece.length;
    this.#delayNextSend(piece.length, faults);
    this.#write(piece);
  }

  #delayNextSend(sentBytes: number, faults: DirectionFaults): void {
    if (faults.bytesPerSecond === 0) return;
    const start = Math.max(this.#nextSendAtMs, performance.now());
    this.#nextSendAtMs = start + (sentBytes / faults.bytesPerSecond) * MILLISECONDS_PER_SECOND;
  }

  #write(bytes: Buffer): void {
    if (this.destination.destroyed || this.destination.writableEnded) return;
    if (!this.destination.write(bytes)) this.#isDestinationFull = true;
  }

  #adjustReading(): void {
    if (this.#isClosed) return;
    if (this.#isDestinationFull || this.#bufferedBytes >= MAX_BUFFERED_BYTES) this.source.pause();
    else if (this.source.isPaused()) this.source.resume();
  }
}

function hasNoFaults(faults: DirectionFaults): boolean {
  return (
    !faults.cut && faults.latencyMs === 0 && faults.jitterMs === 0 && faults.bytesPerSecond === 0
  );
}

function nextPieceBytes(faults: DirectionFaults, available: number): number {
  if (faults.bytesPerSecond === 0) return available;
  const piece = (faults.bytesPerSecond * THROTTLE_PIECE_MS) / MILLISECONDS_PER_SECOND;
  return Math.max(1, Math.min(available, Math.floor(piece)));
}
