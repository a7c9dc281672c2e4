/** Backend messages for SHOW of a session setting; named as in PostgreSQL's manual. */
import { Writer } from 'pg-protocol/dist/buffer-writer.js';

export { commandComplete } from '../../postgres/messages.js';

const ROW_DESCRIPTION = 'T'.charCodeAt(0);
const DATA_ROW = 'D'.charCodeAt(0);
const TEXT_TYPE_OID = 25;
const VARIABLE_LENGTH = -1;
const NO_MODIFIER = -1;
const TEXT_FORMAT = 0;

/** RowDescription with one text column. */
export function settingRowDescription(name: string): Buffer {
  const writer = new Writer();
  writer.addInt16(1).addCString(name).addInt32(0).addInt16(0);
  writer.addInt32(TEXT_TYPE_OID).addInt16(VARIABLE_LENGTH).addInt32(NO_MODIFIER);
  writer.addInt16(TEXT_FORMAT);
  return writer.flush(ROW_DESCRIPTION);
}

/** DataRow with one text value. */
export function settingRow(value: string): Buffer {
  const writer = new Writer();
  writer.addInt16(1).addInt32(Buffer.byteLength(value)).addString(value);
  return writer.flush(DATA_ROW);
}

/** A message that has no payload, such as ParseComplete. */
export function emptyMessage(type: string): Buffer {
  return new Writer().flush(type.charCodeAt(0));
}
