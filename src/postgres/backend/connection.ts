/** One pooled connection to a database instance, after start-up and authentication. */
import { okAsync, ResultAsync } from 'neverthrow';
import { serialize } from 'pg-protocol';
import type { MeadowstackError } from '../../core/errors.js';
import type { BackendBatch, BackendBatchResult, BackendConnection } from '../contract.js';
import type { FrameError } from '../frames.js';
import { FrontendMessageType } from '../messages.js';
import { type CancelOutcome, sendCancelRequest } from './cancel.js';
import type { BackendChannel, ChannelListener } from './channel.js';
import {
  BackendBusyError,
  type BackendLossReason,
  BackendLostError,
  BackendQueryError,
} from './errors.js';
import {
  type BackendConnectOptions,
  type BackendCounters,
  createBackendCounters,
  DEFAULT_MAXIMUM_PREPARED_STATEMENTS,
} from './options.js';
import { PreparedNames } from './prepared-names.js';
import { type ResponseEnd, type ResponseListener, ResponseReader } from './response-reader.js';
import type { TextRow } from './rows.js';
import type { ServerError } from './server-error.js';
import type { StartedSession } from './startup.js';

/** The batch, or the proxy's own query, that runs on the connection. */
interface ActiveWork {
  readonly onMessages: (messages: Buffer) => void;
  readonly onEnd: (end: ResponseEnd) => void;
  readonly onLost: (error: BackendLostError, anyBytesRelayed: boolean) => void;
  anyBytesRelayed: boolean;
}

const EMPTY = Buffer.alloc(0);

