/** Errors of connections to back ends. None of them reaches a caller as it is. */
import { type ErrorLabel, MeadowstackError } from '../../core/errors.js';
import type { ServerError } from './server-error.js';

/** Why a connection could not be opened. */
export type BackendConnectFailure =
  /** The back end's own limit of connections (SQLSTATE 53300): another time it may work. */
  | 'refused-by-limit'
  /** The back end refused for another reason, such as starting up (57P03) or no such database. */
  | 'refused'
  /** Wrong password, unknown role, or a mechanism that this side doesn't take. */
  | 'authentication'
  /** No connection at all: refused, reset, no route, or TLS that could not be set up. */
  | 'unreachable'
  | 'timeout'
  /** The other side did not speak the protocol. */
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
    /** What the back end itself said, if it did. */
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
  /** The socket failed or was closed by the other side. */
  | 'connection-lost'
  /** The back end ended it with a FATAL error, such as 57P01 when it stops. */
  | 'ended-by-server'
  /** A message that is not lawful at that point. */
  | 'protocol-violation'
  /** `close()` was called while a batch ran. */
  | 'closed'
  /** A CancelRequest may still be on its way, so the connection can't be used again. */
  | 'cancel-uncertain'
  /** What has to be held back until confirmation outgrew its bound. */
  | 'held-back-too-large';

/** A back-end connection ended. */
export class BackendLostError extends MeadowstackError {
  readonly code: string;

  constructor(
    readonly reason: BackendLossReason,
    message: string,
    /** The FATAL error that the back end gave, if it did. */
    readonly serverError?: ServerError,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.code = `MS-BACKEND-${reason.toUpperCase()}`;
  }
}

/** A second batch was given to a connection that runs one; nothing of it was written. */
export class BackendBusyError extends MeadowstackError {
  readonly code = 'MS-BACKEND-BUSY';

  constructor() {
    super('the connection already runs a batch');
  }
}

/** The back end answered a query of our own (probe, reset, position) with an error. */
export class BackendQueryError extends MeadowstackError {
  readonly code = 'MS-BACKEND-QUERY';

  constructor(readonly serverError: ServerError) {
    super(`${serverError.severity} ${serverError.sqlState}: ${serverError.message}`);
  }
}

/** A CancelRequest could not be delivered, or it can't be told whether it was. */
export class BackendCancelError extends MeadowstackError {
  readonly code = 'MS-BACKEND-CANCEL';
}

/** An answer to the position query that has not its shape. */
export class PositionAnswerError extends MeadowstackError {
  readonly code = 'MS-POSITION-ANSWER';
}

/** SCRAM failed: the server's message is malformed, or it doesn't know the password itself. */
export class ScramError extends MeadowstackError {
  readonly code = 'MS-SCRAM';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['security']);
}
