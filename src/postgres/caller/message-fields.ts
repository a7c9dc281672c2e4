/** Reads fields of frontend messages in place. Each function returns undefined if the message is malformed. */
import { FRAME_HEADER_BYTES } from '../frames.js';

/** One complete frontend message: `buffer[start, end)`, including type byte and length. */
export interface Frame {
  readonly type: number;
  readonly buffer: Buffer;
  readonly start: number;
  readonly end: number;
}

/** A zero-terminated string and its offsets; `end` is the offset of its zero byte. */
export interface StringField {
  readonly text: string;
  readonly start: number;
  readonly end: number;
}

const INT16_BYTES = 2;
const INT32_BYTES = 4;

/** Reads the zero-terminated string that begins at `start` inside the frame. */
function readString(frame: Frame, start: number): StringField | undefined {
  const end = frame.buffer.indexOf(0, start);
  if (end === -1 || end >= frame.end) return undefined;
  const text = end === start ? '' : frame.buffer.toString('utf8', start, end);
  return { text, start, end };
}

/** Reads the text of Query, which must fill the message. */
export function readQuery(frame: Frame): string | undefined {
  const text = readString(frame, frame.start + FRAME_HEADER_BYTES);
  return text?.end === frame.end - 1 ? text.text : undefined;
}

export interface ParseFields {
  readonly name: StringField;
  readonly text: StringField;
  readonly parameterTypes: readonly number[];
}

export function readParse(frame: Frame): ParseFields | undefined {
  const name = readString(frame, frame.start + FRAME_HEADER_BYTES);
  const text = name && readString(frame, name.end + 1);
  if (name === undefined || text === undefined) return undefined;
  const countAt = text.end + 1;
  if (countAt + INT16_BYTES > frame.end) return undefined;
  const count = frame.buffer.readUInt16BE(countAt);
  if (countAt + INT16_BYTES + count * INT32_BYTES !== frame.end) return undefined;
  const parameterTypes: number[] = [];
  for (let index = 0; index < count; index += 1) {
    parameterTypes.push(frame.buffer.readUInt32BE(countAt + INT16_BYTES + index * INT32_BYTES));
  }
  return { name, text, parameterTypes };
}

export interface BindFields {
  readonly portal: StringField;
  readonly statement: StringField;
}

/** Reads the names in Bind. The back end checks the formats and values. */
export function readBind(frame: Frame): BindFields | undefined {
  const portal = readString(frame, frame.start + FRAME_HEADER_BYTES);
  const statement = portal && readString(frame, portal.end + 1);
  if (portal === undefined || statement === undefined) return undefined;
  return { portal, statement };
}

/** Describe and Close: `S` for a prepared statement, `P` for a portal. */
export interface TargetFields {
  readonly target: 'S' | 'P';
  readonly name: StringField;
}

export function readTarget(frame: Frame): TargetFields | undefined {
  const targetAt = frame.start + FRAME_HEADER_BYTES;
  if (targetAt >= frame.end) return undefined;
  const target = String.fromCharCode(frame.buffer[targetAt] ?? 0);
  const name = readString(frame, targetAt + 1);
  if (name?.end !== frame.end - 1 || (target !== 'S' && target !== 'P')) return undefined;
  return { target, name };
}

/** Reads the portal's name in Execute. The row limit is relayed unread. */
export function readExecute(frame: Frame): string | undefined {
  const portal = readString(frame, frame.start + FRAME_HEADER_BYTES);
  return portal?.end === frame.end - 1 - INT32_BYTES ? portal.text : undefined;
}
