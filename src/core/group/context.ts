/** State shared by the modules of a group's state machine. */
import type { InstanceMonitor } from '../failover/monitor.js';
import type { TenantAdmission } from '../limits/admission.js';
import type { ConnectionPool } from '../pool/pool.js';
import type { Position } from '../position.js';
import type { GroupRequest, InstanceName, RequestId } from '../request.js';
import type { RetryBudget } from '../retry/budget.js';
import type { Milliseconds } from '../units.js';
import type { ConfirmationTable } from './confirmation.js';
import type { ConnectionId, GroupEffect, InstanceDescription } from './contract.js';
import type { DeadlineHeap } from './deadlines.js';
import type { InstanceLoads } from './loads.js';
import type { DatabaseGroupOptions, GroupBounds, GroupTiming, Mechanism } from './options.js';
import type { FairQueue, QueueEntry } from './queue.js';

/**
 * `resetting`: the connection is being cleared of another tenant's session state. `running`: the
 * request was sent. `confirming`: it ran and waits for the majority's confirmation. `abandoned`: it
 * has ended with an error for its caller, but still runs.
 */
export type RunPhase = 'resetting' | 'running' | 'confirming' | 'abandoned';

/** A request that has been given a connection. */
export interface Run {
  readonly entry: QueueEntry;
  readonly connectionId: ConnectionId;
  readonly instance: InstanceName;
  readonly onPrimary: boolean;
  /** Timeline of the primary that it was sent to; zero on a replica. */
  readonly timeline: number;
  readonly dispatchedAt: Milliseconds;
  phase: RunPhase;
  /** True for a transaction between two statements: it keeps its connection, but uses no slot. */
  idle: boolean;
  /** Log position after the run: the session has observed it once the response is released. */
  position: Position | undefined;
  /** True if a byte of the response may have been sent towards the caller. */
  anyBytesRelayed: boolean;
}

/** Monotonic counters of a group's statistics. */
export interface GroupCounters {
  replicaReads: number;
  primaryReads: number;
  eligibleReplicaReads: number;
  writes: number;
  notRun: number;
  unknown: number;
  retries: number;
  confirmationsSent: number;
  writesConfirmed: number;
}

/**
 * Queued requests: `primary` holds those for the primary, `replica` the reads that a replica may
 * serve.
 */
export interface RequestQueues {
  readonly primary: FairQueue;
  readonly replica: FairQueue;
}

/** State of one group's state machine. */
export interface GroupContext {
  readonly options: DatabaseGroupOptions;
  readonly timing: GroupTiming;
  readonly bounds: GroupBounds;
  readonly monitor: InstanceMonitor;
  readonly pool: ConnectionPool;
  readonly admission: TenantAdmission;
  readonly retryBudget: RetryBudget;
  readonly queues: RequestQueues;
  readonly loads: InstanceLoads;
  readonly confirmations: ConfirmationTable;
  readonly deadlines: DeadlineHeap;
  readonly runs: Map<RequestId, Run>;
  readonly counters: GroupCounters;
  instances: ReadonlyMap<InstanceName, InstanceDescription>;
  /** Every replica must be sent a probe with a higher sequence number than this. */
  confirmationSequence: number;
  /** Effects of the event being handled. */
  effects: GroupEffect[];
}

/** True if a test disabled the mechanism. */
export function isDisabled(context: GroupContext, mechanism: Mechanism): boolean {
  return context.options.disabledMechanisms?.has(mechanism) === true;
}

/**
 * How long before a read was sent its primary may last have been confirmed. If the session's
 * position is unknown, the confirmation must not predate the read, whatever staleness it allows.
 */
export function maxConfirmationAgeMs(request: GroupRequest): Milliseconds {
  return request.session.type === 'unknown' ? 0 : request.stalenessBoundMs;
}
