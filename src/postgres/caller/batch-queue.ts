/** Queue of received messages of a caller, grouped into batches, that tracks their memory. */
import { FrontendMessageType } from '../messages.js';
import type { Frame } from './message-fields.js';

/** Memory of a queued message besides its bytes; counted so that many tiny messages reach the limit too. */
const FRAME_OVERHEAD_BYTES = 128;

/** A complete batch: messages up to and including the one that ends it. */
export interface QueuedBatch {
  readonly frames: readonly Frame[];
  /** The message that ends the batch: Query, Sync, Flush or FunctionCall. */
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
  /** Memory of the complete batches in the queue. */
  queuedBytes = 0;
  /** Memory of the last batch, whose boundary hasn't arrived yet. */
  incompleteBytes = 0;
  private incompleteFrames: Frame[] = [];
  private batches: QueuedBatch[] = [];
  private head = 0;

  get isEmpty(): boolean {
    return this.head === this.batches.length;
  }

  /** Adds a message; true if it ends a batch. */
  add(frame: Frame): boolean {
    this.incompleteBytes += frame.end - frame.start + FRAME_OVERHEAD_BYTES;
    if (!BOUNDARIES.has(frame.type)) {
      this.incompleteFrames.push(frame);
      return false;
    }
    this.batches.push({
      frames: this.incompleteFrames,
      boundary: frame,
      bytes: this.incompleteBytes,
    });
    this.queuedBytes += this.incompleteBytes;
    this.incompleteFrames = [];
    this.incompleteBytes = 0;
    return true;
  }

  shift(): QueuedBatch | undefined {
    const batch = this.batches[this.head];
    if (batch === undefined) return undefined;
    this.head += 1;
    this.queuedBytes -= batch.bytes;
    if (this.head === this.batches.length) {
      this.batches = [];
      this.head = 0;
    }
    return batch;
  }

  clear(): void {
    this.incompleteFrames = [];
    this.batches = [];
    this.head = 0;
    this.incompleteBytes = 0;
    this.queuedBytes = 0;
  }
}
