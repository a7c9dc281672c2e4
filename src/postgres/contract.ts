/**
 * The two sides of the PostgreSQL v3 wire protocol as the rest of the proxy sees them: connections of
 * callers and to back ends. Message names are those of PostgreSQL's manual, "Message Formats".
 */
import type { ResultAsync } from 'neverthrow';
import type { TenantPolicy } from '../core/configuration/model.js';
import type { MeadowstackError, RequestError } from '../core/errors.js';

/** Transaction status byte of ReadyForQuery: idle, in a transaction, in a failed transaction. */
export type TransactionStatus = 'I' | 'T' | 'E';

/** A prepared statement from a caller's Parse message, under a name derived from its content. */
export interface PreparedStatement {
  /** Name on back-end connections: a hash of text and types, so that callers can share it. */
  readonly backendName: string;
  readonly text: string;
  readonly parameterTypes: readonly number[];
}

/** The classifier's result for a statement or batch. */
export interface StatementClassification {
  readonly access: 'read' | 'write';
  /** `begin`: opens a transaction block; `commit` and `rollback`: end it; `none`: anything else. */
  readonly transactionControl: 'none' | 'begin' | 'commit' | 'rollback';
  /** Name of a feature that pooling can't support; the statement is refused with this name. */
  readonly unsupportedFeature: string | undefined;
  /**
   * SET/RESET/SHOW of `meadowstack.*`, handled by the gateway itself; also SET of another parameter
   * to its current value, which is acknowledged without any effect.
   */
  readonly sessionSetting: SessionSetting | undefined;
}

/** A SET, RESET or SHOW statement that the gateway handles. */
export interface SessionSetting {
  readonly action: 'set' | 'reset' | 'show';
  readonly name: string;
  readonly value: string | undefined;
}

/** This project's sqlcommenter markers in a statement; undefined where absent. */
export interface StatementMarkers {
  readonly once: string | undefined;
  readonly kind: string | undefined;
  readonly staleMs: number | undefined;
  readonly deadlineMs: number | undefined;
}

/**
 * One unit of work of a caller: a simple Query, or extended-query messages up to Sync.
 * The caller gets exactly one ReadyForQuery for it (none if `endsWithFlush`).
 */
export interface CallerBatch {
  readonly protocol: 'simple' | 'extended';
  /** Texts of all statements that the batch would execute, for classification. */
  readonly statements: readonly string[];
  /** Prepared statements that must exist on the back-end connection before `messages` are sent. */
  readonly requires: readonly PreparedStatement[];
  /**
   * Frontend messages to send unchanged: one Query, or extended-query messages with statement names
   * rewritten to `backendName` and a final Sync. The back end responds with one ReadyForQuery.
   */
  readonly messages: Buffer;
  /**
   * True if the caller ended the batch with Flush: it gets the responses but no ReadyForQuery, and the
   * next batch continues this one. Handlers need no special case: `messages` still ends with Sync,
   * which is harmless because a flushed batch executes nothing outside a transaction block.
   */
  readonly endsWithFlush: boolean;
}

/** One caller's connection after authentication. */
export interface CallerConnection {
  readonly id: string;
  readonly policy: TenantPolicy;
  readonly database: string;
  /** Start-up parameters by lower-case name, including `meadowstack.session` and `meadowstack.session_id`. */
  readonly parameters: ReadonlyMap<string, string>;
  /** Delivers a batch; the next one is delivered only after `finish` was called for this one. */
  onBatch: ((batch: CallerBatch) => void) | undefined;
  /** A CancelRequest with this connection's key arrived on another connection. */
  onCancel: (() => void) | undefined;
  onClose: (() => void) | undefined;
  onDrain: (() => void) | undefined;
  /**
   * Writes complete raw backend messages, in order and without ReadyForQuery. False when the socket's
   * buffer is full: stop until `onDrain`. The connection itself inserts ParseComplete and
   * CloseComplete for messages that were not sent to the back end.
   */
  write(messages: Buffer): boolean;
  /** Sends ParameterStatus. */
  reportParameter(name: string, value: string): void;
  /** Sends a NoticeResponse of severity WARNING. */
  warn(message: string, detail: string): void;
  /**
   * Sends a non-fatal ErrorResponse for a request that ended with an error. If the batch then ends
   * with `finish('T')`, the caller sees a failed transaction block: it gets status `E`, its later
   * statements are refused, and its COMMIT reaches the handler as ROLLBACK.
   */
  writeError(error: RequestError): void;
  /** Ends the batch with ReadyForQuery; the next batch may follow. `status` is the back end's. */
  finish(status: TransactionStatus): void;
  /** Sends a FATAL ErrorResponse and closes. Only between requests, unless the disconnect is forced. */
  terminate(error: RequestError): void;
  /** True from the delivery of a batch until `finish`. */
  readonly busy: boolean;
}

/** Handles authenticated callers. */
export type CallerHandler = (connection: CallerConnection) => void;

/** One pooled connection to an instance. Exactly one batch runs on it at a time. */
export interface BackendConnection {
  readonly parameters: ReadonlyMap<string, string>;
  /** Runs a batch and reports its messages and its end to the callbacks in `batch`. */
  run(batch: BackendBatch): void;
  /** Stops reading from the back end until `resume`, for backpressure. */
  pause(): void;
  resume(): void;
  /** Sends a CancelRequest for the running batch over a separate connection. */
  cancel(): ResultAsync<void, MeadowstackError>;
  /** Runs one query and resolves to its rows as text; for probes, resets and positions. */
  query(text: string): ResultAsync<readonly (readonly (string | null)[])[], MeadowstackError>;
  /** Sends Terminate and closes. */
  close(): void;
  /** Called once when the connection is lost or closed by the back end. */
  onClose: ((error: MeadowstackError) => void) | undefined;
}

/** A batch to run on a back-end connection, with callbacks for its results. */
export interface BackendBatch {
  readonly requires: readonly PreparedStatement[];
  readonly messages: Buffer;
  /** Query pipelined behind the batch; its rows are passed to `onFinished` and its messages are not relayed. */
  readonly appendedQuery: string | undefined;
  /** Called with complete raw messages, in order, without the final CommandComplete and ReadyForQuery. */
  onMessages(messages: Buffer): void;
  onFinished(end: BackendBatchResult): void;
}

/** How a batch ended on its back-end connection. */
export type BackendBatchResult =
  | {
      readonly type: 'ready';
      readonly status: TransactionStatus;
      /** The withheld last CommandComplete (or equivalent), to be sent once the request is released. */
      readonly heldBack: Buffer;
      /** SQLSTATE of the first ErrorResponse among the messages; undefined if there was none. */
      readonly errorSqlState: string | undefined;
      readonly appendedQueryRows: readonly (readonly (string | null)[])[] | undefined;
    }
  | {
      readonly type: 'lost';
      readonly anyBytesWritten: boolean;
      readonly anyBytesRelayed: boolean;
      readonly error: MeadowstackError;
    };
