/**
 * Events and effects of the state machine with which an owner serves one database group (a primary
 * and its replicas). The state machine is `handle(event, now) -> effects`; adapters carry out the
 * effects and report the results as events. No effect is assumed to have succeeded.
 */
import type { RequestError } from '../errors.js';
import type { Position } from '../position.js';
import type {
  DatabaseRole,
  GroupName,
  GroupRequest,
  InstanceName,
  RequestId,
  TenantName,
  ZoneName,
} from '../request.js';
import type { Milliseconds } from '../units.js';

/** Identifies a back-end connection. */
export type ConnectionId = string;
/** Identifies a probe: one query for an instance's state. */
export type ProbeId = string;

/** One database instance of the group, as listed in the machine list. */
export interface InstanceDescription {
  readonly name: InstanceName;
  readonly zone: ZoneName;
  /** Statements that the instance can run concurrently. */
  readonly slots: number;
  /** Connections that this owner may hold: its leased share of the instance's connection limit. */
  readonly connectionBudget: number;
  /** True if the instance is being decommissioned; it gets no new requests. */
  readonly leaving: boolean;
}

/** State that an instance reports in response to a probe. */
export interface InstanceState {
  /** `NOT pg_is_in_recovery()`: the instance considers itself the primary. */
  readonly writable: boolean;
  /** Timeline, and on a primary `pg_current_wal_lsn()`, on a replica `pg_last_wal_replay_lsn()`. */
  readonly replayedPosition: Position;
  /** On a replica `pg_last_wal_receive_lsn()`; on a primary the same as `replayedPosition`. */
  readonly receivedPosition: Position;
}

/** Limits of one tenant in this group, from the configuration in force. */
export interface TenantGroupLimits {
  readonly tenant: TenantName;
  /** Maximum number of requests running or queued in this group. */
  readonly maxInFlight: number;
  /** Maximum number of requests queued in this group. */
  readonly maxQueued: number;
  /** Weight in the group's fair queue, relative to other tenants. */
  readonly queueWeight: number;
  /** Maximum number of connections in use in this group (a transaction uses one until it ends). */
  readonly maxConnections: number;
  /** Sustained rate of requests admitted to this group. */
  readonly requestsPerSecond: number;
  /** Requests admitted at once after an idle period. */
  readonly burst: number;
}

/** What a majority of the group's instances must report before a response is released; see docs/design. */
export type ConfirmationMode =
  /** After the write ran, a majority reports no later timeline. */
  | 'term'
  /** As `term`, and a majority has also received the log up to the write. */
  | 'received';

/** How the execution of a request on a back-end connection ended. */
export type RunResult =
  /** ReadyForQuery arrived without an error; a transaction has committed. */
  | {
      readonly type: 'completed';
      readonly position: Position | undefined;
      /**
       * False if no byte of the response was sent towards the caller yet: a read that can't be
       * confirmed is then retried on another instance instead of failing. True if absent.
       */
      readonly anyBytesRelayed?: boolean;
    }
  /** The database reported an error; a transaction has rolled back. */
  | { readonly type: 'database-error'; readonly position: Position | undefined }
  /**
   * The instance refused the write as read-only and reports that it is in recovery: it was demoted
   * and nothing of the request ran. No byte of the response was sent towards the caller.
   */
  | { readonly type: 'not-writable' }
  /** The connection was lost. */
  | {
      readonly type: 'connection-lost';
      /** True if at least one byte of the request was written to the socket. */
      readonly anyBytesWritten: boolean;
      /** True if at least one byte of the response was sent towards the caller. */
      readonly anyBytesRelayed: boolean;
      /** False only for a transaction whose COMMIT was not sent: it has certainly rolled back. */
      readonly mayHaveCommitted: boolean;
    };

