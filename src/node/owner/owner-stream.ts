/**
 * The owner's end of one request: takes batches from the gateway, runs them on the connection that
 * the state machine assigned, relays the answer and holds back its end until it is released.
 */
import { NotRunError, type RequestError, TransactionAbortedError } from '../../core/errors.js';
import type { RunResult } from '../../core/group/contract.js';
import type { Position } from '../../core/position.js';
import type { PeerStream, WireValue } from '../../peer/contract.js';
import { POSITION_QUERY, parseInstanceState } from '../../postgres/backend/position-query.js';
import type {
  BackendBatchEnd,
  BackendConnection,
  TransactionStatus,
} from '../../postgres/contract.js';
import {
  type BatchMessage,
  encodeRequestError,
  gatewayMessageSchema,
  type OpenMessage,
  type OwnerMessage,
} from './messages.js';
import type { Assignment, GroupWork } from './work.js';

/** Longest wait for the ROLLBACK of an abandoned transaction before its connection is closed, in ms. */
const ROLLBACK_TIMEOUT_MS = 2000;
const NOTHING_HELD_BACK = Buffer.alloc(0);

export interface OwnerStreamEvents {
  /** The gateway or its caller has gone before the request ended. */
  abandoned(): void;
}

export class OwnerStream implements GroupWork {
  readonly #stream: PeerStream;
  readonly #open: OpenMessage;
  readonly #events: OwnerStreamEvents;
  #assignment: Assignment | undefined;
  #batchRunning = false;
  #mayHaveCommitted = false;
  #relayed = false;
  #servedByReplica = false;
  /** The caller no longer listens; what still runs is let finish or rolled back. */
  #callerGone = false;
  #settled = false;
  #heldBack: Buffer = NOTHING_HELD_BACK;
  #status: TransactionStatus = 'I';

  constructor(stream: PeerStream, open: OpenMessage, events: OwnerStreamEvents) {
    this.#stream = stream;
    this.#open = open;
    this.#events = events;
    stream.onMessage = (message) => this.#onGatewayMessage(message);
    stream.onDrain = () => this.#assignment?.connection.resume();
    stream.onClose = () => this.#onCallerGone();
  }

  start(assignment: Assignment): void {
    this.#assignment = assignment;
    this.#servedByReplica = !assignment.onPrimary;
    if (this.#callerGone && this.#open.hold === 'transaction') {
      this.#finishRun({ type: 'database-error', position: undefined });
      return;
    }
    this.#runBatch(this.#open.batch);
  }

