/**
 * Follows the answers on one back-end connection, message by message: first those to the messages
 * that the proxy put before the batch (swallowed), then the batch's own (relayed), then those to
 * the trailing query (read into rows). No sockets; the connection feeds it.
 *
 * Source of which message is lawful when: PostgreSQL manual, "Message Flow".
 */
import type { TransactionStatus } from '../contract.js';
import { FRAME_HEADER_BYTES } from '../frames.js';
import { BackendMessageType as Type } from '../messages.js';
import type { PreludeAnswer } from './prepared-names.js';
import { RelayBuffer } from './relay-buffer.js';
import { parseTextRow, type TextRow } from './rows.js';
import { endsConnection, parseServerError, type ServerError } from './server-error.js';

/** More than this behind a completion and before ReadyForQuery ends the connection. */
export const MAXIMUM_HELD_BACK_BYTES = 1024 * 1024;

/** How the answer to a whole batch ended. */
export interface AnswerEnd {
  readonly status: TransactionStatus;
  readonly heldBack: Buffer;
  readonly errorSqlState: string | undefined;
  /** Undefined if there was no trailing query or it failed. */
  readonly appendedQueryRows: readonly TextRow[] | undefined;
  /** Why the trailing query failed. */
  readonly trailingError: ServerError | undefined;
}

/** Hears of what the reader finds. */
export interface AnswerListener {
  relay(messages: Buffer): void;
  ended(end: AnswerEnd): void;
  /** The back end announces that it ends the connection. */
  fatal(error: ServerError): void;
  violation(message: string): void;
  heldBackTooLarge(): void;
  prepared(name: string): void;
  /** A command's tag shows that prepared statements have gone. */
  deallocated(all: boolean): void;
  parameter(name: string, value: string): void;
  notificationDropped(): void;
}

/** What was sent, and so which answers are due. */
export interface ExpectedAnswers {
  readonly prelude: readonly PreludeAnswer[];
  readonly batch: boolean;
  readonly hasAppendedQuery: boolean;
}

type Phase = 'idle' | 'prelude' | 'batch' | 'trailing';

/** What a message does to the answer that is being relayed. */
const Effect = {
  Illegal: 0,
  /** Shows that what was held back was not the end. */
  Result: 1,
  /** May be the last. */
  Completion: 2,
  /** Proves nothing of what follows. */
  Neutral: 3,
  Error: 4,
  Ready: 5,
} as const;

const EFFECTS = new Uint8Array(256);
for (const type of [Type.ROW_DESCRIPTION, Type.DATA_ROW]) EFFECTS[type] = Effect.Result;
for (const type of [Type.COMMAND_COMPLETE, Type.EMPTY_QUERY_RESPONSE, Type.PORTAL_SUSPENDED]) {
  EFFECTS[type] = Effect.Completion;
}
for (const type of [
  Type.PARSE_COMPLETE,
  Type.BIND_COMPLETE,
  Type.CLOSE_COMPLETE,
  Type.NO_DATA,
  Type.PARAMETER_DESCRIPTION,
  Type.PARAMETER_STATUS,
  Type.NOTICE_RESPONSE,
]) {
  EFFECTS[type] = Effect.Neutral;
}
EFFECTS[Type.ERROR_RESPONSE] = Effect.Error;
EFFECTS[Type.READY_FOR_QUERY] = Effect.Ready;

const EMPTY = Buffer.alloc(0);
const READY_FOR_QUERY_BYTES = 6;
const TAG_DISCARD_ALL = 'DISCARD ALL';
const TAG_DEALLOCATE_ALL = 'DEALLOCATE ALL';
const TAG_DEALLOCATE = 'DEALLOCATE';
const TAG_FIRST_BYTE = TAG_DISCARD_ALL.charCodeAt(0);
const LONGEST_TAG_BYTES = FRAME_HEADER_BYTES + TAG_DEALLOCATE_ALL.length + 1;

