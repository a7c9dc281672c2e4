/** Errors towards callers: log-in, prepared statements, transaction blocks. */
import { type ErrorLabel, MeadowstackError, RequestError, SqlState } from '../../core/errors.js';

/** Wrong password or unknown user; deliberately the same error, so that user names can't be probed. */
export class AuthenticationFailedError extends RequestError {
  readonly code = 'MS-AUTHENTICATION';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.INVALID_PASSWORD;
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['security']);

  constructor(user: string) {
    super(`password authentication failed for user "${user}"`);
  }
}

/** The log-in requires something that is not allowed, such as an unencrypted connection. */
export class AuthorizationError extends RequestError {
  readonly code = 'MS-AUTHORIZATION';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.INVALID_AUTHORIZATION;
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['security']);
}

/** The tenant has no access to a database of this name. */
export class UnknownDatabaseError extends RequestError {
  readonly code = 'MS-UNKNOWN-DATABASE';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.INVALID_CATALOG_NAME;

  constructor(readonly database: string) {
    super(`database "${database}" does not exist or is not granted to this user`);
  }
}

/** A start-up parameter has a value that the proxy doesn't support. */
export class StartupParameterError extends RequestError {
  readonly code = 'MS-STARTUP-PARAMETER';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.INVALID_PARAMETER_VALUE;

  constructor(
    readonly parameter: string,
    message: string,
  ) {
    super(`start-up parameter "${parameter}": ${message}`);
  }
}

/** Bind, Describe or Execute names a prepared statement that the connection doesn't have. */
export class UnknownPreparedStatementError extends RequestError {
  readonly code = 'MS-UNKNOWN-STATEMENT';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.INVALID_SQL_STATEMENT_NAME;

  constructor(readonly statementName: string) {
    super(
      statementName === ''
        ? 'unnamed prepared statement does not exist'
        : `prepared statement "${statementName}" does not exist`,
    );
  }
}

/** Parse names a prepared statement that exists with another text or other types. */
export class DuplicatePreparedStatementError extends RequestError {
  readonly code = 'MS-DUPLICATE-STATEMENT';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.DUPLICATE_PREPARED_STATEMENT;

  constructor(readonly statementName: string) {
    super(`prepared statement "${statementName}" already exists`);
  }
}

/** The connection reached its limit of prepared statements, or of their size in bytes. */
export class PreparedStatementLimitError extends RequestError {
  readonly code = 'MS-STATEMENT-LIMIT';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.CONFIGURATION_LIMIT_EXCEEDED;

  constructor(limit: number, unit: 'statements' | 'bytes') {
    super(`this connection may hold at most ${limit} ${unit} of prepared statements`);
  }
}

/** Execute or Describe names a portal that the connection doesn't have. */
export class UnknownPortalError extends RequestError {
  readonly code = 'MS-UNKNOWN-PORTAL';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.INVALID_CURSOR_NAME;

  constructor(readonly portal: string) {
    super(`portal "${portal}" does not exist; portals end with their batch or transaction`);
  }
}

/** An earlier statement of the transaction block was refused, so the block must be rolled back. */
export class FailedTransactionError extends RequestError {
  readonly code = 'MS-FAILED-TRANSACTION';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.IN_FAILED_TRANSACTION;

  constructor() {
    super('current transaction is aborted, commands ignored until end of transaction block');
  }
}

/** The proxy closes the connection because it is stopping. */
export class ServerStoppingError extends RequestError {
  readonly code = 'MS-STOPPING';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.ADMIN_SHUTDOWN;
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['retryable']);

  constructor() {
    super('terminating connection because the proxy is stopping');
  }
}

/** The server can't listen on its address. */
export class ListenError extends MeadowstackError {
  readonly code = 'MS-LISTEN';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['configuration']);

  constructor(host: string, port: number, cause: Error) {
    super(`can't listen on ${host}:${port}: ${cause.message}`, { cause });
  }
}

/** A stored SCRAM verifier is not in PostgreSQL's format. */
export class InvalidVerifierError extends MeadowstackError {
  readonly code = 'MS-VERIFIER';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['configuration']);

  constructor() {
    super('not a verifier of the form SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>');
  }
}
