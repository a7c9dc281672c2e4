/**
 * Builds the small backend messages that the proxy itself sends, with pg-protocol's writer.
 * Source: PostgreSQL manual, "Message Formats" and "Error and Notice Message Fields".
 */
import { Writer } from 'pg-protocol/dist/buffer-writer.js';
import { NotRunError, type RequestError } from '../core/errors.js';
import type { TransactionStatus } from './contract.js';

/** Type bytes of backend messages. */
export const BackendMessageType = {
  AUTHENTICATION: 0x52,
  BACKEND_KEY_DATA: 0x4b,
  BIND_COMPLETE: 0x32,
  CLOSE_COMPLETE: 0x33,
  COMMAND_COMPLETE: 0x43,
  COPY_BOTH_RESPONSE: 0x57,
  COPY_IN_RESPONSE: 0x47,
  COPY_OUT_RESPONSE: 0x48,
  DATA_ROW: 0x44,
  EMPTY_QUERY_RESPONSE: 0x49,
  ERROR_RESPONSE: 0x45,
  NEGOTIATE_PROTOCOL_VERSION: 0x76,
  NO_DATA: 0x6e,
  NOTICE_RESPONSE: 0x4e,
  NOTIFICATION_RESPONSE: 0x41,
  PARAMETER_DESCRIPTION: 0x74,
  PARAMETER_STATUS: 0x53,
  PARSE_COMPLETE: 0x31,
  PORTAL_SUSPENDED: 0x73,
  READY_FOR_QUERY: 0x5a,
  ROW_DESCRIPTION: 0x54,
} as const;

/** Type bytes of frontend messages. */
export const FrontendMessageType = {
  BIND: 0x42,
  CLOSE: 0x43,
  COPY_DATA: 0x64,
  COPY_DONE: 0x63,
  COPY_FAIL: 0x66,
  DESCRIBE: 0x44,
  EXECUTE: 0x45,
  FLUSH: 0x48,
  FUNCTION_CALL: 0x46,
  PARSE: 0x50,
  PASSWORD: 0x70,
  QUERY: 0x51,
  SYNC: 0x53,
  TERMINATE: 0x58,
} as const;

export type ErrorSeverity = 'ERROR' | 'FATAL' | 'PANIC';
export type NoticeSeverity = 'WARNING' | 'NOTICE' | 'INFO';

/** Fields of ErrorResponse and NoticeResponse that this project sets. */
export interface ErrorFields {
  readonly severity: ErrorSeverity | NoticeSeverity;
  /** SQLSTATE. */
  readonly code: string;
  readonly message: string;
  readonly detail?: string | undefined;
  readonly hint?: string | undefined;
}

const SQLSTATE_WARNING = '01000';
const writer = new Writer();

function writeField(name: string, value: string | undefined): void {
  if (value === undefined || value.length === 0) return;
  writer.addString(name).addCString(stripNul(value));
}

function stripNul(text: string): string {
  return text.replaceAll('\0', '');
}

function writeFields(fields: ErrorFields): void {
  writeField('S', fields.severity);
  writeField('V', fields.severity);
  writeField('C', fields.code);
  writeField('M', fields.message);
  writeField('D', fields.detail);
  writeField('H', fields.hint);
  writer.addCString('');
}

export function errorResponse(fields: ErrorFields): Buffer {
  writeFields(fields);
  return writer.flush(BackendMessageType.ERROR_RESPONSE);
}

/**
 * Builds ErrorResponse for a typed error. The detail, `<code>: <outcome>`, is stable and meant for
 * programs; the hint says when to retry.
 */
export function errorResponseOf(error: RequestError, severity: ErrorSeverity): Buffer {
  return errorResponse({
    severity,
    code: error.sqlState,
    message: error.message,
    detail: `${error.code}: ${error.outcome}`,
    hint: retryHintOf(error),
  });
}

function retryHintOf(error: RequestError): string | undefined {
  if (error.retryAfterMs !== undefined) return `retry after ${Math.ceil(error.retryAfterMs)} ms`;
  const isRetryable = error instanceof NotRunError && error.reason !== 'tenant-revoked';
  if (isRetryable) return 'the request did not run and may be sent again';
  return undefined;
}

