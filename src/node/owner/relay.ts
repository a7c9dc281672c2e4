/**
 * Gathers the answer of a running batch, so that a short one travels with its end in one frame and
 * can still be withdrawn, while a long or slow one flows on.
 */
import type { PeerStream } from '../../peer/contract.js';

/** Answers up to this size wait for their end. */
const GATHERED_BYTES = 16 * 1024;
/** Rows of a slow statement wait at most this long, in ms. */
const GATHERING_MS = 10;

/** Gathers and relays the answer of the batch that runs. */
export class AnswerRelay {
  readonly #stream: PeerStream;
  #gathered: Buffer[] = [];
  #gatheredBytes = 0;
  #timer: NodeJS.Timeout | undefined;
  #flowed = false;
  #closed = false;

  /** `onBlocked`: the stream wants no more until its `onDrain`. */
  constructor(
    stream: PeerStream,
    readonly onBlocked: () => void,
  ) {
    this.#stream = stream;
  }

  /** True once any byte has left for the caller; then the answer can't be withdrawn. */
  get flowed(): boolean {
    return this.#flowed;
  }

  /** True once any part of the running batch's answer has come. */
  get hasAnswer(): boolean {
    return this.#flowed || this.#gatheredBytes > 0;
  }

  /** Whole backend messages. */
  add(messages: Buffer): void {
    if (this.#closed) return;
    this.#gathered.push(messages);
    this.#gatheredBytes += messages.length;
    if (this.#flowed || this.#gatheredBytes > GATHERED_BYTES) this.#flow();
    else this.#timer ??= setTimeout(() => this.#flow(), GATHERING_MS);
  }

  /** The batch has ended: what is still gathered waits for `take`. */
  batchEnded(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  /** What did not flow yet, followed by `end`. */
  take(end: Buffer): Buffer {
    this.batchEnded();
    if (this.#gathered.length === 0) return end;
    const bytes = Buffer.concat([...this.#gathered, end]);
    this.#clear();
    return bytes;
  }

  /** Forgets what did not flow: the batch is run again, or answered by an error. */
  withdraw(): void {
    this.batchEnded();
    this.#clear();
  }

  /** Nothing more is relayed. */
  close(): void {
    this.#closed = true;
    this.withdraw();
  }

  #flow(): void {
    this.batchEnded();
    if (this.#gatheredBytes === 0) return;
    const bytes = this.#gathered.length === 1 ? this.#gathered[0] : Buffer.concat(this.#gathered);
    this.#clear();
    this.#flowed = true;
    if (bytes !== undefined && !this.#stream.write(bytes)) this.onBlocked();
  }

  #clear(): void {
    this.#gathered = [];
    this.#gatheredBytes = 0;
  }
}
