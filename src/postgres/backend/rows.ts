/** Parses the rows of the proxy's own queries as text. */
import { FRAME_HEADER_BYTES } from '../frames.js';

/** One row; null stands for SQL NULL. */
export type TextRow = readonly (string | null)[];

const COUNT_BYTES = 2;
const LENGTH_BYTES = 4;
const NULL_LENGTH = -1;

/** Parses the DataRow in `buffer[start, end)`; undefined if it is malformed. */
export function parseTextRow(buffer: Buffer, start: number, end: number): TextRow | undefined {
  let offset = start + FRAME_HEADER_BYTES;
  if (offset + COUNT_BYTES > end) return undefined;
  const columns = buffer.readInt16BE(offset);
  offset += COUNT_BYTES;
  const row: (string | null)[] = [];
  for (let column = 0; column < columns; column += 1) {
    if (offset + LENGTH_BYTES > end) return undefined;
    const length = buffer.readInt32BE(offset);
    offset += LENGTH_BYTES;
    const valueEnd = offset + Math.max(length, 0);
    if (length < NULL_LENGTH || valueEnd > end) return undefined;
    row.push(length === NULL_LENGTH ? null : buffer.toString('utf8', offset, valueEnd));
    offset = valueEnd;
  }
  return row;
}
