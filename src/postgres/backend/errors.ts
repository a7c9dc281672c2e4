/** Errors of connections to back ends. None of them is sent to a caller unchanged. */
import { type ErrorLabel, MeadowstackError } from '../../core/errors.js';
import type { ServerError } from './server-error.js';

/** Why a connection could not be opened. */
export type BackendConnectFailure =
  /** The back end's own connection limit (SQLSTATE 53300): a later attempt may succeed. */
  | 'refused-by-limit'
  /** The back end refused for another reason, such as starting up (57P03) or no such database. */
  | 'refused'
  /** Wrong password, unknown role, or an authentication method that the proxy doesn't support. */
  | 'authentication'
  /** No connection: refused, reset, no route, or TLS failed. */
  | 'unreachable'
  | 'timeout'
  /** The back end violated the protocol. */
  | 'protocol';

const TRANSIENT_FAILURES: ReadonlySet<BackendConnectFailure> = new Set([
  'refused-by-limit',
  'refused',
  'unreachable',
  'timeout',
]);

/** A connection to a back end could not be opened. */
export class BackendConnectError extends MeadowstackError {
  readonly code: string;
  override readonly labels: ReadonlySet<ErrorLabel>;

  constructor(
    readonly failure: BackendConnectFailure,
    message: string,
    /** The error that the back end sent, if any. */
    readonly serverError?: ServerError,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.code = `MS-BACKEND-CONNECT-${failure.toUpperCase()}`;
    this.labels = new Set(TRANSIENT_FAILURES.has(failure) ? ['retryable'] : []);
  }
}

/** Why an open connection ended. */
export type BackendLossReason =
  /** The socket failed or was closed by the back end. */
  | 'connection-lost'
  /** The back end closed it with a FATAL error, such as 57P01 when it stops. */
  | 'ended-by-server'
  /** The back end sent a malformed message, or one that is not allowed at that point. */
  | 'protocol-violation'
  /** `close()` was called while a batch ran. */
  | 'closed'
  /** A CancelRequest may still be in transit, so the connection can't be used again. */
  | 'cancel-uncertain'
  /** The messages held back until confirmation exceeded their limit. */
  | 'held-back-too-large';

/** A back-end connection ended. */
export class BackendLostError extends MeadowstackError {
  readonly code: string;

  constructor(
    readonly reason: BackendLossReason,
    message: string,
    /** The FATAL error that the back end sent, if any. */
    readonly serverError?: ServerError,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.code = `MS-BACKEND-${reason.toUpperCase()}`;
  }
}

/** A batch was given to a connection that already runs one; none of it was written. */
export class BackendBusyError extends MeadowstackError {
  readonly code = 'MS-BACKEND-BUSY';

  constructor() {
    super('the connection already runs a batch');
  }
}

/** The back end responded to the proxy's own query (probe, reset, position) with an error. */
export class BackendQueryError extends MeadowstackError {
  readonly code = 'MS-BACKEND-QUERY';

  constructor(readonly serverError: ServerError) {
    super(`${serverError.severity} ${serverError.sqlState}: ${serverError.message}`);
  }
}

/** A CancelRequest could not be sent. */
export class BackendCancelError extends MeadowstackError {
  readonly code = 'MS-BACKEND-CANCEL';
}

/** The response to the position query is malformed. */
export class PositionAnswerError extends MeadowstackError {
  readonly code = 'MS-POSITION-ANSWER';
}

/** SCRAM failed: the server's message is malformed or reports an error, or its signature is wrong. */
export class ScramError extends MeadowstackError {
  readonly code = 'MS-SCRAM';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['security']);
}
