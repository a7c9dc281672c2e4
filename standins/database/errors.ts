/** Errors that the PostgreSQL stand-in sends to clients: an SQLSTATE and a message. */
import { MeadowstackError } from '../../src/core/errors.js';

/** SQLSTATEs that the stand-in reports, named as in appendix A of PostgreSQL's manual. */
export const ServerSqlState = {
  ACTIVE_SQL_TRANSACTION: '25001',
  ADMIN_SHUTDOWN: '57P01',
  CANNOT_CONNECT_NOW: '57P03',
  DEADLOCK_DETECTED: '40P01',
  DIVISION_BY_ZERO: '22012',
  DUPLICATE_TABLE: '42P07',
  FEATURE_NOT_SUPPORTED: '0A000',
  INTERNAL_ERROR: 'XX000',
  INVALID_PASSWORD: '28P01',
  INVALID_SQL_STATEMENT_NAME: '26000',
  INVALID_CURSOR_NAME: '34000',
  INVALID_TEXT_REPRESENTATION: '22P02',
  IN_FAILED_TRANSACTION: '25P02',
  NOT_NULL_VIOLATION: '23502',
  NUMERIC_OUT_OF_RANGE: '22003',
  OBJECT_NOT_IN_PREREQUISITE_STATE: '55000',
  PROTOCOL_VIOLATION: '08P01',
  QUERY_CANCELED: '57014',
  READ_ONLY_TRANSACTION: '25006',
  SERIALIZATION_FAILURE: '40001',
  SYNTAX_ERROR: '42601',
  TOO_MANY_CONNECTIONS: '53300',
  UNDEFINED_COLUMN: '42703',
  UNDEFINED_FUNCTION: '42883',
  UNDEFINED_OBJECT: '42704',
  UNDEFINED_PARAMETER: '42P02',
  UNDEFINED_TABLE: '42P01',
  UNIQUE_VIOLATION: '23505',
  DUPLICATE_PREPARED_STATEMENT: '42P05',
  INVALID_COLUMN_REFERENCE: '42P10',
} as const;

export type ServerSqlStateCode = (typeof ServerSqlState)[keyof typeof ServerSqlState];

/** Sent to the client as an ErrorResponse of severity ERROR, or FATAL if it ends the connection. */
export class ServerError extends MeadowstackError {
  readonly code = 'MS-STANDIN-SERVER';

  constructor(
    readonly sqlState: ServerSqlStateCode,
    message: string,
    readonly detail: string | undefined = undefined,
  ) {
    super(message);
  }
}

/** Error for a construct that is not part of the stand-in's SQL subset. */
export function unsupportedError(feature: string): ServerError {
  return new ServerError(
    ServerSqlState.FEATURE_NOT_SUPPORTED,
    `the stand-in does not support ${feature}`,
  );
}