export class PostgresBackendConnection
  implements BackendConnection, ResponseListener, ChannelListener
{
  onClose: ((error: MeadowstackError) => void) | undefined;

  private readonly channel: BackendChannel;
  private readonly responseReader = new ResponseReader(this);
  private readonly names: PreparedNames;
  private readonly counters: BackendCounters;
  private work: ActiveWork | undefined;
  /** End of the batch, not reported until its cancel connections are closed: see `cancel.ts`. */
  private deferredEnd: ResponseEnd | undefined;
  private openCancelCount = 0;
  private isCancelUncertain = false;
  private fatalError: ServerError | undefined;
  /** Why the connection is closed or lost; set once it takes no more work. */
  private lossError: BackendLostError | undefined;
  private lastAppendedQuery = '';
  private lastAppendedMessage: Buffer = EMPTY;

  constructor(
    private readonly session: StartedSession,
    private readonly options: BackendConnectOptions,
  ) {
    this.channel = session.channel;
    this.counters = options.counters ?? createBackendCounters();
    this.names = new PreparedNames(
      options.maximumPreparedStatements ?? DEFAULT_MAXIMUM_PREPARED_STATEMENTS,
    );
    this.channel.setListener(this);
    if (this.channel.closed) this.handleClose(undefined);
  }

  get parameters(): ReadonlyMap<string, string> {
    return this.session.parameters;
  }

  run(batch: BackendBatch): void {
    const unusable = this.findUnusableReason();
    if (unusable !== undefined) {
      queueMicrotask(() => batch.onFinished(notWrittenResult(unusable)));
      return;
    }
    this.work = createBatchWork(batch);
    // No prelude before a simple Query: if its Parse failed, the back end would skip the Query, as no
    // Sync comes before it.
    const simple = batch.messages[0] === FrontendMessageType.QUERY;
    const prelude = this.names.preludeFor(simple ? [] : batch.requires);
    const { appendedQuery } = batch;
    this.responseReader.begin({
      prelude: prelude.responses,
      batch: true,
      hasAppendedQuery: appendedQuery !== undefined,
    });
    const { socket } = this.channel;
    socket.cork();
    for (const message of prelude.messages) socket.write(message);
    socket.write(batch.messages);
    if (appendedQuery !== undefined) socket.write(this.encodeAppendedQuery(appendedQuery));
    socket.uncork();
  }

  pause(): void {
    this.channel.socket.pause();
  }

  resume(): void {
    this.channel.socket.resume();
  }

  cancel(): ResultAsync<void, MeadowstackError> {
    if (this.work === undefined || this.deferredEnd !== undefined || this.lossError !== undefined) {
      return okAsync(undefined);
    }
    this.openCancelCount += 1;
    this.counters.cancelsSent += 1;
    const { processId, secretKey } = this.session;
    return sendCancelRequest(this.options, processId, secretKey)
      .map((outcome) => this.handleCancelOutcome(outcome))
      .mapErr((error) => {
        // Nothing was sent, so the request can't take effect.
        this.handleCancelOutcome('closed-by-server');
        return error;
      });
  }

  query(text: string): ResultAsync<readonly TextRow[], MeadowstackError> {
    const response = new Promise<readonly TextRow[]>((resolve, reject) => {
      const unusable = this.findUnusableReason();
      if (unusable !== undefined) {
        reject(unusable);
        return;
      }
      this.work = {
        onMessages: () => undefined,
        onEnd: (end) => {
          if (end.appendedQueryError !== undefined)
            reject(new BackendQueryError(end.appendedQueryError));
          else resolve(end.appendedQueryRows ?? []);
        },
        onLost: (error) => reject(error),
        anyBytesRelayed: false,
      };
      this.responseReader.begin({ prelude: [], batch: false, hasAppendedQuery: true });
      this.channel.socket.write(serialize.query(text));
    });
    return ResultAsync.fromPromise(response, (error) => error as MeadowstackError);
  }

  close(): void {
    if (this.lossError !== undefined) return;
    this.lossError = new BackendLostError('closed', 'closed by this side');
    this.channel.closeWith(serialize.end());
    this.reportWorkLost(this.lossError);
  }

  // ChannelListener

  get visit(): ChannelListener['visit'] {
    return this.responseReader.visit;
  }

  handleChunkEnd(): void {
    this.responseReader.handleChunkEnd();
  }

  handleMalformed(error: FrameError): void {
    this.counters.protocolViolations += 1;
    this.failConnection('protocol-violation', error.message, error);
  }

  handleClose(cause: Error | undefined): void {
    const fatal = this.fatalError;
    if (fatal !== undefined) {
      this.failConnection(
        'ended-by-server',
        `${fatal.severity} ${fatal.sqlState}: ${fatal.message}`,
        cause,
      );
    } else {
      this.failConnection('connection-lost', cause?.message ?? 'closed by the back end', cause);
    }
  }

  // ResponseListener

  relay(messages: Buffer): void {
    const { work } = this;
    if (work === undefined) return;
    work.anyBytesRelayed = true;
    work.onMessages(messages);
  }

  handleEnd(end: ResponseEnd): void {
    if (this.openCancelCount > 0) this.deferredEnd = end;
    else this.deliverEnd(end);
  }

  handleFatalError(error: ServerError): void {
    this.fatalError = error;
  }

  handleViolation(message: string): void {
    this.counters.protocolViolations += 1;
    this.failConnection('protocol-violation', message);
  }

  handleHeldBackTooLarge(): void {
    this.failConnection(
      'held-back-too-large',
      'too many bytes between a completion and ReadyForQuery',
    );
  }

  recordPrepared(name: string): void {
    this.counters.statementsPrepared += 1;
    this.names.add(name);
  }

  recordDeallocated(all: boolean): void {
    if (all) this.names.clear();
    else this.names.invalidateAll();
  }

  recordParameter(name: string, value: string): void {
    this.session.parameters.set(name, value);
  }

  recordDroppedNotification(): void {
    this.counters.notificationsDropped += 1;
  }

  /** Encodes the appended query. The last one is cached, as an owner appends the same text to each write. */
  private encodeAppendedQuery(text: string): Buffer {
    if (text !== this.lastAppendedQuery) {
      this.lastAppendedQuery = text;
      this.lastAppendedMessage = serialize.query(text);
    }
    return this.lastAppendedMessage;
  }

  private findUnusableReason(): MeadowstackError | undefined {
    if (this.lossError !== undefined) return this.lossError;
    if (this.work !== undefined) return new BackendBusyError();
    return undefined;
  }

  private handleCancelOutcome(outcome: CancelOutcome): void {
    this.openCancelCount -= 1;
    if (outcome === 'uncertain') this.isCancelUncertain = true;
    const { deferredEnd } = this;
    if (deferredEnd === undefined || this.openCancelCount > 0) return;
    this.deferredEnd = undefined;
    this.deliverEnd(deferredEnd);
  }

  private deliverEnd(end: ResponseEnd): void {
    const { work } = this;
    this.work = undefined;
    if (!this.isCancelUncertain) {
      work?.onEnd(end);
      return;
    }
    const error = new BackendLostError('cancel-uncertain', 'a CancelRequest may still take effect');
    if (this.lossError === undefined) {
      this.lossError = error;
      this.channel.destroy();
      work?.onEnd(end);
      this.onClose?.(error);
    } else work?.onEnd(end);
  }

  private failConnection(reason: BackendLossReason, message: string, cause?: Error): void {
    if (this.lossError !== undefined) return;
    const error = new BackendLostError(reason, message, this.fatalError, { cause });
    this.lossError = error;
    this.channel.destroy();
    this.reportWorkLost(error);
    this.onClose?.(error);
  }

  private reportWorkLost(error: BackendLostError): void {
    const { work, deferredEnd } = this;
    this.work = undefined;
    this.deferredEnd = undefined;
    if (deferredEnd !== undefined) work?.onEnd(deferredEnd);
    else work?.onLost(error, work.anyBytesRelayed);
  }
}

function createBatchWork(batch: BackendBatch): ActiveWork {
  return {
    onMessages: (messages) => batch.onMessages(messages),
    onEnd: (end) =>
      batch.onFinished({
        type: 'ready',
        status: end.status,
        heldBack: end.heldBack,
        errorSqlState: end.errorSqlState,
        appendedQueryRows: end.appendedQueryRows,
      }),
    onLost: (error, anyBytesRelayed) =>
      batch.onFinished({
        type: 'lost',
        anyBytesWritten: true,
        anyBytesRelayed,
        error,
      }),
    anyBytesRelayed: false,
  };
}

function notWrittenResult(error: MeadowstackError): BackendBatchResult {
  return { type: 'lost', anyBytesWritten: false, anyBytesRelayed: false, error };
}
