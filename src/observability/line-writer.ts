/**
 * Writes log lines to a stream whose reader may stall. The bytes buffered for the reader are limited, and lines beyond
 * the limit are dropped and counted, so that a stalled reader neither blocks the process nor fills its memory.
 */

/** The members of a writable stream that are used; `process.stdout` satisfies this. */
export interface LineStream {
  /** Bytes that were written and are still buffered. */
  readonly writableLength: number;
  write(text: string): unknown;
}

/** Lines are dropped while more than this is buffered. */
export const DEFAULT_MAX_BUFFERED_BYTES = 256 * 1024;

/** Writes whole lines; never blocks on a pipe. */
export class LineWriter {
  #dropped = 0;
  #unreportedDropped = 0;

  constructor(
    private readonly stream: LineStream,
    private readonly maxBufferedBytes: number = DEFAULT_MAX_BUFFERED_BYTES,
  ) {}

  /** Total number of dropped lines. */
  get dropped(): number {
    return this.#dropped;
  }

  /** `line` has no line terminator. */
  write(line: string): void {
    if (this.stream.writableLength > this.maxBufferedBytes) {
      this.#dropped += 1;
      this.#unreportedDropped += 1;
      return;
    }
    this.#reportDropped();
    this.stream.write(`${line}\n`);
  }

  #reportDropped(): void {
    if (this.#unreportedDropped === 0) return;
    const lines = this.#unreportedDropped;
    this.#unreportedDropped = 0;
    this.stream.write(`${JSON.stringify({ level: 'warn', event: 'log lines dropped', lines })}\n`);
  }
}
