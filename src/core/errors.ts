/**
 * The error hierarchy. Every failure has a class; none is a bare string. Errors that reach a caller
 * carry the outcome they stand for, an SQLSTATE and a stable detail code. See docs/ERRORS.md.
 */
import type { Milliseconds } from './units.js';

/**
 * What is known of a request that did not simply succeed. `done`: an earlier request with the same
 * key took effect, so this one was not run a second time.
 */
export type FailureOutcome = 'done' | 'not-run' | 'unknown' | 'failed';

/** Labels that callers of the core branch on. */
export type ErrorLabel = 'retryable' | 'protocol-violation' | 'configuration' | 'security';

/** Base of every error of this project. */
export abstract class MeadowstackError extends Error {
  /** Stable machine-readable code, `MS-…`; documented in docs/ERRORS.md. */
  abstract readonly code: string;
  readonly labels: ReadonlySet<ErrorLabel> = new Set();

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** An LSN that is not in PostgreSQL's text form. */
export class InvalidLsnError extends MeadowstackError {
  readonly code = 'MS-LSN';

  constructor(readonly text: string) {
    super(`not a log sequence number: ${JSON.stringify(text.slice(0, 40))}`);
  }
}

/** SQLSTATEs that this project reports by itself, named as in PostgreSQL's appendix A. */
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

/** An error that ends one request and is reported to its caller. */
export abstract class RequestError extends MeadowstackError {
  abstract readonly outcome: FailureOutcome;
  abstract readonly sqlState: SqlStateCode;
  /** When the caller may usefully try again, from now; absent if a retry makes no sense. */
  readonly retryAfterMs: Milliseconds | undefined;

  constructor(message: string, retryAfterMs?: Milliseconds) {
    super(message);
    this.retryAfterMs = retryAfterMs;
  }
}

/** Why a request was refused without a byte of it reaching a back end. */
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

/** The request truly did not run: nothing of it was written to any back-end socket. */
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

/** Why the outcome of a request can't be told. */
export type UnknownReason =
  | 'connection-lost'
  | 'primary-replaced'
  | 'confirmation-timeout'
  | 'run-timeout'
  | 'owner-lost'
  /** Done, but not recorded where the session's next node would look for it. */
  | 'session-not-recorded'
  /** The session was ended by force while the request ran. */
  | 'session-ended';

/** The request may or may not have run and may or may not last. Never retried by the proxy. */
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

/** The transaction was rolled back (by us or by the loss of its connection before COMMIT was sent). */
export class TransactionAbortedError extends RequestError {
  readonly code: string = 'MS-TRANSACTION-ABORTED';
  readonly outcome = 'failed';
  readonly sqlState: SqlStateCode = SqlState.CONNECTION_FAILURE;
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['retryable']);
}

/** The transaction was rolled back because its caller sent nothing for too long. */
export class IdleTransactionError extends TransactionAbortedError {
  override readonly code = 'MS-TRANSACTION-IDLE';
  override readonly sqlState = SqlState.IDLE_IN_TRANSACTION_SESSION_TIMEOUT;

  constructor(readonly timeoutMs: Milliseconds) {
    super(`the open transaction was rolled back: it was idle for ${timeoutMs} ms`);
  }
}

/** Why a read that had started could not be finished. */
export type ReadFailureReason =
  | 'connection-lost'
  | 'primary-replaced'
  | 'confirmation-timeout'
  | 'run-timeout'
  | 'replica-behind';

/** A read ended without an answer that may be trusted. It changed nothing and may be repeated. */
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

/** A feature that transaction pooling can't keep, such as LISTEN or COPY. */
export class UnsupportedFeatureError extends RequestError {
  readonly code = 'MS-UNSUPPORTED';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.FEATURE_NOT_SUPPORTED;

  constructor(readonly feature: string) {
    super(`${feature} is not supported through a pooled connection`);
  }
}
