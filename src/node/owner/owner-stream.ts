/**
 * The owner's side of one request: receives batches from the gateway, runs them on the connection
 * that the state machine assigned, relays the response and holds back its end until it is released.
 */
import {
  IdleTransactionError,
  NotRunError,
  type RequestError,
  TransactionAbortedError,
} from '../../core/errors.js';
import type { InstanceState, RunResult } from '../../core/group/contract.js';
import type { Position } from '../../core/position.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerStream, WireValue } from '../../peer/contract.js';
import { POSITION_QUERY, parseInstanceState } from '../../postgres/backend/position-query.js';
import { type BatchResult, runBatch } from './batch-runner.js';
import { BatchReceiver } from './batch-transfer.js';
import {
  type BatchMessage,
  encodeRequestError,
  gatewayMessageSchema,
  type OpenMessage,
  type OwnerMessage,
} from './messages.js';
import { ResponseRelay } from './relay.js';
import { ownerMessageToWire } from './wire-form.js';
import type { Assignment, GroupWork } from './work.js';

/** Wait for the ROLLBACK of an abandoned transaction before its connection is closed. */
const ROLLBACK_TIMEOUT_MS = 2000;
const EMPTY_BUFFER = Buffer.alloc(0);

type ReadyResult = Extract<BatchResult, { type: 'ready' }>;

/** Idle timeout and callbacks of one request. */
export interface OwnerStreamOptions {
  /** How long an open transaction may hold its connection while the caller sends nothing. */
  readonly idleTransactionTimeoutMs: Milliseconds;
  /** The gateway or its caller disconnected, or cancelled, before the request ended. */
  abandoned(): void;
  /** Called with the last message of the request, for logs. */
  settled?(message: OwnerMessage): void;
}

/** The owner's side of one request. */
export class OwnerStream implements GroupWork {
  readonly #stream: PeerStream;
  readonly #open: OpenMessage;
  readonly #options: OwnerStreamOptions;
  readonly #relay: ResponseRelay;
  /**
   * False for a statement with an idempotency key: it holds its connection like a transaction, but
   * ends with its first batch.
   */
  readonly #callerHoldsTransaction: boolean;
  #assignment: Assignment | undefined;
  #isServedByReplica = false;
  #isBatchRunning = false;
  #mayHaveCommitted = false;
  #isCallerGone = false;
  #isSettled = false;
  #lastResult: ReadyResult | undefined;
  #idleTimer: NodeJS.Timeout | undefined;
  readonly #receiver = new BatchReceiver((batch) => this.#onNextBatch(batch));