export function noticeResponse(
  message: string,
  detail: string,
  severity: NoticeSeverity = 'WARNING',
): Buffer {
  writeFields({ severity, code: SQLSTATE_WARNING, message, detail });
  return writer.flush(BackendMessageType.NOTICE_RESPONSE);
}

export function parameterStatus(name: string, value: string): Buffer {
  writer.addCString(stripNul(name)).addCString(stripNul(value));
  return writer.flush(BackendMessageType.PARAMETER_STATUS);
}

export function backendKeyData(processId: number, secretKey: number): Buffer {
  writer.addInt32(processId).addInt32(secretKey);
  return writer.flush(BackendMessageType.BACKEND_KEY_DATA);
}

/** Builds an Authentication message, such as AuthenticationOk: an int32 code and its data. */
export function authentication(code: number, data?: Buffer): Buffer {
  writer.addInt32(code);
  if (data !== undefined) writer.add(data);
  return writer.flush(BackendMessageType.AUTHENTICATION);
}

export function commandComplete(tag: string): Buffer {
  writer.addCString(tag);
  return writer.flush(BackendMessageType.COMMAND_COMPLETE);
}

const TEXT_TYPE_OID = 25;
const VARIABLE_SIZE = -1;
const NO_TYPE_MODIFIER = -1;
const TEXT_FORMAT = 0;
const NULL_LENGTH = -1;

/** Builds RowDescription for columns of type text. */
export function rowDescription(columns: readonly string[]): Buffer {
  writer.addInt16(columns.length);
  for (const column of columns) {
    writer.addCString(column).addInt32(0).addInt16(0).addInt32(TEXT_TYPE_OID);
    writer.addInt16(VARIABLE_SIZE).addInt32(NO_TYPE_MODIFIER).addInt16(TEXT_FORMAT);
  }
  return writer.flush(BackendMessageType.ROW_DESCRIPTION);
}

/** Builds DataRow with text values. */
export function dataRow(values: readonly (string | null)[]): Buffer {
  writer.addInt16(values.length);
  for (const value of values) {
    if (value === null) writer.addInt32(NULL_LENGTH);
    else writer.addInt32PrefixedString(value);
  }
  return writer.flush(BackendMessageType.DATA_ROW);
}

/** Builds ParameterDescription for a statement without parameters. */
export function emptyParameterDescription(): Buffer {
  writer.addInt16(0);
  return writer.flush(BackendMessageType.PARAMETER_DESCRIPTION);
}

/** Builds NegotiateProtocolVersion: newest supported minor version, names of unsupported options. */
export function negotiateProtocolVersion(
  minorVersion: number,
  unknownOptions: readonly string[],
): Buffer {
  writer.addInt32(minorVersion).addInt32(unknownOptions.length);
  for (const option of unknownOptions) writer.addCString(option);
  return writer.flush(BackendMessageType.NEGOTIATE_PROTOCOL_VERSION);
}

function emptyMessage(type: number): Buffer {
  return Buffer.from([type, 0, 0, 0, 4]);
}

function readyForQueryMessage(status: TransactionStatus): Buffer {
  return Buffer.from([BackendMessageType.READY_FOR_QUERY, 0, 0, 0, 5, status.charCodeAt(0)]);
}

const READY_FOR_QUERY: Readonly<Record<TransactionStatus, Buffer>> = {
  I: readyForQueryMessage('I'),
  T: readyForQueryMessage('T'),
  E: readyForQueryMessage('E'),
};

/** Shared buffers: must not be modified. */
export const PARSE_COMPLETE = emptyMessage(BackendMessageType.PARSE_COMPLETE);
export const BIND_COMPLETE = emptyMessage(BackendMessageType.BIND_COMPLETE);
export const CLOSE_COMPLETE = emptyMessage(BackendMessageType.CLOSE_COMPLETE);
export const NO_DATA = emptyMessage(BackendMessageType.NO_DATA);
export const EMPTY_QUERY_RESPONSE = emptyMessage(BackendMessageType.EMPTY_QUERY_RESPONSE);

/** Returns a shared buffer, which must not be modified. */
export function readyForQuery(status: TransactionStatus): Buffer {
  return READY_FOR_QUERY[status];
}
