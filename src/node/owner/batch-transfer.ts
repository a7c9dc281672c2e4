/**
 * Transfers batches from gateway to owner. A small batch is sent inside its message; a large one is
 * sent after its message as data, so that flow control applies to it as to responses.
 */

import type { PeerStream } from '../../peer/contract.js';
import { asBuffer } from './buffers.js';
import type { BatchMessage } from './messages.js';

/** Batches up to this size are sent inside their message. */
export const INLINE_BATCH_BYTES = 64 * 1024;
const CHUNK_BYTES = 64 * 1024;
const EMPTY_BUFFER = Buffer.alloc(0);

/** Returns the message to send for a batch: without its bytes if they follow as data. */
export function toBatchHeader(batch: BatchMessage): BatchMessage {
  if (batch.messages.length <= INLINE_BATCH_BYTES) return batch;
  return { ...batch, messages: EMPTY_BUFFER, followingBytes: batch.messages.length };
}

/** Sends the bytes that `toBatchHeader` left out, as fast as flow control allows. */
export class BatchSender {
  #unsent: Uint8Array = EMPTY_BUFFER;

  constructor(readonly stream: PeerStream) {
    stream.onDrain = () => this.#pump();
  }

  /** To be called after the batch's header was sent. */
  sendRemainder(batch: BatchMessage): void {
    if (batch.messages.length <= INLINE_BATCH_BYTES) return;
    this.#unsent = batch.messages;
    this.#pump();
  }

  #pump(): void {
    while (this.#unsent.length > 0) {
      const chunk = this.#unsent.subarray(0, CHUNK_BYTES);
      this.#unsent = this.#unsent.subarray(CHUNK_BYTES);
      const mayContinue = this.stream.write(asBuffer(chunk));
      if (!mayContinue) return;
    }
  }
}

/** Assembles batches whose bytes follow as data. */
export class BatchReceiver {
  #header: BatchMessage | undefined;
  #chunks: Buffer[] = [];
  #remainingBytes = 0;

  /** `onBatch` is called with each whole batch. */
  constructor(readonly onBatch: (batch: BatchMessage) => void) {}

  header(batch: BatchMessage): void {
    if (batch.followingBytes === undefined) {
      this.onBatch(batch);
      return;
    }
    this.#header = batch;
    this.#remainingBytes = batch.followingBytes;
  }

  /** False if the data was not expected: the peer violates the protocol. */
  data(chunk: Buffer): boolean {
    const header = this.#header;
    if (header === undefined || chunk.length > this.#remainingBytes) return false;
    this.#chunks.push(chunk);
    this.#remainingBytes -= chunk.length;
    if (this.#remainingBytes > 0) return true;
    const messages = Buffer.concat(this.#chunks);
    this.#header = undefined;
    this.#chunks = [];
    this.onBatch({ ...header, messages, followingBytes: undefined });
    return true;
  }
}