export class AnswerReader {
  private phase: Phase = 'idle';
  private prelude: readonly PreludeAnswer[] = [];
  private preludeDone = 0;
  private hasAppendedQuery = false;
  private errorSqlState: string | undefined;
  private heldBack: Buffer = EMPTY;
  private rows: TextRow[] = [];
  private trailingError: ServerError | undefined;
  private readonly relayed: RelayBuffer;

  constructor(private readonly listener: AnswerListener) {
    this.relayed = new RelayBuffer((messages) => listener.relay(messages));
  }

  /** The answers to these are due next. */
  begin(expected: ExpectedAnswers): void {
    this.prelude = expected.prelude;
    this.preludeDone = 0;
    this.hasAppendedQuery = expected.hasAppendedQuery;
    this.errorSqlState = undefined;
    this.heldBack = EMPTY;
    this.rows = [];
    this.trailingError = undefined;
    if (!expected.batch) this.phase = 'trailing';
    else this.phase = expected.prelude.length > 0 ? 'prelude' : 'batch';
  }

  /** Takes one whole message: `buffer[start]` is its type byte. */
  readonly visit = (type: number, buffer: Buffer, start: number, end: number): void => {
    if (type === Type.NOTIFICATION_RESPONSE) {
      this.listener.notificationDropped();
      return;
    }
    if (type === Type.PARAMETER_STATUS) this.noteParameter(buffer, start, end);
    switch (this.phase) {
      case 'batch':
        this.visitBatch(type, buffer, start, end);
        return;
      case 'prelude':
        this.visitPrelude(type, buffer, start, end);
        return;
      case 'trailing':
        this.visitTrailing(type, buffer, start, end);
        return;
      case 'idle':
        this.visitIdle(type, buffer, start, end);
        return;
    }
  };

  /** The chunk at hand is used up: what may be relayed is. */
  chunkEnded(): void {
    this.relayed.flush();
  }

  private visitIdle(type: number, buffer: Buffer, start: number, end: number): void {
    if (type === Type.NOTICE_RESPONSE || type === Type.PARAMETER_STATUS) return;
    if (type === Type.ERROR_RESPONSE) {
      const error = parseServerError(buffer, start, end);
      if (endsConnection(error)) this.listener.fatal(error);
      else this.violation(type);
      return;
    }
    this.violation(type);
  }

  private visitPrelude(type: number, buffer: Buffer, start: number, end: number): void {
    if (type === Type.PARAMETER_STATUS || type === Type.NOTICE_RESPONSE) {
      this.relayed.follow(buffer, start, end);
      return;
    }
    if (type === Type.ERROR_RESPONSE) {
      // The back end now skips to Sync: the batch's answer is this error.
      this.phase = 'batch';
      this.visitBatch(type, buffer, start, end);
      return;
    }
    const answer = this.prelude[this.preludeDone];
    if (answer === undefined || answer.type !== type) {
      this.violation(type);
      return;
    }
    if (answer.prepared !== undefined) this.listener.prepared(answer.prepared);
    this.preludeDone += 1;
    if (this.preludeDone === this.prelude.length) this.phase = 'batch';
  }

  private visitBatch(type: number, buffer: Buffer, start: number, end: number): void {
    switch (EFFECTS[type]) {
      case Effect.Result:
        this.relayed.add(buffer, start, end);
        return;
      case Effect.Completion:
        if (type === Type.COMMAND_COMPLETE) this.noteTag(buffer, start, end);
        this.relayed.hold(buffer, start, end);
        return;
      case Effect.Neutral:
        this.relayed.follow(buffer, start, end);
        if (this.relayed.heldBytes > MAXIMUM_HELD_BACK_BYTES) this.listener.heldBackTooLarge();
        return;
      case Effect.Error:
        this.visitBatchError(buffer, start, end);
        return;
      case Effect.Ready:
        this.batchEnded(statusOf(buffer, start, end));
        return;
      default:
        this.violation(type);
    }
  }

