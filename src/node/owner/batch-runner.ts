/**
 * Runs one batch of a gateway on an assigned connection. A batch with an idempotency key runs in a
 * transaction that claims the key first. Reports the result of the batch only, not the outcome of
 * the request.
 */

import { serialize } from 'pg-protocol';
import {
  continueOnce,
  needsConfirmation,
  type OnceAction,
  OnceClaimRefusedError,
  type OnceExecution,
  type OnceMode,
  type OnceResult,
  parseOnceClaim,
  READ_ONLY_SQL_TRANSACTION,
  startOnce,
} from '../../core/at-most-once/index.js';
import type { RequestError } from '../../core/errors.js';
import type { TenantName } from '../../core/request.js';
import type {
  BackendBatchResult,
  BackendConnection,
  TransactionStatus,
} from '../../postgres/contract.js';
import { asBuffer } from './buffers.js';
import type { BatchMessage } from './messages.js';

/** Rows of the appended query, as text. */
type AppendedQueryRows = readonly (readonly (string | null)[])[] | undefined;

/** How a batch ended. */
export type BatchResult =
  | {
      readonly type: 'ready';
      readonly status: TransactionStatus;
      readonly heldBack: Buffer;
      readonly errorSqlState: string | undefined;
      /** The server refused to write because it is read-only; nothing was committed. */
      readonly refusedAsReadOnly: boolean;
      readonly appendedQueryRows: AppendedQueryRows;
      /**
       * Reported to the caller instead of the held-back messages: the batch committed nothing, or
       * an earlier request with the same key had already committed it.
       */
      readonly refusal: RequestError | undefined;
      /** The refusal reports something committed, so that its commit needs confirmation first. */
      readonly refusalNeedsConfirmation: boolean;
    }
  | {
      readonly type: 'lost';
      readonly anyBytesWritten: boolean;
      /** False if the batch was provably rolled back when the connection was lost. */
      readonly mayHaveCommitted: boolean;
    };

/** One batch and the connection it runs on. */
export interface BatchRun {
  readonly connection: BackendConnection;
  readonly batch: BatchMessage;
  readonly tenant: TenantName;
  readonly onceMode: OnceMode;
  readonly appendedQuery: string | undefined;
  onMessages(messages: Buffer): void;
  onResult(result: BatchResult): void;
}

/** Starts the batch; `onResult` is called exactly once. */
export function runBatch(run: BatchRun): void {
  if (run.batch.onceKey === undefined) {
    runWithoutKey(run);
    return;
  }
  parseOnceClaim(run.tenant, run.batch.onceKey).match(
    (claim) => new AtMostOnceRun(run).start(startOnce(claim, run.onceMode)),
    (error) => run.onResult(refusedBeforeSending(error)),
  );
}

function runWithoutKey(run: BatchRun): void {
  run.connection.run({
    requires: run.batch.requires,
    messages: asBuffer(run.batch.messages),
    appendedQuery: run.appendedQuery,
    onMessages: run.onMessages,
    onFinished: (end) => run.onResult(toBatchResult(end)),
  });
}

function toBatchResult(end: BackendBatchResult): BatchResult {
  if (end.type === 'lost') {
    return {
      type: 'lost',
      anyBytesWritten: end.anyBytesWritten,
      mayHaveCommitted: end.anyBytesWritten,
    };
  }
  // Not a spread: V8 creates a slower object for it, and this runs for every request.
  return {
    type: 'ready',
    status: end.status,
    heldBack: end.heldBack,
    errorSqlState: end.errorSqlState,
    appendedQueryRows: end.appendedQueryRows,
    refusedAsReadOnly: end.errorSqlState === READ_ONLY_SQL_TRANSACTION,
    refusal: undefined,
    refusalNeedsConfirmation: false,
  };
}

function refusedBeforeSending(error: RequestError): BatchResult {
  return {
    type: 'ready',
    status: 'I',
    heldBack: Buffer.alloc(0),
    errorSqlState: error.sqlState,
    refusedAsReadOnly: false,
    appendedQueryRows: undefined,
    refusal: error,
    refusalNeedsConfirmation: false,
  };
}

