/**
 * Writes log lines to a stream that may not be read: what it has not taken is bounded, and lines beyond
 * the bound are dropped and counted, so that a reader that stands still holds nothing up.
 */

/** The part of a stream that is used; standard output fits. */
export interface LineStream {
  /** Bytes that were written and not taken yet. */
  readonly writableLength: number;
  write(text: string): unknown;
}

/** Bytes that may wait for the reader. */
export const DEFAULT_MAX_WAITING_BYTES = 256 * 1024;

/** A writer of whole lines; never blocks on a pipe. */
export class LineWriter {
  #dropped = 0;
  #droppedSinceTold = 0;

  constructor(
    private readonly stream: LineStream,
    private readonly maxWaitingBytes: number = DEFAULT_MAX_WAITING_BYTES,
  ) {}

  /** Lines that were dropped since the start. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Takes a line without its end. */
  write(line: string): void {
    if (this.stream.writableLength > this.maxWaitingBytes) {
      this.#dropped += 1;
      this.#droppedSinceTold += 1;
      return;
    }
    this.#tellDropped();
    this.stream.write(`${line}\n`);
  }

  #tellDropped(): void {
    if (this.#droppedSinceTold === 0) return;
    const lines = this.#droppedSinceTold;
    this.#droppedSinceTold = 0;
    this.stream.write(`${JSON.stringify({ level: 'warn', event: 'log lines dropped', lines })}\n`);
  }
}
