/**
 * The error hierarchy: each kind of failure has its own class. Errors reported to a caller carry the
 * outcome of the request, an SQLSTATE and a stable detail code. See docs/ERRORS.md.
 */
import type { Milliseconds } from './units.js';

/**
 * Outcome of a request that ended with an error. `done`: an earlier request with the same
 * idempotency key took effect, so this one was not run.
 */
export type FailureOutcome = 'done' | 'not-run' | 'unknown' | 'failed';

/** Labels by which callers of the core decide how to handle an error. */
export type ErrorLabel = 'retryable' | 'protocol-violation' | 'configuration' | 'security';

/** Base class of all errors of this project. */
export abstract class MeadowstackError extends Error {
  /** Stable machine-readable code, `MS-…`; documented in docs/ERRORS.md. */
  abstract readonly code: string;
  readonly labels: ReadonlySet<ErrorLabel> = new Set();

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** The text is not a log sequence number in PostgreSQL's format. */
export class InvalidLsnError extends MeadowstackError {
  readonly code = 'MS-LSN';

  constructor(readonly text: string) {
    super(`not a log sequence number: ${JSON.stringify(text.slice(0, 40))}`);
  }
}

/** SQLSTATEs that the proxy itself reports, named as in appendix A of PostgreSQL's manual. */
export const SqlState = {
  CANNOT_CONNECT_NOW: '57P03',
  ADMIN_SHUTDOWN: '57P01',
  TOO_MANY_CONNECTIONS: '53300',
  CONFIGURATION_LIMIT_EXCEEDED: '53400',
  TRANSACTION_RESOLUTION_UNKNOWN: '08007',
  CONNECTION_FAILURE: '08006',
  PROTOCOL_VIOLATION: '08P01',
  FEATURE_NOT_SUPPORTED: '0A000',
  QUERY_CANCELED: '57014',
  INVALID_PASSWORD: '28P01',
  INVALID_AUTHORIZATION: '28000',
  INVALID_CATALOG_NAME: '3D000',
  INVALID_PARAMETER_VALUE: '22023',
  INSUFFICIENT_PRIVILEGE: '42501',
  IN_FAILED_TRANSACTION: '25P02',
  PROGRAM_LIMIT_EXCEEDED: '54000',
  DUPLICATE_PREPARED_STATEMENT: '42P05',
  INVALID_SQL_STATEMENT_NAME: '26000',
  INVALID_CURSOR_NAME: '34000',
  IDLE_IN_TRANSACTION_SESSION_TIMEOUT: '25P03',
  UNIQUE_VIOLATION: '23505',
  OBJECT_NOT_IN_PREREQUISITE_STATE: '55000',
} as const;

export type SqlStateCode = (typeof SqlState)[keyof typeof SqlState];

/** Base class of errors that end a request and are reported to its caller. */
export abstract class RequestError extends MeadowstackError {
  abstract readonly outcome: FailureOutcome;
  abstract readonly sqlState: SqlStateCode;
  /** Delay after which a retry makes sense; undefined if none is suggested. */
  readonly retryAfterMs: Milliseconds | undefined;

  constructor(message: string, retryAfterMs?: Milliseconds) {
    super(message);
    this.retryAfterMs = retryAfterMs;
  }
}

/** Why a request was refused before any byte of it was sent to a back end. */
export type NotRunReason =
  | 'no-primary'
  | 'deadline-unreachable'
  | 'deadline-passed'
  | 'queue-full'
  | 'in-flight-limit'
  | 'rate-limit'
  | 'connection-limit'
  | 'owner-unreachable'
  | 'owner-stopping'
  | 'no-eligible-instance'
  | 'stale-transaction'
  | 'caller-gone'
  | 'connection-lost-before-send'
  | 'tenant-revoked';

const LIMIT_REASONS: ReadonlySet<NotRunReason> = new Set(['in-flight-limit', 'rate-limit']);

/** The request certainly did not run: no byte of it was written to a back-end socket. */
export class NotRunError extends RequestError {
  readonly code: string;
  readonly outcome = 'not-run';
  readonly sqlState: SqlStateCode;
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['retryable']);

  constructor(
    readonly reason: NotRunReason,
    message: string,
    retryAfterMs?: Milliseconds,
  ) {
    super(message, retryAfterMs);
    this.code = `MS-NOT-RUN-${reason.toUpperCase()}`;
    this.sqlState = sqlStateOfNotRun(reason);
  }
}

function sqlStateOfNotRun(reason: NotRunReason): SqlStateCode {
  if (reason === 'connection-limit') return SqlState.TOO_MANY_CONNECTIONS;
  if (reason === 'tenant-revoked') return SqlState.INVALID_AUTHORIZATION;
  if (LIMIT_REASONS.has(reason)) return SqlState.CONFIGURATION_LIMIT_EXCEEDED;
  return SqlState.CANNOT_CONNECT_NOW;
}

/** Why the outcome of a request is unknown. */
export type UnknownReason =
  | 'connection-lost'
  | 'primary-replaced'
  | 'confirmation-timeout'
  | 'run-timeout'
  | 'owner-lost'
  /** The request ran, but its position was not recorded where the session's next node would read it. */
  | 'session-not-recorded'
  /** The session was terminated while the request ran. */
  | 'session-ended';

/** The request may or may not have run, and its effects may be lost. The proxy never retries it. */
export class UnknownOutcomeError extends RequestError {
  readonly code: string;
  readonly outcome = 'unknown';
  readonly sqlState = SqlState.TRANSACTION_RESOLUTION_UNKNOWN;

  constructor(
    readonly reason: UnknownReason,
    message: string,
  ) {
    super(message);
    this.code = `MS-UNKNOWN-${reason.toUpperCase()}`;
  }
}

/** The transaction was rolled back, by the proxy or because its connection was lost before COMMIT was sent. */
export class TransactionAbortedError extends RequestError {
  readonly code: string = 'MS-TRANSACTION-ABORTED';
  readonly outcome = 'failed';
  readonly sqlState: SqlStateCode = SqlState.CONNECTION_FAILURE;
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['retryable']);
}

/** The transaction was rolled back because its caller exceeded the idle timeout. */
export class IdleTransactionError extends TransactionAbortedError {
  override readonly code = 'MS-TRANSACTION-IDLE';
  override readonly sqlState = SqlState.IDLE_IN_TRANSACTION_SESSION_TIMEOUT;

  constructor(readonly timeoutMs: Milliseconds) {
    super(`the open transaction was rolled back: it was idle for ${timeoutMs} ms`);
  }
}

/** Why a read failed after it had started. */
export type ReadFailureReason =
  | 'connection-lost'
  | 'primary-replaced'
  | 'confirmation-timeout'
  | 'run-timeout'
  | 'replica-behind';

/** A read ended without a reliable result. It changed nothing and may be retried. */
export class ReadFailedError extends RequestError {
  readonly code: string;
  readonly outcome = 'failed';
  readonly sqlState = SqlState.CONNECTION_FAILURE;
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['retryable']);

  constructor(
    readonly reason: ReadFailureReason,
    message: string,
    retryAfterMs?: Milliseconds,
  ) {
    super(message, retryAfterMs);
    this.code = `MS-READ-${reason.toUpperCase()}`;
  }
}

/** The statement uses a feature that transaction pooling can't support, such as LISTEN or COPY. */
export class UnsupportedFeatureError extends RequestError {
  readonly code = 'MS-UNSUPPORTED';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.FEATURE_NOT_SUPPORTED;

  constructor(readonly feature: string) {
    super(`${feature} is not supported through a pooled connection`);
  }
}
