/**
 * Runs a caller's batch at most once: a state machine that determines which batch to send next on
 * the reserved back-end connection and derives the result from the answers. It handles whole
 * batches, so the simple and the extended protocol need no distinction. All batches run on one
 * connection (`hold: 'transaction'`); each is sent only after the previous one was answered.
 */
import {
  NotRunError,
  type RequestError,
  TransactionAbortedError,
  UnknownOutcomeError,
} from '../errors.js';
import { CREATE_ONCE_TABLE_SQL, claimStatement, type OnceClaim } from './claim.js';
import { AlreadyDoneError, OnceClaimRefusedError, OnceTransactionEndedError } from './errors.js';

const UNIQUE_VIOLATION = '23505';
const UNDEFINED_TABLE = '42P01';
/** SQLSTATE of a write on an instance in recovery or in a read-only transaction. */
export const READ_ONLY_SQL_TRANSACTION = '25006';

/** `autocommit`: the proxy opens a transaction for the batch. `in-transaction`: the caller has. */
export type OnceMode = 'autocommit' | 'in-transaction';

/** Transaction status in ReadyForQuery. */
type TransactionStatus = 'I' | 'T' | 'E';

/** How a batch sent for the execution ended. */
export type OnceAnswer =
  | {
      readonly type: 'ready';
      readonly status: TransactionStatus;
      /** SQLSTATE of the first ErrorResponse; undefined if there was none. */
      readonly errorSqlState: string | undefined;
    }
  | { readonly type: 'lost'; readonly anyBytesWritten: boolean };

/** The batch whose answer the execution is waiting for. `clear`: ROLLBACK of a failed claim. */
export type OncePhase = 'create-table' | 'clear' | 'claim' | 'statement' | 'commit' | 'roll-back';

/** What to do next. */
export type OnceAction =
  /** Send `text` as a simple Query; its answer is not relayed to the caller. */
  | { readonly type: 'run-own'; readonly text: string }
  /** Send the caller's batch; relay its answer, but hold back the last CommandComplete. */
  | { readonly type: 'run-caller-batch' }
  /** The execution has ended. */
  | { readonly type: 'finish'; readonly result: OnceResult };

/** How a request with an idempotency key ended. */
export type OnceResult =
  /** Relay the held-back end of the answer once the write is confirmed; in a transaction, now. */
  | { readonly type: 'done' }
  /** The database reported an error; it was already relayed, or (from COMMIT) is to be relayed. */
  | { readonly type: 'database-error' }
  /** Report this error and discard the held-back part of the answer. */
  | { readonly type: 'refused'; readonly error: RequestError };

/** Immutable state of one execution. */
export interface OnceExecution {
  readonly claim: OnceClaim;
  readonly mode: OnceMode;
  readonly phase: OncePhase;
  /** The table has been created; if it is still missing, the claim is refused. */
  readonly tableCreated: boolean;
  /** Result to report when ROLLBACK has ended. */
  readonly resultAfterRollBack: OnceResult | undefined;
}

/** The next state and action. */
export interface OnceTransition {
  readonly execution: OnceExecution;
  readonly action: OnceAction;
}

/** Starts an execution; its first batch is the claim. */
export function startOnce(claim: OnceClaim, mode: OnceMode): OnceTransition {
  const execution: OnceExecution = {
    claim,
    mode,
    phase: 'claim',
    tableCreated: false,
    resultAfterRollBack: undefined,
  };
  return sendClaim(execution);
}

/** Handles the answer to the last batch. */
export function continueOnce(execution: OnceExecution, answer: OnceAnswer): OnceTransition {
  if (answer.type === 'lost')
    return finish(execution, resultOfConnectionLoss(execution, answer.anyBytesWritten));
  switch (execution.phase) {
    case 'claim':
      return afterClaim(execution, answer.errorSqlState);
    case 'clear':
      return runInternalStatement({ ...execution, phase: 'create-table' }, CREATE_ONCE_TABLE_SQL);
    case 'create-table':
      return afterCreateTable({ ...execution, tableCreated: true }, answer.errorSqlState);
    case 'statement':
      return afterStatement(execution, answer.status, answer.errorSqlState);
    case 'commit':
      return finish(execution, resultOfCommit(answer.errorSqlState));
    case 'roll-back':
      return finish(execution, execution.resultAfterRollBack ?? { type: 'database-error' });
  }
}

/**
 * True if the result tells the caller that a write is durable, so that a majority must confirm the
 * primary before it is reported. This includes "done earlier": a replaced primary may have the key
 * from a transaction that was lost. If the confirmation fails, the outcome is unknown.
 */
