/**
 * Connection of one caller after log-in: groups its messages into batches, delivers them to the handler
 * one at a time, and writes the responses.
 */
import type { Socket } from 'node:net';
import { err, type Result } from 'neverthrow';
import type { TenantPolicy } from '../../core/configuration/model.js';
import { type RequestError, UnsupportedFeatureError } from '../../core/errors.js';
import type { CallerBatch, CallerConnection, TransactionStatus } from '../contract.js';
import { MessageTooLargeError, ProtocolViolationError } from '../errors.js';
import { FrameReader, frameLength } from '../frames.js';
import {
  BackendMessageType,
  errorResponseOf,
  FrontendMessageType,
  noticeResponse,
  parameterStatus,
  readyForQuery,
} from '../messages.js';
import { BatchBuilder, type BuiltBatch } from './batch-builder.js';
import { BatchQueue, type QueuedBatch } from './batch-queue.js';
import type { Frame } from './message-fields.js';
import type { CallerLimits } from './options.js';
import { CallerOutput } from './output.js';
import { PreparedStatementStore } from './prepared-statements.js';
import { ResponseMerger } from './response-merger.js';

/** Identity of the caller, as established by the log-in. */
export interface CallerIdentity {
  readonly id: string;
  readonly policy: TenantPolicy;
  readonly database: string;
  readonly parameters: ReadonlyMap<string, string>;
}

type BatchListener = (batch: CallerBatch) => void;

const COPY_MESSAGES: ReadonlySet<number> = new Set([
  FrontendMessageType.COPY_DATA,
  FrontendMessageType.COPY_DONE,
  FrontendMessageType.COPY_FAIL,
]);

export class CallerSocketConnection implements CallerConnection {
  readonly id: string;
  readonly policy: TenantPolicy;
  readonly database: string;
  readonly parameters: ReadonlyMap<string, string>;
  onCancel: (() => void) | undefined;
  onClose: (() => void) | undefined;
  onDrain: (() => void) | undefined;
  private batchListener: BatchListener | undefined;
  private readonly output: CallerOutput;
  private readonly writeOutput = (messages: Buffer): boolean => this.output.write(messages);
  private readonly reader: FrameReader;
  private readonly queue = new BatchQueue();
  private readonly store: PreparedStatementStore;
  private readonly builder: BatchBuilder;
  private running: CallerBatch | undefined;
  private merger: ResponseMerger | undefined;
  private errorSeen = false;
  private wasRefused = false;
  private status: TransactionStatus = 'I';
  /** The caller sees status `E` because the proxy refused a statement; the back end's block is still open. */
  private isFailedByProxy = false;
  private isSkippingToSync = false;
  private isDelivering = false;
  private isOpen = true;
  /** Terminate was received: the connection closes once the batches before it have ended. */
  private terminateReceived = false;

  constructor(
    private readonly socket: Socket,
    identity: CallerIdentity,
    private readonly limits: CallerLimits,
  ) {
    this.id = identity.id;
    this.policy = identity.policy;
    this.database = identity.database;
    this.parameters = identity.parameters;
    this.output = new CallerOutput(socket, limits.outputBytes);
    this.output.onDrain = () => this.onDrain?.();
    this.store = new PreparedStatementStore(limits);
    this.builder = new BatchBuilder(this.store);
    this.reader = new FrameReader(
      (type, buffer, start, end) => this.receiveMessage({ type, buffer, start, end }),
      limits.messageBytes,
    );
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('close', () => this.handleClose());
  }

  get onBatch(): BatchListener | undefined {
    return this.batchListener;
  }

  set onBatch(listener: BatchListener | undefined) {
    this.batchListener = listener;
    this.deliverBatches();
  }

  get busy(): boolean {
    return this.running !== undefined;
  }

  write(messages: Buffer): boolean {
    if (messages.length === 0) return true;
    this.recordError(messages);
    if (this.merger === undefined) return this.output.write(messages);
    return this.merger.relay(messages, this.writeOutput);
  }

  reportParameter(name: string, value: string): void {
    this.output.write(parameterStatus(name, value));
  }

  warn(message: string, detail: string): void {
    this.output.write(noticeResponse(message, detail));
  }

  writeError(error: RequestError): void {
    this.merger?.skipToSync();
    this.errorSeen = true;
    this.wasRefused = true;
    this.output.write(errorResponseOf(error, 'ERROR'));
  }

  finish(status: TransactionStatus): void {
    const batch = this.running;
    if (batch === undefined || !this.isOpen) return;
    this.running = undefined;
    this.settleBatch(status, batch.statements.length > 0);
    if (!batch.endsWithFlush) this.output.write(readyForQuery(this.status));
    else if (this.errorSeen) this.isSkippingToSync = true;
    this.deliverBatches();
  }

  terminate(error: RequestError): void {
    if (!this.isOpen) return;
    this.output.write(errorResponseOf(error, 'FATAL'));
    this.closeSocket();
  }

  /** Notifies the handler of a CancelRequest with this connection's key, if a batch is running. */
  cancel(): void {
    if (this.isOpen && this.busy) this.onCancel?.();
  }

  /** Processes bytes received after the log-in. */
  receive(chunk: Buffer): void {
    if (!this.isOpen) return;
    const pushed = this.reader.push(chunk);
    if (pushed.isErr()) this.terminate(pushed.error);
    else this.updateSocketReading();
  }

