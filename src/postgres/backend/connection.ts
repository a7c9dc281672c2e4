/** One pooled connection to a database instance, ready for batches. */
import { okAsync, ResultAsync } from 'neverthrow';
import { serialize } from 'pg-protocol';
import type { MeadowstackError } from '../../core/errors.js';
import type { BackendBatch, BackendBatchResult, BackendConnection } from '../contract.js';
import type { FrameError } from '../frames.js';
import { FrontendMessageType } from '../messages.js';
import { type AnswerEnd, type AnswerListener, AnswerReader } from './answer-reader.js';
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
import type { TextRow } from './rows.js';
import type { ServerError } from './server-error.js';
import type { StartedSession } from './startup.js';

/** A batch of the pool's, or a query of our own. */
interface Work {
  readonly onMessages: (messages: Buffer) => void;
  readonly onEnd: (end: AnswerEnd) => void;
  readonly onLost: (error: BackendLostError, answerRelayed: boolean) => void;
  anyBytesRelayed: boolean;
}

const NOTHING = Buffer.alloc(0);

export class PostgresBackendConnection
  implements BackendConnection, AnswerListener, ChannelListener
{
  onClose: ((error: MeadowstackError) => void) | undefined;

  private readonly channel: BackendChannel;
  private readonly answers = new AnswerReader(this);
  private readonly names: PreparedNames;
  private readonly counters: BackendCounters;
  private work: Work | undefined;
  /** The batch has ended, but a cancel connection is still open: see `cancel.ts`. */
  private parkedEnd: AnswerEnd | undefined;
  private openCancels = 0;
  private cancelUncertain = false;
  private fatalError: ServerError | undefined;
  /** Set once the connection takes no more work. */
  private lost: BackendLostError | undefined;
  private lastTrailingText = '';
  private lastTrailingMessage: Buffer = NOTHING;

  constructor(
    private readonly session: StartedSession,
    private readonly options: BackendConnectOptions,
  ) {
    this.channel = session.channel;
    this.counters = options.counters ?? createBackendCounters();
    this.names = new PreparedNames(
      options.maximumPreparedStatements ?? DEFAULT_MAXIMUM_PREPARED_STATEMENTS,
    );
    this.channel.listen(this);
    if (this.channel.closed) this.closed(undefined);
  }

  get parameters(): ReadonlyMap<string, string> {
    return this.session.parameters;
  }

  run(batch: BackendBatch): void {
    const unusable = this.unusableBecause();
    if (unusable !== undefined) {
      queueMicrotask(() => batch.onFinished(notWritten(unusable)));
      return;
    }
    this.work = workOfBatch(batch);
    // A Parse ahead of a simple Query would, if it failed, skip the Query for want of a Sync.
    const simple = batch.messages[0] === FrontendMessageType.QUERY;
    const prelude = this.names.preludeFor(simple ? [] : batch.requires);
    const { appendedQuery } = batch;
    this.answers.begin({
      prelude: prelude.answers,
      batch: true,
      hasAppendedQuery: appendedQuery !== undefined,
    });
    const { socket } = this.channel;
    socket.cork();
    for (const message of prelude.messages) socket.write(message);
    socket.write(batch.messages);
    if (appendedQuery !== undefined) socket.write(this.trailingMessage(appendedQuery));
    socket.uncork();
  }

  pause(): void {
    this.channel.socket.pause();
  }

  resume(): void {
    this.channel.socket.resume();
  }

  cancel(): ResultAsync<void, MeadowstackError> {
    if (this.work === undefined || this.parkedEnd !== undefined || this.lost !== undefined) {
      return okAsync(undefined);
    }
    this.openCancels += 1;
    this.counters.cancelsSent += 1;
    const { processId, secretKey } = this.session;
    return sendCancelRequest(this.options, processId, secretKey)
      .map((outcome) => this.cancelSettled(outcome))
      .mapErr((error) => {
        // Nothing was sent, so nothing can come of it.
        this.cancelSettled('closed-by-server');
        return error;
      });
  }

  query(text: string): ResultAsync<readonly TextRow[], MeadowstackError> {
    const answered = new Promise<readonly TextRow[]>((resolve, reject) => {
      const unusable = this.unusableBecause();
      if (unusable !== undefined) {
        reject(unusable);
        return;
      }
      this.work = {
        onMessages: () => undefined,
        onEnd: (end) => {
          if (end.trailingError !== undefined) reject(new BackendQueryError(end.trailingError));
          else resolve(end.appendedQueryRows ?? []);
        },
        onLost: (error) => reject(error),
        anyBytesRelayed: false,
      };
      this.answers.begin({ prelude: [], batch: false, hasAppendedQuery: true });
      this.channel.socket.write(serialize.query(text));
    });
    return ResultAsync.fromPromise(answered, (error) => error as MeadowstackError);
  }

  close(): void {
    if (this.lost !== undefined) return;
    this.lost = new BackendLostError('closed', 'closed by this side');
    this.channel.closeWith(serialize.end());
    this.endWorkAsLost(this.lost);
  }

  // What the channel tells.

  get visit(): ChannelListener['visit'] {
    return this.answers.visit;
  }

  chunkEnded(): void {
    this.answers.chunkEnded();
  }

  malformed(error: FrameError): void {
    this.counters.protocolViolations += 1;
    this.lose('protocol-violation', error.message, error);
  }

  closed(cause: Error | undefined): void {
    const fatal = this.fatalError;
    if (fatal !== undefined) {
      this.lose('ended-by-server', `${fatal.severity} ${fatal.sqlState}: ${fatal.message}`, cause);
    } else {
      this.lose('connection-lost', cause?.message ?? 'closed by the back end', cause);
    }
  }

  // What the answers tell.

  relay(messages: Buffer): void {
    const { work } = this;
    if (work === undefined) return;
    work.anyBytesRelayed = true;
    work.onMessages(messages);
  }

  ended(end: AnswerEnd): void {
    if (this.openCancels > 0) this.parkedEnd = end;
    else this.deliver(end);
  }

  fatal(error: ServerError): void {
    this.fatalError = error;
  }

  violation(message: string): void {
    this.counters.protocolViolations += 1;
    this.lose('protocol-violation', message);
  }

  heldBackTooLarge(): void {
    this.lose('held-back-too-large', 'too many bytes between a completion and ReadyForQuery');
  }

  prepared(name: string): void {
    this.counters.statementsPrepared += 1;
    this.names.add(name);
  }

  deallocated(all: boolean): void {
    if (all) this.names.forgetAll();
    else this.names.distrustAll();
  }

  parameter(name: string, value: string): void {
    this.session.parameters.set(name, value);
  }

  notificationDropped(): void {
    this.counters.notificationsDropped += 1;
  }

  /** Encoded once: an owner trails the same text behind each write. */
  private trailingMessage(text: string): Buffer {
    if (text !== this.lastTrailingText) {
      this.lastTrailingText = text;
      this.lastTrailingMessage = serialize.query(text);
    }
    return this.lastTrailingMessage;
  }

  private unusableBecause(): MeadowstackError | undefined {
    if (this.lost !== undefined) return this.lost;
    if (this.work !== undefined) return new BackendBusyError();
    return undefined;
  }

  private cancelSettled(outcome: CancelOutcome): void {
    this.openCancels -= 1;
    if (outcome === 'uncertain') this.cancelUncertain = true;
    const { parkedEnd } = this;
    if (parkedEnd === undefined || this.openCancels > 0) return;
    this.parkedEnd = undefined;
    this.deliver(parkedEnd);
  }

  private deliver(end: AnswerEnd): void {
    const { work } = this;
    this.work = undefined;
    if (!this.cancelUncertain) {
      work?.onEnd(end);
      return;
    }
    const error = new BackendLostError('cancel-uncertain', 'a CancelRequest may still take effect');
    if (this.lost === undefined) {
      this.lost = error;
      this.channel.destroy();
      work?.onEnd(end);
      this.onClose?.(error);
    } else work?.onEnd(end);
  }

  private lose(reason: BackendLossReason, message: string, cause?: Error): void {
    if (this.lost !== undefined) return;
    const error = new BackendLostError(reason, message, this.fatalError, { cause });
    this.lost = error;
    this.channel.destroy();
    this.endWorkAsLost(error);
    this.onClose?.(error);
  }

  private endWorkAsLost(error: BackendLostError): void {
    const { work, parkedEnd } = this;
    this.work = undefined;
    this.parkedEnd = undefined;
    if (parkedEnd !== undefined) work?.onEnd(parkedEnd);
    else work?.onLost(error, work.anyBytesRelayed);
  }
}

function workOfBatch(batch: BackendBatch): Work {
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
    onLost: (error, answerRelayed) =>
      batch.onFinished({
        type: 'lost',
        anyBytesWritten: true,
        anyBytesRelayed: answerRelayed,
        error,
      }),
    anyBytesRelayed: false,
  };
}

function notWritten(error: MeadowstackError): BackendBatchResult {
  return { type: 'lost', anyBytesWritten: false, anyBytesRelayed: false, error };
}
