/**
 * The two sides of the PostgreSQL v3 wire as the rest of the proxy sees them. Message names are
 * those of PostgreSQL's manual, "Message Formats".
 */
import type { ResultAsync } from 'neverthrow';
import type { TenantPolicy } from '../core/configuration/model.js';
import type { MeadowstackError, RequestError } from '../core/errors.js';

/** Transaction status byte of ReadyForQuery: idle, in a transaction, in a failed transaction. */
export type TransactionStatus = 'I' | 'T' | 'E';

/** A prepared statement as the caller's Parse gave it, under a name derived from its content. */
export interface PreparedStatement {
  /** Name on back-end connections: a hash of text and types, so that connections can share it. */
  readonly backendName: string;
  readonly text: string;
  readonly parameterTypes: readonly number[];
}

/** What the classifier makes of a statement or batch. */
export interface StatementClass {
  readonly access: 'read' | 'write';
  /** `begin`: opens a transaction block; `end`: COMMIT or ROLLBACK; `none`: anything else. */
  readonly transactionControl: 'none' | 'begin' | 'commit' | 'rollback';
  /** Features that pooling can't keep; the statement is refused with this name. */
  readonly unsupported: string | undefined;
  /**
   * SET/RESET/SHOW of `meadowstack.*`, answered by the gateway itself; also SET of another parameter
   * to the value that is in force anyway, which is acknowledged and changes nothing.
   */
  readonly sessionSetting: SessionSetting | undefined;
}

export interface SessionSetting {
  readonly action: 'set' | 'reset' | 'show';
  readonly name: string;
  readonly value: string | undefined;
}

/** sqlcommenter markers of this project found in a statement; undefined where absent. */
export interface StatementMarkers {
  readonly once: string | undefined;
  readonly kind: string | undefined;
  readonly staleMs: number | undefined;
  readonly deadlineMs: number | undefined;
}

/**
 * One unit of work of a caller: a simple Query, or extended-query messages up to Sync.
 * The caller gets exactly one ReadyForQuery for it (none if `flush`).
 */
export interface CallerBatch {
  readonly protocol: 'simple' | 'extended';
  /** Texts of all statements that the batch would execute, for classification. */
  readonly statements: readonly string[];
  /** Prepared statements that must exist on the back-end connection before `messages`. */
  readonly requires: readonly PreparedStatement[];
  /**
   * Frontend messages to send as they are: one Query, or extended messages with statement names
   * rewritten to `backendName` and one Sync at the end. The back end answers with one ReadyForQuery.
   */
  readonly messages: Buffer;
  /**
   * The caller ended the batch by Flush: it gets the answers and no ReadyForQuery, and the next
   * batch goes on with it. Nothing else to do for a handler: `messages` ends with Sync all the same,
   * which changes nothing because a flushed batch executes nothing outside a transaction block.
   */
  readonly flush: boolean;
}

/** One caller's connection after authentication. */
export interface CallerConnection {
  readonly id: string;
  readonly policy: TenantPolicy;
  readonly database: string;
  /** Start-up parameters, lower-case names; includes `meadowstack.session`, `meadowstack.session_id`. */
  readonly parameters: ReadonlyMap<string, string>;
  /** Next batch; the next one is delivered only after `finish` was called for this one. */
  onBatch: ((batch: CallerBatch) => void) | undefined;
  /** CancelRequest with this connection's key arrived on another connection. */
  onCancel: (() => void) | undefined;
  onClose: (() => void) | undefined;
  onDrain: (() => void) | undefined;
  /**
   * Raw whole backend messages, in order and without ReadyForQuery; false when the socket's buffer
   * is full: stop until `onDrain`. The connection itself puts in ParseComplete and CloseComplete of
   * messages that were not sent to the back end.
   */
  write(messages: Buffer): boolean;
  /** ParameterStatus. */
  reportParameter(name: string, value: string): void;
  /** NoticeResponse at level WARNING. */
  warn(message: string, detail: string): void;
  /**
   * ErrorResponse (not fatal) for a request that ended with a typed error. If the batch then ends
   * with `finish('T')`, the caller sees a failed transaction block: it gets status `E`, its later
   * statements are refused, and its COMMIT reaches the handler as ROLLBACK.
   */
  writeError(error: RequestError): void;
  /** Ends the batch with ReadyForQuery and lets the next one come. `status`: the back end's. */
  finish(status: TransactionStatus): void;
  /** FATAL ErrorResponse, then close. Between requests only, unless the caller is being cut off. */
  terminate(error: RequestError): void;
  /** True while a batch is being worked on. */
  readonly busy: boolean;
}

/** Handles authenticated callers. */
export type CallerHandler = (connection: CallerConnection) => void;

/** One pooled connection to an instance. Exactly one batch runs on it at a time. */
export interface BackendConnection {
  readonly parameters: ReadonlyMap<string, string>;
  /** Raw whole backend messages of the running batch, in order, without ReadyForQuery's end. */
  run(batch: BackendBatch): void;
  /** Stops reading from the back end until `resume`: back pressure. */
  pause(): void;
  resume(): void;
  /** Sends a CancelRequest for the running batch over a connection of its own. */
  cancel(): ResultAsync<void, MeadowstackError>;
  /** Runs one query and gives its rows as text; for probes, resets and positions. */
  query(text: string): ResultAsync<readonly (readonly (string | null)[])[], MeadowstackError>;
  /** Sends Terminate and closes. */
  close(): void;
  /** Called once when the connection is lost or closed by the back end. */
  onClose: ((error: MeadowstackError) => void) | undefined;
}

/** What to run, and who hears of it. */
export interface BackendBatch {
  readonly requires: readonly PreparedStatement[];
  readonly messages: Buffer;
  /** Query pipelined behind the batch; its rows come in `onFinished`, its messages are not relayed. */
  readonly trailingQuery: string | undefined;
  /** Whole messages, in order. The final CommandComplete and ReadyForQuery are not included. */
  onMessages(messages: Buffer): void;
  onFinished(end: BackendBatchEnd): void;
}

/** How a batch ended on its connection. */
export type BackendBatchEnd =
  | {
      readonly type: 'ready';
      readonly status: TransactionStatus;
      /** The held-back last CommandComplete (or equivalent), to be sent once released. */
      readonly heldBack: Buffer;
      /** SQLSTATE of the first ErrorResponse among the messages; undefined if there was none. */
      readonly errorSqlState: string | undefined;
      readonly trailingRows: readonly (readonly (string | null)[])[] | undefined;
    }
  | {
      readonly type: 'lost';
      readonly bytesWritten: boolean;
      readonly answerRelayed: boolean;
      readonly error: MeadowstackError;
    };