/** Carries out the actions of an at-most-once execution on the connection. */
class AtMostOnceRun {
  readonly #run: BatchRun;
  #execution: OnceExecution | undefined;
  #heldBack: Buffer = Buffer.alloc(0);
  readonly #commitErrorMessages: Buffer[] = [];
  /** The caller's own batch ended with an error, which is in the held-back messages. */
  #callerBatchFailed = false;
  /** Undefined once the connection is lost. */
  #lastResult: Extract<BackendBatchResult, { type: 'ready' }> | undefined;
  #lostAfterWrite = false;

  constructor(run: BatchRun) {
    this.#run = run;
  }

  start(transition: { readonly execution: OnceExecution; readonly action: OnceAction }): void {
    this.#execution = transition.execution;
    this.#perform(transition.action);
  }

  #perform(action: OnceAction): void {
    switch (action.type) {
      case 'run-own':
        this.#runOwnStatement(action.text);
        return;
      case 'run-caller-batch':
        this.#runCallerBatch();
        return;
      case 'finish':
        this.#finish(action.result);
        return;
    }
  }

  #runOwnStatement(text: string): void {
    const endsTransaction =
      this.#execution?.phase === 'commit' || this.#execution?.phase === 'roll-back';
    this.#run.connection.run({
      requires: [],
      messages: serialize.query(text),
      appendedQuery: endsTransaction ? this.#run.appendedQuery : undefined,
      onMessages: (messages) => this.#collectCommitError(messages),
      onFinished: (end) => this.#onBatchFinished(end),
    });
  }

  /**
   * Any message of COMMIT before its end is an error, reported to the caller: nothing was
   * committed.
   */
  #collectCommitError(messages: Buffer): void {
    if (this.#execution?.phase === 'commit') this.#commitErrorMessages.push(messages);
  }

  #runCallerBatch(): void {
    const { batch, connection } = this.#run;
    connection.run({
      requires: batch.requires,
      messages: asBuffer(batch.messages),
      appendedQuery: undefined,
      onMessages: this.#run.onMessages,
      onFinished: (end) => {
        if (end.type === 'ready') {
          this.#heldBack = end.heldBack;
          this.#callerBatchFailed = end.errorSqlState !== undefined;
        }
        this.#onBatchFinished(end);
      },
    });
  }

  #onBatchFinished(end: BackendBatchResult): void {
    if (this.#execution === undefined) return;
    this.#lastResult = end.type === 'ready' ? end : undefined;
    this.#lostAfterWrite = end.type === 'lost' && end.anyBytesWritten;
    this.start(continueOnce(this.#execution, end));
  }

  #finish(result: OnceResult): void {
    const last = this.#lastResult;
    const refusal = result.type === 'refused' ? result.error : undefined;
    const isLost = last === undefined;
    if (isLost) {
      // If COMMIT was not sent, the server certainly rolls back the claim and the statement.
      const mayHaveCommitted = this.#lostAfterWrite && this.#execution?.phase === 'commit';
      this.#run.onResult({ type: 'lost', anyBytesWritten: this.#lostAfterWrite, mayHaveCommitted });
      return;
    }
    this.#run.onResult({
      type: 'ready',
      status: last.status,
      heldBack: this.#reportsCallerBatch(result)
        ? this.#heldBack
        : Buffer.concat(this.#commitErrorMessages),
      errorSqlState:
        result.type === 'done' ? undefined : (last.errorSqlState ?? refusal?.sqlState ?? ''),
      refusedAsReadOnly: isRefusedAsReadOnly(refusal),
      appendedQueryRows: last.appendedQueryRows,
      refusal,
      refusalNeedsConfirmation: needsConfirmation(result) && refusal !== undefined,
    });
  }

  /** False if one of the proxy's own statements failed: the batch's response then does not hold. */
  #reportsCallerBatch(result: OnceResult): boolean {
    return result.type === 'done' || (result.type === 'database-error' && this.#callerBatchFailed);
  }
}

/** A read-only server refuses the claim, since it is the first write of a request with a key. */
function isRefusedAsReadOnly(refusal: RequestError | undefined): boolean {
  const isRefusedClaim = refusal instanceof OnceClaimRefusedError;
  return isRefusedClaim && refusal.databaseSqlState === READ_ONLY_SQL_TRANSACTION;
}
