/** Options of a group's state machine, with their defaults. */
import type { GroupName, ZoneName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { ConfirmationMode } from './contract.js';

/** Safety mechanisms that a test may disable to prove that it detects their absence. Never disabled in production. */
export const ALL_MECHANISMS = [
  'confirmation',
  'majority-election',
  'session-position',
  'staleness-bound',
  'at-most-once',
  'slot-limit',
  'connection-budget',
  'leaving',
  'deadline',
  'fair-queue',
  'retry-budget',
  'tenant-reset',
] as const;

/** A safety mechanism that a test may disable. */
export type Mechanism = (typeof ALL_MECHANISMS)[number];

/**
 * How reads are distributed. Production uses `session-consistent`; the others are baselines for
 * comparison, which break the consistency guarantees or leave the replicas unused.
 */
export type RoutingPolicy =
  | 'session-consistent'
  /** Every read goes to the primary. */
  | 'primary-only'
  /** Any reachable replica serves any single read, whatever its replay position. */
  | 'any-replica';

/** Intervals and timeouts of a group's state machine. */
export interface GroupTiming {
  /** Interval between probes of an instance while requests arrive. */
  readonly probePeriodMs: Milliseconds;
  /** Interval between probes once no request has arrived for `idleAfterMs`. */
  readonly idleProbePeriodMs: Milliseconds;
  readonly idleAfterMs: Milliseconds;
  /** Interval between probes while there is no usable primary. */
  readonly fastProbePeriodMs: Milliseconds;
  /** A probe without a response after this time counts as missed. */
  readonly probeTimeoutMs: Milliseconds;
  /** Consecutive missed probes after which an instance counts as unreachable. */
  readonly unreachableAfterMisses: number;
  /** Interval between probes of an instance whose response did not confirm the waiting requests. */
  readonly confirmationProbePeriodMs: Milliseconds;
  /** Interval between probes while reads wait for a replica to catch up. */
  readonly replicaProgressProbePeriodMs: Milliseconds;
  /** How long the group is probed at the fast interval after a later timeline without a majority was seen. */
  readonly laterTimelineSearchMs: Milliseconds;
  /** Minimum time allowed for confirming a finished transaction. */
  readonly transactionConfirmationMs: Milliseconds;
  /** How long a read waits for a replica to catch up before it is sent to the primary. */
  readonly replicaWaitMs: Milliseconds;
  /** The connection of a request that still runs this long after its deadline is closed. */
  readonly overrunLimitMs: Milliseconds;
  readonly retryBackoffBaseMs: Milliseconds;
  readonly retryBackoffMaxMs: Milliseconds;
  /** Retry hint for callers that were refused because there is no primary. */
  readonly noPrimaryRetryAfterMs: Milliseconds;
}

/** Limits on the queue, idle connections and retries of a group's state machine. */
export interface GroupBounds {
  /** Maximum number of queued requests of all tenants together. */
  readonly maxQueued: number;
  /** Idle connections kept open on each replica for each database role in use on the primary. */
  readonly minIdleConnectionsPerRole: number;
  readonly idleConnectionTimeoutMs: Milliseconds;
  /** Retries that each first attempt adds to the retry budget. */
  readonly retryRatio: number;
  /** Maximum number of retries in the retry budget, which is also its initial value. */
  readonly retryCapacity: number;
}

/** Options that a group's state machine is created with. */
export interface DatabaseGroupOptions {
  readonly group: GroupName;
  /** Zone of this owner; instances in the same zone count as near. */
  readonly ownZone: ZoneName;
  /** Default `received`. */
  readonly confirmationMode?: ConfirmationMode;
  /** Returns uniformly distributed numbers in [0, 1); seeded in tests. */
  readonly random: () => number;
  readonly timing?: Partial<GroupTiming>;
  readonly bounds?: Partial<GroupBounds>;
  /** Default `session-consistent`. */
  readonly routing?: RoutingPolicy;
  /** For mutation tests only. */
  readonly disabledMechanisms?: ReadonlySet<Mechanism>;
}

/** Default timing of a group. */
export const DEFAULT_GROUP_TIMING: GroupTiming = {
  probePeriodMs: 100,
  idleProbePeriodMs: 500,
  idleAfterMs: 5000,
  fastProbePeriodMs: 20,
  probeTimeoutMs: 100,
  unreachableAfterMisses: 2,
  confirmationProbePeriodMs: 2,
  replicaProgressProbePeriodMs: 5,
  laterTimelineSearchMs: 3000,
  transactionConfirmationMs: 1000,
  replicaWaitMs: 25,
  overrunLimitMs: 1000,
  retryBackoffBaseMs: 5,
  retryBackoffMaxMs: 100,
  noPrimaryRetryAfterMs: 250,
};

/** Default bounds of a group. */
export const DEFAULT_GROUP_BOUNDS: GroupBounds = {
  maxQueued: 4096,
  minIdleConnectionsPerRole: 2,
  idleConnectionTimeoutMs: 60_000,
  retryRatio: 0.1,
  retryCapacity: 100,
};
