/** What the parts of a group's state machine share. */
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
 * `resetting`: its connection is being cleared of another tenant's state. `running`: sent.
 * `confirming`: ran, waits for a majority. `abandoned`: ended for its caller, still runs.
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
  /** A transaction between two statements: it holds its connection, but no slot. */
  idle: boolean;
  /** What the session has seen once it is released. */
  position: Position | undefined;
  /** Any byte of the answer may have gone to the caller. */
  anyBytesRelayed: boolean;
}

/** Counters that only grow. */
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

/** Requests waiting: those that need the primary, and those that a replica may serve. */
export interface Lanes {
  readonly primary: FairQueue;
  readonly replica: FairQueue;
}

/** State shared by the parts of one group's machine. */
export interface GroupContext {
  readonly options: DatabaseGroupOptions;
  readonly timing: GroupTiming;
  readonly bounds: GroupBounds;
  readonly monitor: InstanceMonitor;
  readonly pool: ConnectionPool;
  readonly admission: TenantAdmission;
  readonly retryBudget: RetryBudget;
  readonly lanes: Lanes;
  readonly loads: InstanceLoads;
  readonly confirmations: ConfirmationTable;
  readonly deadlines: DeadlineHeap;
  readonly runs: Map<RequestId, Run>;
  readonly counters: GroupCounters;
  instances: ReadonlyMap<InstanceName, InstanceDescription>;
  /** Each replica is to be sent a probe later than this in the owner's order. */
  confirmationSequence: number;
  /** Effects of the event being handled. */
  effects: GroupEffect[];
}

/** True if a test turned the mechanism off. */
export function isOff(context: GroupContext, mechanism: Mechanism): boolean {
  return context.options.disabledMechanisms?.has(mechanism) === true;
}

/**
 * How long before it was sent a read's primary may last have been confirmed. A session that can't
 * tell its position needs one that is confirmed now, whatever staleness its reads tolerate.
 */
export function toleratedAgeMs(request: GroupRequest): Milliseconds {
  return request.session.type === 'unknown' ? 0 : request.stalenessBoundMs;
}