export function needsConfirmation(result: OnceResult): boolean {
  if (result.type === 'done') return true;
  return result.type === 'refused' && result.error instanceof AlreadyDoneError;
}

function sendClaim(execution: OnceExecution): OnceTransition {
  const statement = claimStatement(execution.claim);
  const text = execution.mode === 'autocommit' ? `BEGIN; ${statement}` : statement;
  return runInternalStatement({ ...execution, phase: 'claim' }, text);
}

function afterClaim(execution: OnceExecution, sqlState: string | undefined): OnceTransition {
  if (sqlState === undefined) {
    const next: OnceExecution = { ...execution, phase: 'statement' };
    return { execution: next, action: { type: 'run-caller-batch' } };
  }
  if (sqlState === UNIQUE_VIOLATION) {
    return finishAfterFailure(execution, refuseWith(new AlreadyDoneError(execution.claim.onceKey)));
  }
  if (sqlState === UNDEFINED_TABLE && mayCreateTable(execution)) {
    return runInternalStatement({ ...execution, phase: 'clear' }, 'ROLLBACK');
  }
  return finishAfterFailure(execution, refuseWith(new OnceClaimRefusedError(sqlState)));
}

/**
 * An error may mean that another proxy created the table at the same time, so the claim is retried
 * to find out. An instance in recovery, however, can't create the table.
 */
function afterCreateTable(execution: OnceExecution, sqlState: string | undefined): OnceTransition {
  if (sqlState !== READ_ONLY_SQL_TRANSACTION) return sendClaim(execution);
  return finishAfterFailure(execution, refuseWith(new OnceClaimRefusedError(sqlState)));
}

/** False in the caller's transaction: the failed claim aborted it, so it can't create a table. */
function mayCreateTable(execution: OnceExecution): boolean {
  return execution.mode === 'autocommit' && !execution.tableCreated;
}

function afterStatement(
  execution: OnceExecution,
  status: TransactionStatus,
  sqlState: string | undefined,
): OnceTransition {
  if (status === 'I') return finish(execution, refuseWith(new OnceTransactionEndedError()));
  if (sqlState !== undefined || status === 'E') {
    return finishAfterFailure(execution, { type: 'database-error' });
  }
  if (execution.mode === 'in-transaction') return finish(execution, { type: 'done' });
  return runInternalStatement({ ...execution, phase: 'commit' }, 'COMMIT');
}

function resultOfCommit(sqlState: string | undefined): OnceResult {
  return sqlState === undefined ? { type: 'done' } : { type: 'database-error' };
}

/** Rolls back a transaction opened by the proxy; the caller has to end its own failed one. */
function finishAfterFailure(execution: OnceExecution, result: OnceResult): OnceTransition {
  if (execution.mode === 'in-transaction') return finish(execution, result);
  return runInternalStatement(
    { ...execution, phase: 'roll-back', resultAfterRollBack: result },
    'ROLLBACK',
  );
}

/** A connection lost before COMMIT was sent is certain to have rolled the transaction back. */
function resultOfConnectionLoss(execution: OnceExecution, bytesWritten: boolean): OnceResult {
  const { resultAfterRollBack } = execution;
  if (execution.phase === 'roll-back' && resultAfterRollBack !== undefined) {
    return needsConfirmation(resultAfterRollBack) ? unconfirmedAlreadyDone() : resultAfterRollBack;
  }
  if (execution.phase === 'commit' && bytesWritten) {
    const message = 'the connection was lost while COMMIT was running; retry with the same key';
    return refuseWith(new UnknownOutcomeError('connection-lost', message));
  }
  if (execution.mode === 'in-transaction' || hasSentStatement(execution)) {
    const message = 'the connection was lost before COMMIT; the transaction was rolled back';
    return refuseWith(new TransactionAbortedError(message));
  }
  const message = 'the connection was lost before the statement was sent';
  return refuseWith(new NotRunError('connection-lost-before-send', message));
}

/** "Done earlier" on a connection that was then lost: its primary may have been replaced. */
function unconfirmedAlreadyDone(): OnceResult {
  const message =
    'the connection was lost before "done earlier" was confirmed; retry with the same key';
  return refuseWith(new UnknownOutcomeError('connection-lost', message));
}

function hasSentStatement(execution: OnceExecution): boolean {
  return execution.phase === 'statement' || execution.phase === 'commit';
}

function refuseWith(error: RequestError): OnceResult {
  return { type: 'refused', error };
}

function runInternalStatement(execution: OnceExecution, text: string): OnceTransition {
  return { execution, action: { type: 'run-own', text } };
}

function finish(execution: OnceExecution, result: OnceResult): OnceTransition {
  return { execution, action: { type: 'finish', result } };
}
