/** Messages of a caller that wait, grouped into batches by their boundaries, and their size. */
import { FrontendMessageType } from '../messages.js';
import type { Frame } from './message-fields.js';

/** Memory that a waiting message takes besides its bytes, so that tiny messages count too. */
const FRAME_OVERHEAD_BYTES = 128;

/** Messages up to and including the one that ends the batch. */
export interface WaitingBatch {
  readonly frames: readonly Frame[];
  /** Query, Sync, Flush or FunctionCall. */
  readonly boundary: Frame;
  readonly bytes: number;
}

const BOUNDARIES: ReadonlySet<number> = new Set([
  FrontendMessageType.QUERY,
  FrontendMessageType.SYNC,
  FrontendMessageType.FLUSH,
  FrontendMessageType.FUNCTION_CALL,
]);

/** Queue of one connection. */
export class BatchQueue {
  /** Size of the batches that wait. */
  waitingBytes = 0;
  /** Size of the batch whose boundary is still to come. */
  openBytes = 0;
  private openFrames: Frame[] = [];
  private waiting: WaitingBatch[] = [];
  private head = 0;

  get isEmpty(): boolean {
    return this.head === this.waiting.length;
  }

  /** Adds a message; true if it ends a batch. */
  add(frame: Frame): boolean {
    this.openBytes += frame.end - frame.start + FRAME_OVERHEAD_BYTES;
    if (!BOUNDARIES.has(frame.type)) {
      this.openFrames.push(frame);
      return false;
    }
    this.waiting.push({ frames: this.openFrames, boundary: frame, bytes: this.openBytes });
    this.waitingBytes += this.openBytes;
    this.openFrames = [];
    this.openBytes = 0;
    return true;
  }

  shift(): WaitingBatch | undefined {
    const batch = this.waiting[this.head];
    if (batch === undefined) return undefined;
    this.head += 1;
    this.waitingBytes -= batch.bytes;
    if (this.head === this.waiting.length) {
      this.waiting = [];
      this.head = 0;
    }
    return batch;
  }

  clear(): void {
    this.openFrames = [];
    this.waiting = [];
    this.head = 0;
    this.openBytes = 0;
    this.waitingBytes = 0;
  }
}
