/** Splits a stream of bytes into lines of UTF-8 text of limited length. */
import { err, ok, type Result } from 'neverthrow';
import { MeadowstackError } from '../core/errors.js';

const LINE_FEED = 0x0a;

export class LineTooLongError extends MeadowstackError {
  readonly code = 'MS-LINE-TOO-LONG';

  constructor(maxBytes: number) {
    super(`a line is longer than ${maxBytes} bytes`);
  }
}

export class LineReader {
  #partial: Buffer[] = [];
  #partialBytes = 0;

  constructor(private readonly maxLineBytes: number) {}

  /** Adds a chunk and returns the lines that it completes, without line feeds and without empty lines. */
  push(chunk: Buffer): Result<string[], LineTooLongError> {
    const lines: string[] = [];
    let start = 0;
    for (let end = chunk.indexOf(LINE_FEED); end >= 0; end = chunk.indexOf(LINE_FEED, start)) {
      const line = Buffer.concat([...this.#partial, chunk.subarray(start, end)]);
      this.#partial = [];
      this.#partialBytes = 0;
      start = end + 1;
      if (line.length > 0) lines.push(line.toString('utf8'));
    }
    const rest = chunk.subarray(start);
    this.#partialBytes += rest.length;
    if (this.#partialBytes > this.maxLineBytes) return err(new LineTooLongError(this.maxLineBytes));
    if (rest.length > 0) this.#partial.push(rest);
    return ok(lines);
  }
}
