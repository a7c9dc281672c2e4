/** Parses ErrorResponse of a back end. Source: PostgreSQL manual, "Error and Notice Message Fields". */
import { FRAME_HEADER_BYTES } from '../frames.js';

/** The fields of an ErrorResponse that the proxy uses. */
export interface ServerError {
  /** `ERROR`, `FATAL` or `PANIC`, never translated. */
  readonly severity: string;
  readonly sqlState: string;
  readonly message: string;
}

const NUL = 0;
const FIELD_SEVERITY_LOCALIZED = 0x53;
const FIELD_SEVERITY = 0x56;
const FIELD_SQLSTATE = 0x43;
const FIELD_MESSAGE = 0x4d;

/** SQLSTATE with which a server refuses connections over its limit. */
export const SQLSTATE_TOO_MANY_CONNECTIONS = '53300';
/** SQLSTATE class of failed authentication and authorization. */
const SQLSTATE_CLASS_AUTHORIZATION = '28';

/** Parses the ErrorResponse in `buffer[start, end)`. Missing fields are empty. */
export function parseServerError(buffer: Buffer, start: number, end: number): ServerError {
  const fields = new Map<number, string>();
  let offset = start + FRAME_HEADER_BYTES;
  while (offset < end) {
    const field = buffer[offset] ?? NUL;
    if (field === NUL) break;
    const terminator = buffer.indexOf(NUL, offset + 1);
    const valueEnd = terminator < 0 || terminator > end ? end : terminator;
    fields.set(field, buffer.toString('utf8', offset + 1, valueEnd));
    offset = valueEnd + 1;
  }
  return {
    severity: fields.get(FIELD_SEVERITY) ?? fields.get(FIELD_SEVERITY_LOCALIZED) ?? '',
    sqlState: fields.get(FIELD_SQLSTATE) ?? '',
    message: fields.get(FIELD_MESSAGE) ?? '',
  };
}

/** True if the server closes the connection after this error. */
export function endsConnection(error: ServerError): boolean {
  return error.severity === 'FATAL' || error.severity === 'PANIC';
}

/** True if the server refused the role, not the request. */
export function isAuthorizationError(error: ServerError): boolean {
  return error.sqlState.startsWith(SQLSTATE_CLASS_AUTHORIZATION);
}
