/**
 * Carries batches from gateway to owner. A small one travels inside its message; a large one follows
 * its message as data, so that flow control holds for it as for answers.
 */

import type { PeerStream } from '../../peer/contract.js';
import { asBuffer } from './buffers.js';
import type { BatchMessage } from './messages.js';

/** Batches up to this size travel inside their message. */
export const INLINE_BATCH_BYTES = 64 * 1024;
const CHUNK_BYTES = 64 * 1024;
const NOTHING = Buffer.alloc(0);

/** The form in which the batch's message is sent. */
export function toBatchHeader(batch: BatchMessage): BatchMessage {
  if (batch.messages.length <= INLINE_BATCH_BYTES) return batch;
  return { ...batch, messages: NOTHING, followingBytes: batch.messages.length };
}

/** Sends what `batchHeader` left out, as fast as the stream takes it. */
export class BatchSender {
  #rest: Uint8Array = NOTHING;

  constructor(readonly stream: PeerStream) {
    stream.onDrain = () => this.#pump();
  }

  /** Call after the batch's header was sent. */
  sendRemainder(batch: BatchMessage): void {
    if (batch.messages.length <= INLINE_BATCH_BYTES) return;
    this.#rest = batch.messages;
    this.#pump();
  }

  #pump(): void {
    while (this.#rest.length > 0) {
      const chunk = this.#rest.subarray(0, CHUNK_BYTES);
      this.#rest = this.#rest.subarray(CHUNK_BYTES);
      const goOn = this.stream.write(asBuffer(chunk));
      if (!goOn) return;
    }
  }
}

/** Puts a batch together whose messages follow as data. */
export class BatchReceiver {
  #header: BatchMessage | undefined;
  #chunks: Buffer[] = [];
  #missingBytes = 0;

  /** `onBatch` is called with each whole batch. */
  constructor(readonly onBatch: (batch: BatchMessage) => void) {}

  header(batch: BatchMessage): void {
    if (batch.followingBytes === undefined) {
      this.onBatch(batch);
      return;
    }
    this.#header = batch;
    this.#missingBytes = batch.followingBytes;
  }

  /** False if no data was due: the peer breaks the protocol. */
  data(chunk: Buffer): boolean {
    const header = this.#header;
    if (header === undefined || chunk.length > this.#missingBytes) return false;
    this.#chunks.push(chunk);
    this.#missingBytes -= chunk.length;
    if (this.#missingBytes > 0) return true;
    const messages = Buffer.concat(this.#chunks);
    this.#header = undefined;
    this.#chunks = [];
    this.onBatch({ ...header, messages, followingBytes: undefined });
    return true;
  }
}
