/**
 * One caller after log-in: cuts its messages into batches, hands them to the handler one at a time,
 * and writes the answers.
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
import { AnswerMerger } from './answer-merger.js';
import { BatchBuilder, type BuiltBatch } from './batch-builder.js';
import { BatchQueue, type WaitingBatch } from './batch-queue.js';
import type { Frame } from './message-fields.js';
import type { CallerLimits } from './options.js';
import { CallerOutput } from './output.js';
import { PreparedStatementStore } from './prepared-statements.js';

/** Who the caller is, as the log-in found. */
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
  private merger: AnswerMerger | undefined;
  private errorSeen = false;
  private refused = false;
  private status: TransactionStatus = 'I';
  /** The status `E` that the caller sees is ours; the back end's block still stands. */
  private failedByProxy = false;
  private skippingToSync = false;
  private delivering = false;
  private open = true;
  /** Terminate came: closes once the batches before it are answered. */
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
      (type, buffer, start, end) => this.take({ type, buffer, start, end }),
      limits.messageBytes,
    );
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('close', () => this.closed());
  }

  get onBatch(): BatchListener | undefined {
    return this.batchListener;
  }

  set onBatch(listener: BatchListener | undefined) {
    this.batchListener = listener;
    this.deliver();
  }

  get busy(): boolean {
    return this.running !== undefined;
  }

  write(messages: Buffer): boolean {
    if (messages.length === 0) return true;
    this.noteError(messages);
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
    this.merger?.fail();
    this.errorSeen = true;
    this.refused = true;
    this.output.write(errorResponseOf(error, 'ERROR'));
  }

  finish(status: TransactionStatus): void {
    const batch = this.running;
    if (batch === undefined || !this.open) return;
    this.running = undefined;
    this.settle(status, batch.statements.length > 0);
    if (!batch.endsWithFlush) this.output.write(readyForQuery(this.status));
    else if (this.errorSeen) this.skippingToSync = true;
    this.deliver();
  }

  terminate(error: RequestError): void {
    if (!this.open) return;
    this.output.write(errorResponseOf(error, 'FATAL'));
    this.end();
  }

  /** Tells the handler that a CancelRequest with this connection's key came. */
  cancel(): void {
    if (this.open && this.busy) this.onCancel?.();
  }

  /** Takes bytes that came behind the log-in. */
  receive(chunk: Buffer): void {
    if (!this.open) return;
    const pushed = this.reader.push(chunk);
    if (pushed.isErr()) this.terminate(pushed.error);
    else this.regulateInput();
  }

  private take(frame: Frame): void {
    if (this.terminateReceived || !this.open) return;
    if (frame.type === FrontendMessageType.TERMINATE) {
      this.terminateReceived = true;
      this.deliver();
      return;
    }
    if (COPY_MESSAGES.has(frame.type)) {
      this.terminate(new UnsupportedFeatureError('COPY'));
      return;
    }
    if (this.queue.add(frame)) this.deliver();
    else if (this.queue.openBytes > this.limits.messageBytes) {
      this.terminate(new MessageTooLargeError(this.queue.openBytes, this.limits.messageBytes));
    }
  }

  /** Stops reading while enough waits; a batch that is only half there is always read on. */
  private regulateInput(): void {
    const full = this.queue.waitingBytes > this.limits.queuedBytes;
    if (full && !this.socket.isPaused()) this.socket.pause();
    else if (!full && this.socket.isPaused()) this.socket.resume();
  }

  /** Hands out waiting batches as long as the handler ends them at once. */
  private deliver(): void {
    if (this.delivering) return;
    this.delivering = true;
    while (this.open && this.running === undefined && this.batchListener !== undefined) {
      const waiting = this.queue.shift();
      if (waiting === undefined) break;
      this.start(waiting, this.batchListener);
    }
    this.delivering = false;
    if (this.open && this.socket.isPaused()) this.regulateInput();
    if (this.terminateReceived && this.running === undefined && this.queue.isEmpty) this.end();
  }

  private start(waiting: WaitingBatch, listener: BatchListener): void {
    if (this.skippingToSync) {
      this.skipToSync(waiting);
      return;
    }
    this.errorSeen = false;
    this.refused = false;
    const built = this.build(waiting);
    if (built.isErr()) {
      this.refuse(built.error, waiting.boundary.type === FrontendMessageType.FLUSH);
      return;
    }
    this.run(built.value, listener);
  }

  private build(waiting: WaitingBatch): Result<BuiltBatch, RequestError> {
    const { frames, boundary } = waiting;
    const block = { inTransaction: this.status !== 'I', failed: this.failedByProxy };
    if (boundary.type === FrontendMessageType.FUNCTION_CALL) {
      return err(new UnsupportedFeatureError('FunctionCall'));
    }
    if (boundary.type !== FrontendMessageType.QUERY) {
      return this.builder.extended(frames, boundary, block);
    }
    if (frames.length > 0) return err(new ProtocolViolationError('Query before Sync'));
    return this.builder.simple(boundary, block);
  }

  private run(built: BuiltBatch, listener: BatchListener): void {
    this.running = built.batch;
    const synthesizes = built.steps.some((step) => step !== 'relay');
    this.merger = synthesizes ? new AnswerMerger(built.steps) : undefined;
    if (built.answeredLocally) this.finish(this.backendStatus());
    else listener(built.batch);
  }

  /** Ends a batch that the connection itself refuses, as PostgreSQL would: skip to Sync. */
  private refuse(error: RequestError, flush: boolean): void {
    if (error.labels.has('protocol-violation')) {
      this.terminate(error);
      return;
    }
    this.writeError(error);
    this.settle(this.backendStatus(), false);
    if (flush) this.skippingToSync = true;
    else this.output.write(readyForQuery(this.status));
  }

  private skipToSync(waiting: WaitingBatch): void {
    if (waiting.boundary.type !== FrontendMessageType.SYNC) return;
    this.skippingToSync = false;
    this.output.write(readyForQuery(this.status));
  }

  /**
   * Books what the batch changed; `status` is the back end's. In a block that we failed, a batch
   * that `executed` anything was a ROLLBACK TO SAVEPOINT, which mends it.
   */
  private settle(status: TransactionStatus, executed: boolean): void {
    if (!this.errorSeen) this.merger?.end(this.writeOutput);
    this.store.settle(this.merger?.synthesized ?? 0);
    this.merger = undefined;
    const stillFailed = this.failedByProxy && !executed;
    this.failedByProxy = status === 'T' && (this.refused || stillFailed);
    this.status = this.failedByProxy ? 'E' : status;
    this.builder.endBatch(this.status !== 'I');
  }

  /** The status that the back end's connection has while the caller sees `status`. */
  private backendStatus(): TransactionStatus {
    return this.failedByProxy ? 'T' : this.status;
  }

  /** Only a flushed batch or one with recorded messages needs to know of the back end's errors. */
  private noteError(messages: Buffer): void {
    if (this.errorSeen || (this.merger === undefined && this.running?.endsWithFlush !== true))
      return;
    let offset = 0;
    while (offset < messages.length && !this.errorSeen) {
      this.errorSeen = messages[offset] === BackendMessageType.ERROR_RESPONSE;
      offset += frameLength(messages, offset);
    }
  }

  /** Sends what is written, closes, and cuts the socket if the caller doesn't follow. */
  private end(): void {
    if (!this.open) return;
    this.open = false;
    this.reader.stop();
    this.queue.clear();
    this.output.flush();
    this.socket.end();
    this.socket.resume();
    setTimeout(() => this.socket.destroy(), this.limits.lingerMs).unref();
  }

  private closed(): void {
    this.open = false;
    this.reader.stop();
    this.queue.clear();
    this.onClose?.();
  }
}
