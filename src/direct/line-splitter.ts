/** Splits a byte stream into messages that end with CR LF, up to a maximum length. */

/** Maps each byte to one character, so that bytes that are not text pass through unchanged. */
export const WIRE_ENCODING = 'latin1';

const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;

export class LineSplitter {
  #rest: Buffer = Buffer.alloc(0);

  constructor(private readonly maxBytes: number) {}

  /** Returns the lines that this chunk completes, without CR LF; `undefined` in place of one that is too long. */
  push(chunk: Buffer): (string | undefined)[] {
    const data = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const lines: (string | undefined)[] = [];
    let start = 0;
    let searchFrom = 0;
    for (;;) {
      const end = data.indexOf(LINE_FEED, searchFrom);
      if (end < 0) break;
      searchFrom = end + 1;
      if (end === start || data[end - 1] !== CARRIAGE_RETURN) continue;
      lines.push(
        end - start > this.maxBytes ? undefined : data.toString(WIRE_ENCODING, start, end - 1),
      );
      start = end + 1;
    }
    this.#rest = data.subarray(start);
    if (this.#rest.length > this.maxBytes) lines.push(undefined);
    return lines;
  }
}
