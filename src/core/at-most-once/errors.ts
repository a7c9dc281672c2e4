/** Errors of requests that carry an idempotency key (`meadowstack_once`). */
import { type FailureOutcome, RequestError, SqlState, type SqlStateCode } from '../errors.js';

/**
 * An earlier request with this key took effect, so this one was not run. A caller that retries
 * after an unknown outcome can treat this as success. The code, reported in the error's detail,
 * distinguishes it from a unique violation in the caller's own statement.
 */
export class AlreadyDoneError extends RequestError {
  readonly code = 'MS-ALREADY-DONE';
  readonly outcome: FailureOutcome = 'done';
  readonly sqlState: SqlStateCode = SqlState.UNIQUE_VIOLATION;

  constructor(readonly onceKey: string) {
    super(`a request with the key ${JSON.stringify(onceKey)} was done earlier`);
  }
}

/** The key is empty, too long or contains characters that are not allowed. */
export class InvalidOnceKeyError extends RequestError {
  readonly code = 'MS-ONCE-KEY';
  readonly outcome: FailureOutcome = 'not-run';
  readonly sqlState: SqlStateCode = SqlState.INVALID_PARAMETER_VALUE;

  constructor() {
    super('meadowstack_once must be 1 to 200 characters of A-Z a-z 0-9 . _ : @ / + = -');
  }
}

/** The database rejected the row that claims the key; the caller's statement was not sent. */
export class OnceClaimRefusedError extends RequestError {
  readonly code = 'MS-ONCE-CLAIM';
  readonly outcome: FailureOutcome = 'not-run';
  readonly sqlState: SqlStateCode = SqlState.OBJECT_NOT_IN_PREREQUISITE_STATE;

  constructor(readonly databaseSqlState: string) {
    super(`the database refused the row in meadowstack_once (SQLSTATE ${databaseSqlState})`);
  }
}

/** The caller's batch ended the transaction opened for it; what was committed is unknown. */
export class OnceTransactionEndedError extends RequestError {
  readonly code = 'MS-ONCE-TRANSACTION-ENDED';
  readonly outcome: FailureOutcome = 'unknown';
  readonly sqlState: SqlStateCode = SqlState.TRANSACTION_RESOLUTION_UNKNOWN;

  constructor() {
    super('a batch with meadowstack_once ended its own transaction');
  }
}
