/**
 * What goes into and comes out of the owner's state machine for one database group.
 * The machine is `handle(event, now) -> effects`; adapters carry out the effects and report back
 * as events. No effect is ever assumed to have succeeded.
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

/** Names a connection. */
export type ConnectionId = string;
/** Names a probe. */
export type ProbeId = string;

/** One database instance of the group, as the machine list tells it. */
export interface InstanceDescription {
  readonly name: InstanceName;
  readonly zone: ZoneName;
  /** Statements that the instance runs at once. */
  readonly slots: number;
  /** Connections that this owner may hold: its leased share of the instance's limit. */
  readonly connectionBudget: number;
  /** A leaving instance gets no new work. */
  readonly leaving: boolean;
}

/** What an instance says of itself in answer to a probe. */
export interface InstanceState {
  /** `NOT pg_is_in_recovery()`: it believes that it is the primary. */
  readonly writable: boolean;
  /** Timeline, and on a primary `pg_current_wal_lsn()`, on a replica `pg_last_wal_replay_lsn()`. */
  readonly replayed: Position;
  /** On a replica `pg_last_wal_receive_lsn()`; on a primary the same as `replayed`. */
  readonly received: Position;
}

/** Limits of one tenant in this group, as the configuration in force tells them. */
export interface TenantGroupLimits {
  readonly tenant: TenantName;
  /** Requests running or queued at once in this group. */
  readonly maxInFlight: number;
  /** Requests queued at once in this group. */
  readonly maxQueued: number;
  /** Share in the group's queue relative to other tenants. */
  readonly queueWeight: number;
  /** Connections held at once in this group (a transaction holds one for its whole length). */
  readonly maxConnections: number;
  /** Sustained requests a second admitted to this group. */
  readonly requestsPerSecond: number;
  /** Requests admitted at once after a quiet time. */
  readonly burst: number;
}

/** How an acknowledgement is confirmed; see docs/design. */
export type ConfirmationMode =
  /** A majority reports no later timeline after the write ran. */
  | 'term'
  /** As `term`, and a majority has received the log up to the write. */
  | 'received';

/** How a run on a back-end connection ended. */
export type RunResult =
  /** ReadyForQuery arrived and no error; for a transaction: it committed. */
  | {
      readonly type: 'completed';
      readonly position: Position | undefined;
      /**
       * False if no byte of the answer has gone towards the caller yet: then a read that can't be
       * confirmed is retried elsewhere instead of failing. Taken as true if absent.
       */
      readonly answerRelayed?: boolean;
    }
  /** The database's own error; for a transaction: it rolled back. */
  | { readonly type: 'database-error'; readonly position: Position | undefined }
  /**
   * The instance refused the write as read only and says itself that it is in recovery: it was
   * demoted, and nothing of the request ran. No byte of the answer has gone towards the caller.
   */
  | { readonly type: 'not-writable' }
  /** The connection was lost. `bytesWritten`: any byte of the request had gone to the socket. */
  | {
      readonly type: 'connection-lost';
      readonly bytesWritten: boolean;
      /** Any byte of the answer had gone towards the caller. */
      readonly answerRelayed: boolean;
      /** False only for a transaction whose COMMIT had not been sent: then it surely rolled back. */
      readonly mayHaveCommitted: boolean;
    };

/** What goes into the machine. */
export type GroupEvent =
  | { readonly type: 'request-arrived'; readonly request: GroupRequest }
  /** The caller has gone or cancelled; a queued request is dropped, a running one is left to finish. */
  | { readonly type: 'request-abandoned'; readonly requestId: RequestId }
  /** A statement of the transaction ended and the next one has not come: it uses no slot. */
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
  /** The reset that a `reset-connection` effect asked for was answered; it may be used again. */
  | { readonly type: 'connection-reset'; readonly connectionId: ConnectionId }
  | { readonly type: 'probe-answered'; readonly probeId: ProbeId; readonly state: InstanceState }
  | { readonly type: 'probe-failed'; readonly probeId: ProbeId }
  /** A position learned in passing, from the query that trails a statement. */
  | {
      readonly type: 'position-observed';
      readonly instance: InstanceName;
      readonly state: InstanceState;
    }
  | { readonly type: 'instances-changed'; readonly instances: readonly InstanceDescription[] }
  | { readonly type: 'limits-changed'; readonly limits: readonly TenantGroupLimits[] }
  /** This owner is stopping: queued requests are refused as not run, running ones finish. */
  | { readonly type: 'drain-started' }
  /** Time has passed; sent when `nextDeadline()` is due. */
  | { readonly type: 'tick' };

/** What comes out of the machine. */
export type GroupEffect =
  | {
      readonly type: 'open-connection';
      readonly connectionId: ConnectionId;
      readonly instance: InstanceName;
      readonly databaseRole: DatabaseRole;
      readonly database: string;
    }
  /**
   * Close the connection; it counts as closed at once. If a request still runs on it, report its
   * `run-finished` as `connection-lost`; no `connection-closed` is needed.
   */
  | { readonly type: 'close-connection'; readonly connectionId: ConnectionId }
  /**
   * The instance seems not to answer. If nothing of the request's answer has arrived, close its
   * connection and report `run-finished` as `connection-lost`; if it has, the instance does answer.
   */
  | { readonly type: 'interrupt-if-silent'; readonly requestId: RequestId }
  /** Clear session state left by another tenant (DISCARD ALL), then report `connection-reset`. */
  | { readonly type: 'reset-connection'; readonly connectionId: ConnectionId }
  /** Send the request on this connection, then report `run-finished`. */
  | {
      readonly type: 'run';
      readonly requestId: RequestId;
      readonly connectionId: ConnectionId;
      readonly instance: InstanceName;
      /** True if it runs on the primary. */
      readonly onPrimary: boolean;
      /** Pipeline the position query behind it and report the position in `run-finished`. */
      readonly trailPosition: boolean;
    }
  /** Final: the request ends with this error (not run, unknown). Nothing more follows for it. */
  | { readonly type: 'fail'; readonly requestId: RequestId; readonly error: RequestError }
  /**
   * Final: the answer held back may go to the caller. `position` is what the session must see from
   * now on, undefined if unchanged.
   */
  | {
      readonly type: 'release';
      readonly requestId: RequestId;
      readonly position: Position | undefined;
    }
  /** Ask an instance for its state, on a connection kept for probes. */
  | { readonly type: 'probe'; readonly probeId: ProbeId; readonly instance: InstanceName }
  /** For logs and counters: the primary or its term changed. */
  | {
      readonly type: 'primary-changed';
      readonly group: GroupName;
      readonly from: InstanceName | undefined;
      readonly to: InstanceName | undefined;
      readonly timeline: number;
    };

/** Figures a group keeps of itself, for metrics and load-aware choice. */
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
export interface GroupMachine {
  handle(event: GroupEvent, now: Milliseconds): GroupEffect[];
  /** When a `tick` is next wanted, or undefined if none is. */
  nextDeadline(): Milliseconds | undefined;
  statistics(): GroupStatistics;
}