  private receiveMessage(frame: Frame): void {
    if (this.terminateReceived || !this.isOpen) return;
    if (frame.type === FrontendMessageType.TERMINATE) {
      this.terminateReceived = true;
      this.deliverBatches();
      return;
    }
    if (COPY_MESSAGES.has(frame.type)) {
      this.terminate(new UnsupportedFeatureError('COPY'));
      return;
    }
    if (this.queue.add(frame)) this.deliverBatches();
    else if (this.queue.incompleteBytes > this.limits.messageBytes) {
      this.terminate(
        new MessageTooLargeError(this.queue.incompleteBytes, this.limits.messageBytes),
      );
    }
  }

  /**
   * Pauses the socket while the queued batches exceed their limit. An incomplete batch doesn't count
   * towards it, so it can always be read to its end.
   */
  private updateSocketReading(): void {
    const full = this.queue.queuedBytes > this.limits.queuedBytes;
    if (full && !this.socket.isPaused()) this.socket.pause();
    else if (!full && this.socket.isPaused()) this.socket.resume();
  }

  /** Delivers queued batches until one doesn't end synchronously. */
  private deliverBatches(): void {
    if (this.isDelivering) return;
    this.isDelivering = true;
    while (this.isOpen && this.running === undefined && this.batchListener !== undefined) {
      const queued = this.queue.shift();
      if (queued === undefined) break;
      this.startBatch(queued, this.batchListener);
    }
    this.isDelivering = false;
    if (this.isOpen && this.socket.isPaused()) this.updateSocketReading();
    if (this.terminateReceived && this.running === undefined && this.queue.isEmpty)
      this.closeSocket();
  }

  private startBatch(queued: QueuedBatch, listener: BatchListener): void {
    if (this.isSkippingToSync) {
      this.skipToSync(queued);
      return;
    }
    this.errorSeen = false;
    this.wasRefused = false;
    const built = this.build(queued);
    if (built.isErr()) {
      this.refuseBatch(built.error, queued.boundary.type === FrontendMessageType.FLUSH);
      return;
    }
    this.runBatch(built.value, listener);
  }

  private build(queued: QueuedBatch): Result<BuiltBatch, RequestError> {
    const { frames, boundary } = queued;
    const block = { inTransaction: this.status !== 'I', failed: this.isFailedByProxy };
    if (boundary.type === FrontendMessageType.FUNCTION_CALL) {
      return err(new UnsupportedFeatureError('FunctionCall'));
    }
    if (boundary.type !== FrontendMessageType.QUERY) {
      return this.builder.buildExtended(frames, boundary, block);
    }
    if (frames.length > 0) return err(new ProtocolViolationError('Query before Sync'));
    return this.builder.buildSimple(boundary, block);
  }

  private runBatch(built: BuiltBatch, listener: BatchListener): void {
    this.running = built.batch;
    const synthesizes = built.steps.some((step) => step !== 'relay');
    this.merger = synthesizes ? new ResponseMerger(built.steps) : undefined;
    if (built.isAnsweredLocally) this.finish(this.backendStatus());
    else listener(built.batch);
  }

  /** Refuses a batch as PostgreSQL would: sends the error and skips to Sync. */
  private refuseBatch(error: RequestError, flush: boolean): void {
    if (error.labels.has('protocol-violation')) {
      this.terminate(error);
      return;
    }
    this.writeError(error);
    this.settleBatch(this.backendStatus(), false);
    if (flush) this.isSkippingToSync = true;
    else this.output.write(readyForQuery(this.status));
  }

  private skipToSync(queued: QueuedBatch): void {
    if (queued.boundary.type !== FrontendMessageType.SYNC) return;
    this.isSkippingToSync = false;
    this.output.write(readyForQuery(this.status));
  }

  /**
   * Applies the effects of a batch that ended; `status` is the back end's. In a block that the proxy
   * failed, a batch that `executed` a statement ended the block or was a ROLLBACK TO SAVEPOINT, after which
   * the block is no longer failed.
   */
  private settleBatch(status: TransactionStatus, executed: boolean): void {
    if (!this.errorSeen) this.merger?.finish(this.writeOutput);
    this.store.settleBatch(this.merger?.synthesizedCount ?? 0);
    this.merger = undefined;
    const stillFailed = this.isFailedByProxy && !executed;
    this.isFailedByProxy = status === 'T' && (this.wasRefused || stillFailed);
    this.status = this.isFailedByProxy ? 'E' : status;
    this.builder.handleBatchEnd(this.status !== 'I');
  }

  /** Transaction status of the back-end connection while the caller sees `status`. */
  private backendStatus(): TransactionStatus {
    return this.isFailedByProxy ? 'T' : this.status;
  }

  /** Records a back-end error; only needed for batches with a merger or that end with Flush. */
  private recordError(messages: Buffer): void {
    if (this.errorSeen || (this.merger === undefined && this.running?.endsWithFlush !== true))
      return;
    let offset = 0;
    while (offset < messages.length && !this.errorSeen) {
      this.errorSeen = messages[offset] === BackendMessageType.ERROR_RESPONSE;
      offset += frameLength(messages, offset);
    }
  }

  /** Flushes the output and closes; destroys the socket if the caller doesn't close its side in time. */
  private closeSocket(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.reader.stop();
    this.queue.clear();
    this.output.flush();
    this.socket.end();
    this.socket.resume();
    setTimeout(() => this.socket.destroy(), this.limits.lingerMs).unref();
  }

  private handleClose(): void {
    this.isOpen = false;
    this.reader.stop();
    this.queue.clear();
    this.onClose?.();
  }
}
