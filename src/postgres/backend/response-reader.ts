/**
 * Reads the responses on one back-end connection, message by message: first those to the messages that
 * the proxy sent before the batch (the prelude, not relayed), then those to the batch (relayed), then those
 * to the appended query (parsed into rows). No I/O; the connection passes in the messages.
 *
 * Which message is allowed when: PostgreSQL manual, "Message Flow".
 */
import type { TransactionStatus } from '../contract.js';
import { FRAME_HEADER_BYTES } from '../frames.js';
import { BackendMessageType as Type } from '../messages.js';
import type { PreludeResponse } from './prepared-names.js';
import { RelayBuffer } from './relay-buffer.js';
import { parseTextRow, type TextRow } from './rows.js';
import { endsConnection, parseServerError, type ServerError } from './server-error.js';

/** Maximum size of what is held back until ReadyForQuery; the connection is closed if it is exceeded. */
export const MAXIMUM_HELD_BACK_BYTES = 1024 * 1024;

/** End of the response to a batch and its appended query. */
export interface ResponseEnd {
  readonly status: TransactionStatus;
  readonly heldBack: Buffer;
  readonly errorSqlState: string | undefined;
  /** Undefined if there was no appended query or it failed. */
  readonly appendedQueryRows: readonly TextRow[] | undefined;
  /** Error of the appended query, if it failed. */
  readonly appendedQueryError: ServerError | undefined;
}

/** Receives what the reader finds in the responses. */
export interface ResponseListener {
  relay(messages: Buffer): void;
  handleEnd(end: ResponseEnd): void;
  /** The back end sent a FATAL or PANIC error, after which it closes the connection. */
  handleFatalError(error: ServerError): void;
  handleViolation(message: string): void;
  handleHeldBackTooLarge(): void;
  recordPrepared(name: string): void;
  /** A command tag shows that prepared statements were deallocated. */
  recordDeallocated(all: boolean): void;
  recordParameter(name: string, value: string): void;
  recordDroppedNotification(): void;
}

/** Which responses are expected, according to what was sent. */
export interface ExpectedResponses {
  readonly prelude: readonly PreludeResponse[];
  readonly batch: boolean;
  readonly hasAppendedQuery: boolean;
}

/** Whose response is being read; `trailing` is that of the appended query. */
type Phase = 'idle' | 'prelude' | 'batch' | 'trailing';

