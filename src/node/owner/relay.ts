/**
 * Buffers the response of a running batch. A short response is sent with its end in one frame and
 * can be discarded until then; a long or slow one is relayed as it arrives.
 */
import type { PeerStream } from '../../peer/contract.js';

/** Responses up to this size are buffered until their end. */
const MAX_GATHERED_BYTES = 16 * 1024;
/** Longest time for which rows of a slow statement are buffered. */
const MAX_GATHERING_MS = 10;

/** Buffers and relays the response of the running batch. */
export class ResponseRelay {
  readonly #stream: PeerStream;
  #gathered: Buffer[] = [];
  #gatheredBytes = 0;
  #timer: NodeJS.Timeout | undefined;
  #anyBytesRelayed = false;
  #isClosed = false;

  /** `onBlocked` is called when the stream accepts no more data until its `onDrain`. */
  constructor(
    stream: PeerStream,
    readonly onBlocked: () => void,
  ) {
    this.#stream = stream;
  }

  /** True once any byte was sent towards the caller; the response can then not be discarded. */
  get anyBytesRelayed(): boolean {
    return this.#anyBytesRelayed;
  }

  /** True once any part of the running batch's response has arrived. */
  get hasResponse(): boolean {
    return this.#anyBytesRelayed || this.#gatheredBytes > 0;
  }

  /** Adds complete backend messages. */
  add(messages: Buffer): void {
    if (this.#isClosed) return;
    this.#gathered.push(messages);
    this.#gatheredBytes += messages.length;
    if (this.#anyBytesRelayed || this.#gatheredBytes > MAX_GATHERED_BYTES) this.#relayGathered();
    else this.#timer ??= setTimeout(() => this.#relayGathered(), MAX_GATHERING_MS);
  }

  /** The batch has ended: messages that are still buffered stay until `takeGathered`. */
  batchEnded(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  /** Returns and clears the buffered messages, followed by `end`. */
  takeGathered(end: Buffer): Buffer {
    this.batchEnded();
    if (this.#gathered.length === 0) return end;
    const bytes = Buffer.concat([...this.#gathered, end]);
    this.#clear();
    return bytes;
  }

  /** Discards the buffered messages: the batch is run again, or answered with an error. */
  discardGathered(): void {
    this.batchEnded();
    this.#clear();
  }

  /** Nothing more is relayed. */
  close(): void {
    this.#isClosed = true;
    this.discardGathered();
  }

  #relayGathered(): void {
    this.batchEnded();
    if (this.#gatheredBytes === 0) return;
    const bytes = this.#gathered.length === 1 ? this.#gathered[0] : Buffer.concat(this.#gathered);
    this.#clear();
    this.#anyBytesRelayed = true;
    if (bytes !== undefined && !this.#stream.write(bytes)) this.onBlocked();
  }

  #clear(): void {
    this.#gathered = [];
    this.#gatheredBytes = 0;
  }
}