/** Input of the state machine. */
export type GroupEvent =
  | { readonly type: 'request-arrived'; readonly request: GroupRequest }
  /** The caller disconnected or cancelled; a queued request is dropped, a running one may finish. */
  | { readonly type: 'request-abandoned'; readonly requestId: RequestId }
  /** A statement of the transaction ended; until the next one is sent, the transaction uses no slot. */
  | { readonly type: 'transaction-idle'; readonly requestId: RequestId }
  /** The next statement of the transaction was sent. */
  | { readonly type: 'transaction-busy'; readonly requestId: RequestId }
  | { readonly type: 'run-finished'; readonly requestId: RequestId; readonly result: RunResult }
  | { readonly type: 'connection-opened'; readonly connectionId: ConnectionId }
  | {
      readonly type: 'connection-open-failed';
      readonly connectionId: ConnectionId;
      readonly refusedByLimit: boolean;
    }
  /** An idle connection was lost, or a used one was closed after its reset failed. */
  | { readonly type: 'connection-closed'; readonly connectionId: ConnectionId }
  /** The reset requested by a `reset-connection` effect succeeded; the connection may be reused. */
  | { readonly type: 'connection-reset'; readonly connectionId: ConnectionId }
  | { readonly type: 'probe-answered'; readonly probeId: ProbeId; readonly state: InstanceState }
  | { readonly type: 'probe-failed'; readonly probeId: ProbeId }
  /** An instance's state, from the position query appended to a statement. */
  | {
      readonly type: 'position-observed';
      readonly instance: InstanceName;
      readonly state: InstanceState;
    }
  | { readonly type: 'instances-changed'; readonly instances: readonly InstanceDescription[] }
  | { readonly type: 'limits-changed'; readonly limits: readonly TenantGroupLimits[] }
  /** This owner is stopping: queued requests fail as not run, running ones finish. */
  | { readonly type: 'drain-started' }
  /** Sent when the time returned by `nextDeadline()` is reached. */
  | { readonly type: 'tick' };

/** Output of the state machine. */
export type GroupEffect =
  | {
      readonly type: 'open-connection';
      readonly connectionId: ConnectionId;
      readonly instance: InstanceName;
      readonly databaseRole: DatabaseRole;
      readonly database: string;
    }
  /**
   * Close the connection; the state machine already counts it as closed. If a request still runs on
   * it, report `run-finished` with `connection-lost`; no `connection-closed` event is needed.
   */
  | { readonly type: 'close-connection'; readonly connectionId: ConnectionId }
  /**
   * The instance appears to be unresponsive. If no byte of the response to this request has arrived,
   * close its connection and report `run-finished` with `connection-lost`; otherwise do nothing.
   */
  | { readonly type: 'interrupt-if-silent'; readonly requestId: RequestId }
  /** Clear another tenant's session state (DISCARD ALL), then report `connection-reset`. */
  | { readonly type: 'reset-connection'; readonly connectionId: ConnectionId }
  /** Send the request on this connection, then report `run-finished`. */
  | {
      readonly type: 'run';
      readonly requestId: RequestId;
      readonly connectionId: ConnectionId;
      readonly instance: InstanceName;
      /** True if it runs on the primary. */
      readonly onPrimary: boolean;
      /** Pipeline the position query behind the request and report the position in `run-finished`. */
      readonly appendPositionQuery: boolean;
    }
  /** The request ends with this error, such as not run or outcome unknown. Its last effect. */
  | { readonly type: 'fail'; readonly requestId: RequestId; readonly error: RequestError }
  /**
   * The withheld response may be sent to the caller. The request's last effect. Later reads of the
   * session must see everything up to `position`; undefined if that has not changed.
   */
  | {
      readonly type: 'release';
      readonly requestId: RequestId;
      readonly position: Position | undefined;
    }
  /** Query an instance's state on a connection reserved for probes. */
  | { readonly type: 'probe'; readonly probeId: ProbeId; readonly instance: InstanceName }
  /** For logs and counters: the primary or its timeline changed. */
  | {
      readonly type: 'primary-changed';
      readonly group: GroupName;
      readonly from: InstanceName | undefined;
      readonly to: InstanceName | undefined;
      readonly timeline: number;
    };

/** Statistics of a group, for metrics and load-aware routing. */
export interface GroupStatistics {
  readonly queued: number;
  readonly running: number;
  readonly primary: InstanceName | undefined;
  readonly timeline: number;
  readonly replicaReads: number;
  readonly primaryReads: number;
  readonly eligibleReplicaReads: number;
  readonly writes: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly retries: number;
  readonly confirmationsSent: number;
  readonly writesConfirmed: number;
  readonly connectionsOpen: number;
}

/** The state machine of one group on one owner. */
export interface GroupStateMachine {
  handle(event: GroupEvent, now: Milliseconds): GroupEffect[];
  /** When the next `tick` is due; undefined if none is needed. */
  nextDeadline(): Milliseconds | undefined;
  statistics(): GroupStatistics;
}