  private visitBatchError(buffer: Buffer, start: number, end: number): void {
    const error = parseServerError(buffer, start, end);
    // A FATAL error is not the caller's: its own connection stays open.
    if (endsConnection(error)) {
      this.listener.fatal(error);
      return;
    }
    this.errorSqlState ??= error.sqlState;
    // Nothing of the batch follows an error, so that it is its end.
    this.relayed.hold(buffer, start, end);
  }

  private batchEnded(status: TransactionStatus | undefined): void {
    if (status === undefined) {
      this.violation(Type.READY_FOR_QUERY);
      return;
    }
    this.relayed.flush();
    this.heldBack = this.relayed.takeHeld();
    if (this.hasAppendedQuery) this.phase = 'trailing';
    else this.allEnded(status);
  }

  private visitTrailing(type: number, buffer: Buffer, start: number, end: number): void {
    switch (EFFECTS[type]) {
      case Effect.Result:
        if (type === Type.DATA_ROW) this.noteRow(buffer, start, end);
        return;
      case Effect.Completion:
        if (type === Type.COMMAND_COMPLETE) this.noteTag(buffer, start, end);
        return;
      case Effect.Neutral:
        return;
      case Effect.Error:
        this.visitTrailingError(buffer, start, end);
        return;
      case Effect.Ready:
        this.allEnded(statusOf(buffer, start, end));
        return;
      default:
        this.violation(type);
    }
  }

  /** Never shown to the caller: it is not an answer to anything that the caller sent. */
  private visitTrailingError(buffer: Buffer, start: number, end: number): void {
    const error = parseServerError(buffer, start, end);
    if (endsConnection(error)) this.listener.fatal(error);
    else this.trailingError = error;
  }

  private noteRow(buffer: Buffer, start: number, end: number): void {
    const row = parseTextRow(buffer, start, end);
    if (row === undefined) this.violation(Type.DATA_ROW);
    else this.rows.push(row);
  }

  /** `status` is that of the last ReadyForQuery: a failed trailing query may have changed it. */
  private allEnded(status: TransactionStatus | undefined): void {
    if (status === undefined) {
      this.violation(Type.READY_FOR_QUERY);
      return;
    }
    const rowsKnown = this.phase === 'trailing' && this.trailingError === undefined;
    const end: AnswerEnd = {
      status,
      heldBack: this.heldBack,
      errorSqlState: this.errorSqlState,
      appendedQueryRows: rowsKnown ? this.rows : undefined,
      trailingError: this.trailingError,
    };
    this.phase = 'idle';
    this.heldBack = EMPTY;
    this.listener.ended(end);
  }

  private noteTag(buffer: Buffer, start: number, end: number): void {
    if (buffer[start + FRAME_HEADER_BYTES] !== TAG_FIRST_BYTE) return;
    if (end - start > LONGEST_TAG_BYTES) return;
    const tag = buffer.toString('latin1', start + FRAME_HEADER_BYTES, end - 1);
    if (tag === TAG_DISCARD_ALL || tag === TAG_DEALLOCATE_ALL) this.listener.deallocated(true);
    else if (tag === TAG_DEALLOCATE) this.listener.deallocated(false);
  }

  private noteParameter(buffer: Buffer, start: number, end: number): void {
    const [name, value] = buffer.toString('utf8', start + FRAME_HEADER_BYTES, end).split('\0');
    if (name !== undefined && value !== undefined) this.listener.parameter(name, value);
  }

  private violation(type: number): void {
    const shown = JSON.stringify(String.fromCharCode(type));
    this.listener.violation(`message ${shown} is not lawful in phase ${this.phase}`);
  }
}

/** Status byte of the ReadyForQuery at `start`; undefined if it is malformed. */
export function statusOf(
  buffer: Buffer,
  start: number,
  end: number,
): TransactionStatus | undefined {
  if (end - start !== READY_FOR_QUERY_BYTES) return undefined;
  const status = String.fromCharCode(buffer[start + FRAME_HEADER_BYTES] ?? 0);
  return status === 'I' || status === 'T' || status === 'E' ? status : undefined;
}
