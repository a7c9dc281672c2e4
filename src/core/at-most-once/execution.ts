/**
 * Runs a caller's batch at most once: a state machine that says which batch goes to the held
 * back-end connection next and makes a result of the answers. Works on whole batches, so simple and
 * extended protocol are alike. All batches run on one connection (`hold: 'transaction'`), one
 * after the other; a next one is sent only after the answer to the last.
 */
import {
  NotRunError,
  type RequestError,
  TransactionAbortedError,
  UnknownOutcomeError,
} from '../errors.js';
import { CREATE_ONCE_TABLE, claimStatement, type OnceClaim } from './claim.js';
import { AlreadyDoneError, OnceClaimRefusedError, OnceTransactionEndedError } from './errors.js';

const UNIQUE_VIOLATION = '23505';
const UNDEFINED_TABLE = '42P01';
/** SQLSTATE of a write in recovery or in a read-only transaction. */
export const READ_ONLY_SQL_TRANSACTION = '25006';

/** `autocommit`: the batch gets a transaction of its own. `in-transaction`: the caller has one. */
export type OnceMode = 'autocommit' | 'in-transaction';

/** Transaction status of ReadyForQuery. */
type TransactionStatus = 'I' | 'T' | 'E';

/** How a batch that the execution asked for ended. */
export type OnceAnswer =
  | {
      readonly type: 'ready';
      readonly status: TransactionStatus;
      /** SQLSTATE of the first ErrorResponse; undefined if there was none. */
      readonly errorSqlState: string | undefined;
    }
  | { readonly type: 'lost'; readonly anyBytesWritten: boolean };

/** Where the execution stands: the batch whose answer is awaited. */
export type OncePhase = 'create-table' | 'clear' | 'claim' | 'statement' | 'commit' | 'roll-back';

/** What to do next. */
export type OnceAction =
  /** Send `text` as a simple Query; its answer does not go to the caller. */
  | { readonly type: 'run-own'; readonly text: string }
  /** Send the caller's batch; relay its answer, but hold back the last CommandComplete. */
  | { readonly type: 'run-caller-batch' }
  /** The end. */
  | { readonly type: 'finish'; readonly result: OnceResult };

/** How a keyed request ended. */
export type OnceResult =
  /** Release the held-back end, once the write is confirmed; in a transaction at once. */
  | { readonly type: 'done' }
  /** The database's own error, already relayed or (from COMMIT) to be relayed. */
  | { readonly type: 'database-error' }
  /** Report this error instead; nothing of the answer that is still held back is released. */
  | { readonly type: 'refused'; readonly error: RequestError };

/** Immutable state of one execution. */
export interface OnceExecution {
  readonly claim: OnceClaim;
  readonly mode: OnceMode;
  readonly phase: OncePhase;
  /** The table was created once already; a second time it is an error. */
  readonly tableCreated: boolean;
  /** Result to report after ROLLBACK. */
  readonly resultAfterRollBack: OnceResult | undefined;
}

/** The next state and what to do. */
export interface OnceTransition {
  readonly execution: OnceExecution;
  readonly action: OnceAction;
}

/** Starts with the claim. */
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