  constructor(stream: PeerStream, open: OpenMessage, options: OwnerStreamOptions) {
    this.#stream = stream;
    this.#open = open;
    this.#options = options;
    this.#relay = new ResponseRelay(stream, () => this.#assignment?.connection.pause());
    this.#callerHoldsTransaction = open.hold === 'transaction' && open.batch.onceKey === undefined;
    stream.onData = (data) => {
      if (!this.#receiver.data(data)) stream.abort('unexpected data from gateway');
    };
    stream.onMessage = (message) => this.#onGatewayMessage(message);
    stream.onDrain = () => this.#assignment?.connection.resume();
    stream.onClose = () => this.#onCallerGone();
  }

  start(assignment: Assignment): void {
    // Nothing of an earlier run that could not be confirmed or was interrupted may be reported.
    this.#relay.discardGathered();
    this.#lastResult = undefined;
    this.#assignment = assignment;
    this.#isServedByReplica = !assignment.onPrimary;
    if (this.#isCallerGone && this.#open.hold === 'transaction') {
      this.#finishRun({ type: 'database-error', position: undefined });
      return;
    }
    this.#run(this.#open.batch);
  }

  release(position: Position | undefined): void {
    const result = this.#lastResult;
    if (result?.refusal !== undefined) {
      const error = encodeRequestError(result.refusal);
      this.#settle(position === undefined ? error : { ...error, position });
      return;
    }
    this.#settle({
      type: 'end',
      status: result?.status ?? 'I',
      heldBack: this.#relay.takeGathered(result?.heldBack ?? EMPTY_BUFFER),
      fromReplica: this.#isServedByReplica,
      ...(position === undefined ? {} : { position }),
    });
  }

  fail(error: RequestError): void {
    this.#settle(encodeRequestError(error));
    if (this.#open.hold === 'transaction') this.#abortTransaction();
    else if (this.#open.access === 'read' && this.#isBatchRunning) this.#cancelRunning();
  }

  interruptIfSilent(): void {
    if (this.#isBatchRunning && !this.#relay.hasResponse) this.#assignment?.closeConnection();
  }

  connectionClosed(): void {
    if (this.#assignment === undefined || this.#isBatchRunning) return;
    this.#finishRun(this.#lostResult(true));
  }

  #settle(message: OwnerMessage): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    clearTimeout(this.#idleTimer);
    this.#options.settled?.(message);
    this.#relay.close();
    if (this.#isCallerGone) return;
    this.#stream.send(ownerMessageToWire(message));
    this.#stream.end();
  }

  #onGatewayMessage(value: WireValue): void {
    const parsed = gatewayMessageSchema.safeParse(value);
    if (!parsed.success) {
      this.#stream.abort('malformed message from gateway');
      return;
    }
    if (parsed.data.type === 'cancel') this.#cancelRunning();
    else this.#receiver.header(parsed.data);
  }

  #onNextBatch(batch: BatchMessage): void {
    if (this.#isSettled) return;
    const isIdleInTransaction = this.#assignment !== undefined && !this.#isBatchRunning;
    if (this.#callerHoldsTransaction && isIdleInTransaction) {
      this.#assignment?.setIdle(false);
      this.#run(batch);
      return;
    }
    const refusal = new NotRunError('stale-transaction', 'no open transaction on this stream');
    this.#settle(encodeRequestError(refusal));
    this.#abortTransaction();
  }

  #cancelRunning(): void {
    if (this.#assignment === undefined) this.#options.abandoned();
    else if (this.#isBatchRunning) void this.#assignment.connection.cancel();
  }

  #run(batch: BatchMessage): void {
    const assignment = this.#assignment;
    if (assignment === undefined) return;
    const endsRun = !this.#callerHoldsTransaction || batch.mayCommit;
    this.#isBatchRunning = true;
    clearTimeout(this.#idleTimer);
    if (endsRun) this.#mayHaveCommitted = true;
    runBatch({
      connection: assignment.connection,
      batch,
      tenant: this.#open.tenant,
      onceMode: this.#callerHoldsTransaction ? 'in-transaction' : 'autocommit',
      appendedQuery: endsRun && assignment.appendPositionQuery ? POSITION_QUERY : undefined,
      onMessages: (messages) => this.#relay.add(messages),
      onResult: (result) => this.#onBatchResult(result, batch),
    });
  }

  #onBatchResult(result: BatchResult, batch: BatchMessage): void {
    this.#isBatchRunning = false;
    this.#relay.batchEnded();
    this.#assignment?.connection.resume();
    if (result.type === 'lost') {
      this.#mayHaveCommitted &&= result.mayHaveCommitted;
      this.#finishRun(this.#lostResult(result.anyBytesWritten));
      return;
    }
    this.#lastResult = result;
    if (result.status === 'I') this.#finishRun(this.#runResultOf(result, batch));
    else this.#continueTransaction(result);
  }

  #lostResult(anyBytesWritten: boolean): RunResult {
    const anyBytesRelayed = this.#relay.anyBytesRelayed;
    this.#relay.discardGathered();
    return {
      type: 'connection-lost',
      anyBytesWritten: anyBytesWritten || this.#open.hold === 'transaction',
      anyBytesRelayed,
      mayHaveCommitted: this.#mayHaveCommitted && anyBytesWritten,
    };
  }

  #runResultOf(result: ReadyResult, batch: BatchMessage): RunResult {
    if (this.#isRefusedInRecovery(result)) return { type: 'not-writable' };
    const position = positionOf(result);
    const isRolledBack =
      (result.errorSqlState !== undefined && !result.refusalNeedsConfirmation) ||
      (this.#callerHoldsTransaction && !batch.mayCommit);
    if (isRolledBack) return { type: 'database-error', position };
    return { type: 'completed', position, anyBytesRelayed: this.#relay.anyBytesRelayed };
  }

  /**
   * True if a write that was sent to the primary reached an instance in recovery, so that nothing
   * of it ran. The error alone is no proof: a statement may make its own transaction read-only.
   */
  #isRefusedInRecovery(result: ReadyResult): boolean {
    const { access } = this.#open;
    if (!result.refusedAsReadOnly || access !== 'write' || this.#callerHoldsTransaction)
      return false;
    return !this.#relay.anyBytesRelayed && stateOf(result)?.writable === false;
  }

  #continueTransaction(result: ReadyResult): void {
    this.#mayHaveCommitted = false;
    if (!this.#callerHoldsTransaction) {
      // A single statement must not leave a transaction open on a shared connection.
      this.#settle(
        encodeRequestError(new TransactionAbortedError('statement opened a transaction')),
      );
    }
    if (this.#isCallerGone || this.#isSettled) {
      this.#abortTransaction();
      return;
    }
    this.#sendBatchEnd(result);
    this.#startIdleTimer();
  }

  /** The transaction holds its connection without using it until the next batch arrives. */
  #startIdleTimer(): void {
    const { idleTransactionTimeoutMs } = this.#options;
    this.#assignment?.setIdle(true);
    this.#idleTimer = setTimeout(() => {
      this.#settle(encodeRequestError(new IdleTransactionError(idleTransactionTimeoutMs)));
      this.#abortTransaction();
    }, idleTransactionTimeoutMs);
  }

  #sendBatchEnd(result: ReadyResult): void {
    if (result.refusal !== undefined) {
      this.#relay.discardGathered();
      this.#stream.send({
        type: 'batch-error',
        status: result.status,
        error: encodeRequestError(result.refusal),
      });
      return;
    }
    const heldBack = this.#relay.takeGathered(result.heldBack);
    this.#stream.send({ type: 'batch-end', status: result.status, heldBack });
  }

  #onCallerGone(): void {
    if (this.#isCallerGone) return;
    this.#isCallerGone = true;
    clearTimeout(this.#idleTimer);
    if (this.#isSettled) return;
    this.#options.abandoned();
    this.#relay.close();
    this.#assignment?.connection.resume();
    if (this.#callerHoldsTransaction) this.#abortTransaction();
    else if (this.#open.access === 'read' && this.#isBatchRunning) this.#cancelRunning();
  }

  /** Rolls back on the server; the connection is returned only after the server has responded. */
  #abortTransaction(): void {
    const assignment = this.#assignment;
    if (assignment === undefined) return;
    if (this.#isBatchRunning) {
      if (!this.#mayHaveCommitted) void assignment.connection.cancel();
      return;
    }
    this.#rollBack(assignment);
  }

  #rollBack(assignment: Assignment): void {
    const { connection } = assignment;
    this.#isBatchRunning = true;
    const timer = setTimeout(() => assignment.closeConnection(), ROLLBACK_TIMEOUT_MS);
    const finish = (result: RunResult): void => {
      clearTimeout(timer);
      this.#isBatchRunning = false;
      this.#finishRun(result);
    };
    connection.query('ROLLBACK').match(
      () => finish({ type: 'database-error', position: undefined }),
      () => {
        assignment.closeConnection();
        this.#mayHaveCommitted = false;
        finish(this.#lostResult(true));
      },
    );
  }

  #finishRun(result: RunResult): void {
    const assignment = this.#assignment;
    if (assignment === undefined) return;
    clearTimeout(this.#idleTimer);
    // Cleared first: the state machine may assign another connection before this returns.
    this.#assignment = undefined;
    assignment.finished(result);
  }
}

function positionOf(result: ReadyResult): Position | undefined {
  return stateOf(result)?.replayedPosition;
}

/** The instance's state, from the query appended to the batch. */
function stateOf({ appendedQueryRows }: ReadyResult): InstanceState | undefined {
  if (appendedQueryRows === undefined) return undefined;
  return parseInstanceState(appendedQueryRows).unwrapOr(undefined);
}
