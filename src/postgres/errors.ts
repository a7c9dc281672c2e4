/** Errors of the PostgreSQL v3 wire protocol, shared by the callers' and the back ends' side. */
import { type ErrorLabel, RequestError, SqlState } from '../core/errors.js';

/** A message is malformed or not allowed at that point. The connection it was received on is closed. */
export class ProtocolViolationError extends RequestError {
  readonly code = 'MS-PROTOCOL';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.PROTOCOL_VIOLATION;
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['protocol-violation']);
}

/** A message exceeds the connection's size limit. The connection it was received on is closed. */
export class MessageTooLargeError extends RequestError {
  readonly code = 'MS-MESSAGE-TOO-LARGE';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.PROGRAM_LIMIT_EXCEEDED;

  constructor(
    /** Length declared by the message, in bytes. */
    readonly declaredBytes: number,
    readonly maximumBytes: number,
  ) {
    super(`message of ${declaredBytes} bytes is longer than the limit of ${maximumBytes} bytes`);
  }
}
