/**
 * Runs one batch of a gateway on an assigned connection, with the claim of its once key around it if
 * it has one. Tells how it ended; decides nothing about the request as a whole.
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

/** Rows of the trailing query, as text. */
type TrailingRows = readonly (readonly (string | null)[])[] | undefined;

/** How a batch ended. */
export type BatchResult =
  | {
      readonly type: 'ready';
      readonly status: TransactionStatus;
      readonly heldBack: Buffer;
      readonly errorSqlState: string | undefined;
      /** The server refused to write; nothing of the batch lasts. */
      readonly refusedAsReadOnly: boolean;
      readonly appendedQueryRows: TrailingRows;
      /** Reported in place of what is held back; nothing of the batch lasts, or it lasted before. */
      readonly refusal: RequestError | undefined;
      /** The refusal itself tells of something that lasts. */
      readonly refusalNeedsConfirmation: boolean;
    }
  | {
      readonly type: 'lost';
      readonly anyBytesWritten: boolean;
      /** False if what was sent surely rolled back with the connection. */
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
    runPlain(run);
    return;
  }
  parseOnceClaim(run.tenant, run.batch.onceKey).match(
    (claim) => new OnceRun(run).start(startOnce(claim, run.onceMode)),
    (error) => run.onResult(refusedBeforeSending(error)),
  );
}

function runPlain(run: BatchRun): void {
  run.connection.run({
    requires: run.batch.requires,
    messages: asBuffer(run.batch.messages),
    appendedQuery: run.appendedQuery,
    onMessages: run.onMessages,
    onFinished: (end) => run.onResult(resultOf(end)),
  });
}

function resultOf(end: BackendBatchResult): BatchResult {
  if (end.type === 'lost') {
    return {
      type: 'lost',
      anyBytesWritten: end.anyBytesWritten,
      mayHaveCommitted: end.anyBytesWritten,
    };
  }
  // Field by field: V8 makes a slow object of a spread, and this is made for every request.
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

/** Drives the at-most-once execution over the connection. */
class OnceRun {
  readonly #run: BatchRun;
  #execution: OnceExecution | undefined;
  #heldBack: Buffer = Buffer.alloc(0);
  readonly #commitError: Buffer[] = [];
  /** What is held back ends with the error of the caller's own batch. */
  #callerBatchFailed = false;
  /** Undefined once the connection is lost. */
  #last: Extract<BackendBatchResult, { type: 'ready' }> | undefined;
  #lostWithBytes = false;

  constructor(run: BatchRun) {
    this.#run = run;
  }

  start(transition: { readonly execution: OnceExecution; readonly action: OnceAction }): void {
    this.#execution = transition.execution;
    this.#act(transition.action);
  }

  #act(action: OnceAction): void {
    switch (action.type) {
      case 'run-own':
        this.#runOwn(action.text);
        return;
      case 'run-caller-batch':
        this.#runCallerBatch();
        return;
      case 'finish':
        this.#finish(action.result);
        return;
    }
  }

  #runOwn(text: string): void {
    const endsTransaction =
      this.#execution?.phase === 'commit' || this.#execution?.phase === 'roll-back';
    this.#run.connection.run({
      requires: [],
      messages: serialize.query(text),
      appendedQuery: endsTransaction ? this.#run.appendedQuery : undefined,
      onMessages: (messages) => this.#keepCommitError(messages),
      onFinished: (end) => this.#onEnd(end),
    });
  }

  /** What COMMIT says before its end is an error, and the caller's: nothing of its batch lasts. */
  #keepCommitError(messages: Buffer): void {
    if (this.#execution?.phase === 'commit') this.#commitError.push(messages);
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
        this.#onEnd(end);
      },
    });
  }

  #onEnd(end: BackendBatchResult): void {
    if (this.#execution === undefined) return;
    this.#last = end.type === 'ready' ? end : undefined;
    this.#lostWithBytes = end.type === 'lost' && end.anyBytesWritten;
    this.start(continueOnce(this.#execution, end));
  }

  #finish(result: OnceResult): void {
    const last = this.#last;
    const refusal = result.type === 'refused' ? result.error : undefined;
    const lost = last === undefined;
    if (lost) {
      // Before COMMIT was sent the server surely rolls the claim and the statement back.
      const mayHaveCommitted = this.#lostWithBytes && this.#execution?.phase === 'commit';
      this.#run.onResult({ type: 'lost', anyBytesWritten: this.#lostWithBytes, mayHaveCommitted });
      return;
    }
    this.#run.onResult({
      type: 'ready',
      status: last.status,
      heldBack: this.#tellsCallerBatch(result) ? this.#heldBack : Buffer.concat(this.#commitError),
      errorSqlState:
        result.type === 'done' ? undefined : (last.errorSqlState ?? refusal?.sqlState ?? ''),
      refusedAsReadOnly: isRefusedAsReadOnly(refusal),
      appendedQueryRows: last.appendedQueryRows,
      refusal,
      refusalNeedsConfirmation: needsConfirmation(result) && refusal !== undefined,
    });
  }

  /** False if something of ours failed: then the answer to the caller's batch is not true. */
  #tellsCallerBatch(result: OnceResult): boolean {
    return result.type === 'done' || (result.type === 'database-error' && this.#callerBatchFailed);
  }
}

/** The claim is the first thing that a keyed request writes. */
function isRefusedAsReadOnly(refusal: RequestError | undefined): boolean {
  const refusedClaim = refusal instanceof OnceClaimRefusedError;
  return refusedClaim && refusal.databaseSqlState === READ_ONLY_SQL_TRANSACTION;
}