  release(position: Position | undefined): void {
    this.#settle({
      type: 'end',
      status: this.#status,
      heldBack: this.#heldBack,
      fromReplica: this.#servedByReplica,
      ...(position === undefined ? {} : { position }),
    });
  }

  fail(error: RequestError): void {
    this.#settle(encodeRequestError(error));
    if (this.#open.hold === 'transaction') this.#abortTransaction();
    else if (this.#open.access === 'read' && this.#batchRunning) this.#cancelRunning();
  }

  connectionClosed(): void {
    if (this.#assignment === undefined || this.#batchRunning) return;
    this.#finishRun({
      type: 'connection-lost',
      bytesWritten: true,
      answerRelayed: this.#relayed,
      mayHaveCommitted: this.#mayHaveCommitted,
    });
  }

  #settle(message: OwnerMessage): void {
    if (this.#settled) return;
    this.#settled = true;
    if (this.#callerGone) return;
    this.#stream.send(message);
    this.#stream.end();
  }

  #onGatewayMessage(value: WireValue): void {
    const parsed = gatewayMessageSchema.safeParse(value);
    if (!parsed.success) {
      this.#stream.abort('malformed message from gateway');
      return;
    }
    if (parsed.data.type === 'cancel') this.#cancelRunning();
    else this.#onNextBatch(parsed.data);
  }

  #onNextBatch(batch: BatchMessage): void {
    const idleInTransaction = this.#assignment !== undefined && !this.#batchRunning;
    if (this.#settled) return;
    if (this.#open.hold !== 'transaction' || !idleInTransaction) {
      this.#settle(
        encodeRequestError(
          new NotRunError('stale-transaction', 'no open transaction on this stream'),
        ),
      );
      this.#abortTransaction();
      return;
    }
    this.#runBatch(batch);
  }

  #cancelRunning(): void {
    if (this.#assignment === undefined) {
      this.#events.abandoned();
      return;
    }
    if (this.#batchRunning) void this.#assignment.connection.cancel();
  }

  #runBatch(batch: BatchMessage): void {
    const assignment = this.#assignment;
    if (assignment === undefined) return;
    const { connection } = assignment;
    const endsRun = this.#open.hold === 'statement' || batch.mayCommit;
    const trail = endsRun && assignment.trailPosition;
    this.#batchRunning = true;
    if (batch.mayCommit || this.#open.hold === 'statement') this.#mayHaveCommitted = true;
    connection.run({
      requires: batch.requires,
      messages: asBuffer(batch.messages),
      trailingQuery: trail ? POSITION_QUERY : undefined,
      onMessages: (messages) => this.#relay(connection, messages),
      onFinished: (end) => this.#onBatchFinished(end, batch),
    });
  }

  #relay(connection: BackendConnection, messages: Buffer): void {
    if (this.#callerGone || this.#settled) return;
    this.#relayed = true;
    if (!this.#stream.write(messages)) connection.pause();
  }

  #onBatchFinished(end: BackendBatchEnd, batch: BatchMessage): void {
    this.#batchRunning = false;
    this.#assignment?.connection.resume();
    if (end.type === 'lost') {
      this.#finishRun({
        type: 'connection-lost',
        bytesWritten: end.bytesWritten || this.#open.hold === 'transaction',
        answerRelayed: this.#relayed,
        mayHaveCommitted: this.#mayHaveCommitted && end.bytesWritten,
      });
      return;
    }
    this.#heldBack = end.heldBack;
    this.#status = end.status;
    if (end.status === 'I') this.#finishRun(resultOf(end, batch, this.#open));
    else this.#continueTransaction(end);
  }

  #continueTransaction(end: Extract<BackendBatchEnd, { type: 'ready' }>): void {
    this.#mayHaveCommitted = false;
    if (this.#open.hold === 'statement') {
      // A single statement may not leave a transaction open on a shared connection.
      this.fail(new TransactionAbortedError('statement opened a transaction'));
      this.#abortTransaction();
      return;
    }
    if (this.#callerGone || this.#settled) {
      this.#abortTransaction();
      return;
    }
    this.#stream.send({ type: 'batch-end', status: end.status, heldBack: end.heldBack });
  }

  #onCallerGone(): void {
    if (this.#callerGone) return;
    this.#callerGone = true;
    if (this.#settled) return;
    this.#events.abandoned();
    if (this.#assignment === undefined) return;
    this.#assignment.connection.resume();
    if (this.#open.hold === 'transaction') this.#abortTransaction();
    else if (this.#open.access === 'read' && this.#batchRunning) this.#cancelRunning();
  }

  /** Rolls back on the server and gives the connection back only after that was answered. */
  #abortTransaction(): void {
    const assignment = this.#assignment;
    if (assignment === undefined) return;
    if (this.#batchRunning) {
      if (!this.#mayHaveCommitted) void assignment.connection.cancel();
      return;
    }
    const { connection } = assignment;
    const timer = setTimeout(() => connection.close(), ROLLBACK_TIMEOUT_MS);
    const done = (result: RunResult): void => {
      clearTimeout(timer);
      this.#finishRun(result);
    };
    connection.query('ROLLBACK').match(
      () => done({ type: 'database-error', position: undefined }),
      () => {
        connection.close();
        done({
          type: 'connection-lost',
          bytesWritten: true,
          answerRelayed: this.#relayed,
          mayHaveCommitted: false,
        });
      },
    );
  }

  #finishRun(result: RunResult): void {
    const assignment = this.#assignment;
    if (assignment === undefined) return;
    // Cleared first: the state machine may assign another connection before this returns.
    this.#assignment = undefined;
    assignment.finished(result);
  }
}

function resultOf(
  end: Extract<BackendBatchEnd, { type: 'ready' }>,
  batch: BatchMessage,
  open: OpenMessage,
): RunResult {
  const position = positionOf(end);
  const rolledBack = end.hadError || (open.hold === 'transaction' && !batch.mayCommit);
  return { type: rolledBack ? 'database-error' : 'completed', position };
}

function positionOf(end: Extract<BackendBatchEnd, { type: 'ready' }>): Position | undefined {
  if (end.trailingRows === undefined) return undefined;
  return parseInstanceState(end.trailingRows).match(
    (state) => state.replayed,
    () => undefined,
  );
}

function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
