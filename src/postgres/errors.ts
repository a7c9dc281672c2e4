/** Errors of the PostgreSQL v3 wire that both of its sides share. */
import { type ErrorLabel, RequestError, SqlState } from '../core/errors.js';

/** Bytes that are not a lawful message of the protocol. Ends the connection they came on. */
export class ProtocolViolationError extends RequestError {
  readonly code = 'MS-PROTOCOL';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.PROTOCOL_VIOLATION;
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['protocol-violation']);
}

/** A message longer than the connection takes. Ends the connection it came on. */
export class MessageTooLargeError extends RequestError {
  readonly code = 'MS-MESSAGE-TOO-LARGE';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.PROGRAM_LIMIT_EXCEEDED;

  constructor(
    /** Length that the message declared, in bytes. */
    readonly declaredBytes: number,
    readonly maximumBytes: number,
  ) {
    super(`message of ${declaredBytes} bytes is longer than the limit of ${maximumBytes} bytes`);
  }
}