/** Effect of a message on the response that is being relayed. */
const Effect = {
  Illegal: 0,
  /** Shows that what was held back was not the end of the response. */
  Result: 1,
  /** May be the last message of the response. */
  Completion: 2,
  /** Doesn't show whether another result follows. */
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
const MAXIMUM_TAG_MESSAGE_BYTES = FRAME_HEADER_BYTES + TAG_DEALLOCATE_ALL.length + 1;

export class ResponseReader {
  private phase: Phase = 'idle';
  private prelude: readonly PreludeResponse[] = [];
  private preludeReceived = 0;
  private hasAppendedQuery = false;
  private errorSqlState: string | undefined;
  private heldBack: Buffer = EMPTY;
  private rows: TextRow[] = [];
  private appendedQueryError: ServerError | undefined;
  private readonly relayBuffer: RelayBuffer;

  constructor(private readonly listener: ResponseListener) {
    this.relayBuffer = new RelayBuffer((messages) => listener.relay(messages));
  }

  /** Prepares for the responses to the next batch or query. */
  begin(expected: ExpectedResponses): void {
    this.prelude = expected.prelude;
    this.preludeReceived = 0;
    this.hasAppendedQuery = expected.hasAppendedQuery;
    this.errorSqlState = undefined;
    this.heldBack = EMPTY;
    this.rows = [];
    this.appendedQueryError = undefined;
    if (!expected.batch) this.phase = 'trailing';
    else this.phase = expected.prelude.length > 0 ? 'prelude' : 'batch';
  }

  /** Processes one complete message: `buffer[start]` is its type byte. */
  readonly visit = (type: number, buffer: Buffer, start: number, end: number): void => {
    if (type === Type.NOTIFICATION_RESPONSE) {
      this.listener.recordDroppedNotification();
      return;
    }
    if (type === Type.PARAMETER_STATUS) this.reportParameter(buffer, start, end);
    switch (this.phase) {
      case 'batch':
        this.visitBatch(type, buffer, start, end);
        return;
      case 'prelude':
        this.visitPrelude(type, buffer, start, end);
        return;
      case 'trailing':
        this.visitAppendedQuery(type, buffer, start, end);
        return;
      case 'idle':
        this.visitIdle(type, buffer, start, end);
        return;
    }
  };

  /** Relays what may be relayed, at the end of each chunk. */
  handleChunkEnd(): void {
    this.relayBuffer.flush();
  }

  private visitIdle(type: number, buffer: Buffer, start: number, end: number): void {
    if (type === Type.NOTICE_RESPONSE || type === Type.PARAMETER_STATUS) return;
    if (type === Type.ERROR_RESPONSE) {
      const error = parseServerError(buffer, start, end);
      if (endsConnection(error)) this.listener.handleFatalError(error);
      else this.reportViolation(type);
      return;
    }
    this.reportViolation(type);
  }

  private visitPrelude(type: number, buffer: Buffer, start: number, end: number): void {
    if (type === Type.PARAMETER_STATUS || type === Type.NOTICE_RESPONSE) {
      this.relayBuffer.addNeutral(buffer, start, end);
      return;
    }
    if (type === Type.ERROR_RESPONSE) {
      // The back end now skips to Sync, so this error is the response to the batch.
      this.phase = 'batch';
      this.visitBatch(type, buffer, start, end);
      return;
    }
    const expected = this.prelude[this.preludeReceived];
    if (expected === undefined || expected.type !== type) {
      this.reportViolation(type);
      return;
    }
    if (expected.prepared !== undefined) this.listener.recordPrepared(expected.prepared);
    this.preludeReceived += 1;
    if (this.preludeReceived === this.prelude.length) this.phase = 'batch';
  }

  private visitBatch(type: number, buffer: Buffer, start: number, end: number): void {
    switch (EFFECTS[type]) {
      case Effect.Result:
        this.relayBuffer.addResult(buffer, start, end);
        return;
      case Effect.Completion:
        if (type === Type.COMMAND_COMPLETE) this.detectDeallocation(buffer, start, end);
        this.relayBuffer.holdBack(buffer, start, end);
        return;
      case Effect.Neutral:
        this.relayBuffer.addNeutral(buffer, start, end);
        if (this.relayBuffer.heldBackBytes > MAXIMUM_HELD_BACK_BYTES)
          this.listener.handleHeldBackTooLarge();
        return;
      case Effect.Error:
        this.visitBatchError(buffer, start, end);
        return;
      case Effect.Ready:
        this.endBatch(parseStatus(buffer, start, end));
        return;
      default:
        this.reportViolation(type);
    }
  }

  private visitBatchError(buffer: Buffer, start: number, end: number): void {
    const error = parseServerError(buffer, start, end);
    // A FATAL error is not relayed: the caller's connection to the proxy stays open.
    if (endsConnection(error)) {
      this.listener.handleFatalError(error);
      return;
    }
    this.errorSqlState ??= error.sqlState;
    // The back end sends no further result after an error, so it is the end of the response.
    this.relayBuffer.holdBack(buffer, start, end);
  }

  private endBatch(status: TransactionStatus | undefined): void {
    if (status === undefined) {
      this.reportViolation(Type.READY_FOR_QUERY);
      return;
    }
    this.relayBuffer.flush();
    this.heldBack = this.relayBuffer.takeHeldBack();
    if (this.hasAppendedQuery) this.phase = 'trailing';
    else this.finish(status);
  }

  private visitAppendedQuery(type: number, buffer: Buffer, start: number, end: number): void {
    switch (EFFECTS[type]) {
      case Effect.Result:
        if (type === Type.DATA_ROW) this.addRow(buffer, start, end);
        return;
      case Effect.Completion:
        if (type === Type.COMMAND_COMPLETE) this.detectDeallocation(buffer, start, end);
        return;
      case Effect.Neutral:
        return;
      case Effect.Error:
        this.visitAppendedQueryError(buffer, start, end);
        return;
      case Effect.Ready:
        this.finish(parseStatus(buffer, start, end));
        return;
      default:
        this.reportViolation(type);
    }
  }

  /** Not relayed: the caller didn't send the appended query. */
  private visitAppendedQueryError(buffer: Buffer, start: number, end: number): void {
    const error = parseServerError(buffer, start, end);
    if (endsConnection(error)) this.listener.handleFatalError(error);
    else this.appendedQueryError = error;
  }

  private addRow(buffer: Buffer, start: number, end: number): void {
    const row = parseTextRow(buffer, start, end);
    if (row === undefined) this.reportViolation(Type.DATA_ROW);
    else this.rows.push(row);
  }

  /** `status` is that of the last ReadyForQuery: a failed appended query may have changed it. */
  private finish(status: TransactionStatus | undefined): void {
    if (status === undefined) {
      this.reportViolation(Type.READY_FOR_QUERY);
      return;
    }
    const hasRows = this.phase === 'trailing' && this.appendedQueryError === undefined;
    const end: ResponseEnd = {
      status,
      heldBack: this.heldBack,
      errorSqlState: this.errorSqlState,
      appendedQueryRows: hasRows ? this.rows : undefined,
      appendedQueryError: this.appendedQueryError,
    };
    this.phase = 'idle';
    this.heldBack = EMPTY;
    this.listener.handleEnd(end);
  }

  private detectDeallocation(buffer: Buffer, start: number, end: number): void {
    if (buffer[start + FRAME_HEADER_BYTES] !== TAG_FIRST_BYTE) return;
    if (end - start > MAXIMUM_TAG_MESSAGE_BYTES) return;
    const tag = buffer.toString('latin1', start + FRAME_HEADER_BYTES, end - 1);
    if (tag === TAG_DISCARD_ALL || tag === TAG_DEALLOCATE_ALL)
      this.listener.recordDeallocated(true);
    else if (tag === TAG_DEALLOCATE) this.listener.recordDeallocated(false);
  }

  private reportParameter(buffer: Buffer, start: number, end: number): void {
    const [name, value] = buffer.toString('utf8', start + FRAME_HEADER_BYTES, end).split('\0');
    if (name !== undefined && value !== undefined) this.listener.recordParameter(name, value);
  }

  private reportViolation(type: number): void {
    const shown = JSON.stringify(String.fromCharCode(type));
    this.listener.handleViolation(`unexpected message ${shown} in phase ${this.phase}`);
  }
}

/** Transaction status in the ReadyForQuery at `start`; undefined if it is malformed. */
export function parseStatus(
  buffer: Buffer,
  start: number,
  end: number,
): TransactionStatus | undefined {
  if (end - start !== READY_FOR_QUERY_BYTES) return undefined;
  const status = String.fromCharCode(buffer[start + FRAME_HEADER_BYTES] ?? 0);
  return status === 'I' || status === 'T' || status === 'E' ? status : undefined;
}
