/** Encodes the server's messages of PostgreSQL protocol v3, named as in its manual. */
import { Writer } from 'pg-protocol/dist/buffer-writer.js';
import type { ResultColumn } from '../sql/plan.js';
import { formatValue, type Row, TYPE_OIDS, type TypeName } from '../sql/types.js';

const TYPE_SIZES: Readonly<Partial<Record<TypeName, number>>> = {
  bool: 1,
  int2: 2,
  int4: 4,
  int8: 8,
  float8: 8,
  timestamp: 8,
  timestamptz: 8,
  pg_lsn: 8,
};
const VARIABLE_SIZE = -1;
const NULL_LENGTH = -1;
const writer = new Writer(512);

export type TransactionStatus = 'I' | 'T' | 'E';

export interface ErrorFields {
  readonly severity: 'ERROR' | 'FATAL';
  readonly sqlState: string;
  readonly message: string;
  readonly detail: string | undefined;
}

function message(type: string): Buffer {
  return writer.flush(type.charCodeAt(0));
}

const EMPTY = Buffer.alloc(0);
function emptyMessage(type: string): Buffer {
  return writer.add(EMPTY).flush(type.charCodeAt(0));
}

export const parseComplete = emptyMessage('1');
export const bindComplete = emptyMessage('2');
export const closeComplete = emptyMessage('3');
export const noData = emptyMessage('n');
export const emptyQueryResponse = emptyMessage('I');
export const portalSuspended = emptyMessage('s');

export function authenticationOk(): Buffer {
  writer.addInt32(0);
  return message('R');
}

export function authenticationSasl(mechanism: string): Buffer {
  writer.addInt32(10).addCString(mechanism).addCString('');
  return message('R');
}

export function authenticationSaslContinue(data: string): Buffer {
  writer.addInt32(11).addString(data);
  return message('R');
}

export function authenticationSaslFinal(data: string): Buffer {
  writer.addInt32(12).addString(data);
  return message('R');
}

export function parameterStatus(name: string, value: string): Buffer {
  writer.addCString(name).addCString(value);
  return message('S');
}

export function backendKeyData(processId: number, secretKey: number): Buffer {
  writer.addInt32(processId).addInt32(secretKey);
  return message('K');
}

/** States that only minor version 0 is supported. */
export function negotiateProtocolVersion(): Buffer {
  writer.addInt32(0).addInt32(0);
  return message('v');
}

export function readyForQuery(status: TransactionStatus): Buffer {
  writer.addString(status);
  return message('Z');
}

export function commandComplete(tag: string): Buffer {
  writer.addCString(tag);
  return message('C');
}

export function errorResponse(fields: ErrorFields): Buffer {
  writer.addString('S').addCString(fields.severity);
  writer.addString('V').addCString(fields.severity);
  writer.addString('C').addCString(fields.sqlState);
  writer.addString('M').addCString(fields.message);
  if (fields.detail !== undefined) writer.addString('D').addCString(fields.detail);
  writer.addCString('');
  return message('E');
}

export function noticeResponse(sqlState: string, text: string): Buffer {
  writer.addString('S').addCString('WARNING').addString('V').addCString('WARNING');
  writer.addString('C').addCString(sqlState).addString('M').addCString(text).addCString('');
  return message('N');
}

export function rowDescription(columns: readonly ResultColumn[]): Buffer {
  writer.addInt16(columns.length);
  for (const { name, type } of columns) {
    writer.addCString(name).addInt32(0).addInt16(0);
    writer.addInt32(TYPE_OIDS[type]).addInt16(TYPE_SIZES[type] ?? VARIABLE_SIZE);
    writer.addInt32(-1).addInt16(0);
  }
  return message('T');
}

export function parameterDescription(types: readonly TypeName[]): Buffer {
  writer.addInt16(types.length);
  for (const type of types) writer.addInt32(TYPE_OIDS[type]);
  return message('t');
}

export function dataRow(row: Row): Buffer {
  writer.addInt16(row.length);
  for (const value of row) {
    if (value === null) writer.addInt32(NULL_LENGTH);
    else writer.addInt32PrefixedString(formatValue(value));
  }
  return message('D');
}