/** Takes the answer to the last batch. */
export function continueOnce(execution: OnceExecution, answer: OnceAnswer): OnceTransition {
  if (answer.type === 'lost')
    return finish(execution, resultOfLoss(execution, answer.anyBytesWritten));
  switch (execution.phase) {
    case 'claim':
      return afterClaim(execution, answer.errorSqlState);
    case 'clear':
      return runOwn({ ...execution, phase: 'create-table' }, CREATE_ONCE_TABLE);
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
 * True if the result tells the caller that something lasts, so that a majority must confirm the
 * primary before it is reported. That holds for "done earlier" too: a primary that was replaced may
 * know the key from a transaction that is lost. If the confirmation fails the outcome is unknown.
 */
export function needsConfirmation(result: OnceResult): boolean {
  if (result.type === 'done') return true;
  return result.type === 'refused' && result.error instanceof AlreadyDoneError;
}

function sendClaim(execution: OnceExecution): OnceTransition {
  const statement = claimStatement(execution.claim);
  const text = execution.mode === 'autocommit' ? `BEGIN; ${statement}` : statement;
  return runOwn({ ...execution, phase: 'claim' }, text);
}

function afterClaim(execution: OnceExecution, sqlState: string | undefined): OnceTransition {
  if (sqlState === undefined) {
    const next: OnceExecution = { ...execution, phase: 'statement' };
    return { execution: next, action: { type: 'run-caller-batch' } };
  }
  if (sqlState === UNIQUE_VIOLATION) {
    return abandon(execution, refuse(new AlreadyDoneError(execution.claim.onceKey)));
  }
  if (sqlState === UNDEFINED_TABLE && mayCreateTable(execution)) {
    return runOwn({ ...execution, phase: 'clear' }, 'ROLLBACK');
  }
  return abandon(execution, refuse(new OnceClaimRefusedError(sqlState)));
}

/**
 * An error may mean that another proxy made the table at the same time; the next claim shows it.
 * But an instance in recovery has no table to claim in and will have none.
 */
function afterCreateTable(execution: OnceExecution, sqlState: string | undefined): OnceTransition {
  if (sqlState !== READ_ONLY_SQL_TRANSACTION) return sendClaim(execution);
  return abandon(execution, refuse(new OnceClaimRefusedError(sqlState)));
}

/** Inside a caller's transaction the failed claim has aborted it; the table can't be made there. */
function mayCreateTable(execution: OnceExecution): boolean {
  return execution.mode === 'autocommit' && !execution.tableCreated;
}

function afterStatement(
  execution: OnceExecution,
  status: TransactionStatus,
  sqlState: string | undefined,
): OnceTransition {
  if (status === 'I') return finish(execution, refuse(new OnceTransactionEndedError()));
  if (sqlState !== undefined || status === 'E') {
    return abandon(execution, { type: 'database-error' });
  }
  if (execution.mode === 'in-transaction') return finish(execution, { type: 'done' });
  return runOwn({ ...execution, phase: 'commit' }, 'COMMIT');
}

function resultOfCommit(sqlState: string | undefined): OnceResult {
  return sqlState === undefined ? { type: 'done' } : { type: 'database-error' };
}

/** Ends our own transaction; the caller's own is failed and stays for the caller to end. */
function abandon(execution: OnceExecution, result: OnceResult): OnceTransition {
  if (execution.mode === 'in-transaction') return finish(execution, result);
  return runOwn({ ...execution, phase: 'roll-back', resultAfterRollBack: result }, 'ROLLBACK');
}

/** Before COMMIT was sent the loss of the connection surely rolled the transaction back. */
function resultOfLoss(execution: OnceExecution, bytesWritten: boolean): OnceResult {
  const { resultAfterRollBack } = execution;
  if (execution.phase === 'roll-back' && resultAfterRollBack !== undefined) {
    return needsConfirmation(resultAfterRollBack) ? unconfirmable() : resultAfterRollBack;
  }
  if (execution.phase === 'commit' && bytesWritten) {
    const message = 'the connection was lost while COMMIT was running; retry with the same key';
    return refuse(new UnknownOutcomeError('connection-lost', message));
  }
  if (execution.mode === 'in-transaction' || sentStatement(execution)) {
    const message = 'the connection was lost before COMMIT; the transaction was rolled back';
    return refuse(new TransactionAbortedError(message));
  }
  const message = 'the connection was lost before the statement was sent';
  return refuse(new NotRunError('connection-lost-before-send', message));
}

/** "Done earlier" from a connection that broke right after: its primary may have been replaced. */
function unconfirmable(): OnceResult {
  const message =
    'the connection was lost before "done earlier" was confirmed; retry with the same key';
  return refuse(new UnknownOutcomeError('connection-lost', message));
}

function sentStatement(execution: OnceExecution): boolean {
  return execution.phase === 'statement' || execution.phase === 'commit';
}

function refuse(error: RequestError): OnceResult {
  return { type: 'refused', error };
}

function runOwn(execution: OnceExecution, text: string): OnceTransition {
  return { execution, action: { type: 'run-own', text } };
}

function finish(execution: OnceExecution, result: OnceResult): OnceTransition {
  return { execution, action: { type: 'finish', result } };
}
