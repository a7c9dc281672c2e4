/** Options of a group's state machine, with the defaults in force. */
import type { GroupName, ZoneName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { ConfirmationMode } from './contract.js';

/** Mechanisms that a test may turn off, to prove that their absence is noticed. Never in production. */
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

/** A mechanism that a test may turn off. */
export type Mechanism = (typeof ALL_MECHANISMS)[number];

/**
 * How reads are spread. `session-consistent` is the product's; the others are baselines of the
 * bench and break its promises or waste its replicas. Never in production.
 */
export type RoutingPolicy =
  | 'session-consistent'
  /** Every read goes to the primary. */
  | 'primary-only'
  /** Any reachable replica serves any single read, whatever it has replayed. */
  | 'any-replica';

/** Times of a group's state machine. */
export interface GroupTiming {
  /** Between probes of an instance while requests come. */
  readonly probePeriodMs: Milliseconds;
  /** Between probes while no request has come for `quietAfterMs`. */
  readonly quietProbePeriodMs: Milliseconds;
  readonly quietAfterMs: Milliseconds;
  /** Between probes while there is no usable primary. */
  readonly fastProbePeriodMs: Milliseconds;
  /** A probe not answered by then counts as missed. */
  readonly probeTimeoutMs: Milliseconds;
  /** Missed probes in a row that make an instance unreachable. */
  readonly unreachableAfterMisses: number;
  /** Between probes of an instance whose answer did not confirm what waits. */
  readonly confirmationProbePeriodMs: Milliseconds;
  /** Between probes while reads wait for a replica to catch up. */
  readonly replicaProgressProbePeriodMs: Milliseconds;
  /** How long a later timeline without a majority is looked into by fast probing. */
  readonly laterTimelineSearchMs: Milliseconds;
  /** Time that a finished transaction's confirmation gets at least. */
  readonly transactionConfirmationMs: Milliseconds;
  /** How long a read waits at most for a replica to catch up before it asks the primary. */
  readonly replicaWaitMs: Milliseconds;
  /** A request still running this long after its deadline loses its connection. */
  readonly overdueRunMs: Milliseconds;
  readonly retryBackoffBaseMs: Milliseconds;
  readonly retryBackoffCapMs: Milliseconds;
  /** Hint to callers refused for want of a primary. */
  readonly noPrimaryRetryAfterMs: Milliseconds;
}

/** Bounds of a group's state machine. */
export interface GroupBounds {
  /** Requests queued at once, all tenants together. */
  readonly maxQueued: number;
  /** Idle connections kept on each replica for each role in use on the primary. */
  readonly warmSpares: number;
  readonly idleConnectionTimeoutMs: Milliseconds;
  /** Retries per first attempt. */
  readonly retryRatio: number;
  readonly retryCapacity: number;
}

/** Everything that a group's state machine is made with. */
export interface DatabaseGroupOptions {
  readonly group: GroupName;
  /** Zone of this owner: distance to instances is judged from here. */
  readonly ownZone: ZoneName;
  /** Default `received`. */
  readonly confirmationMode?: ConfirmationMode;
  /** Uniform in [0, 1); seeded in tests. */
  readonly random: () => number;
  readonly timing?: Partial<GroupTiming>;
  readonly bounds?: Partial<GroupBounds>;
  /** Default `session-consistent`. */
  readonly routing?: RoutingPolicy;
  /** Mutation checks only. */
  readonly without?: ReadonlySet<Mechanism>;
}

/** Timing unless a test asks otherwise. */
export const DEFAULT_TIMING: GroupTiming = {
  probePeriodMs: 100,
  quietProbePeriodMs: 500,
  quietAfterMs: 5000,
  fastProbePeriodMs: 20,
  probeTimeoutMs: 100,
  unreachableAfterMisses: 2,
  confirmationProbePeriodMs: 2,
  replicaProgressProbePeriodMs: 5,
  laterTimelineSearchMs: 3000,
  transactionConfirmationMs: 1000,
  replicaWaitMs: 25,
  overdueRunMs: 1000,
  retryBackoffBaseMs: 5,
  retryBackoffCapMs: 100,
  noPrimaryRetryAfterMs: 250,
};

/** Bounds unless a test asks otherwise. */
export const DEFAULT_BOUNDS: GroupBounds = {
  maxQueued: 4096,
  warmSpares: 2,
  idleConnectionTimeoutMs: 60_000,
  retryRatio: 0.1,
  retryCapacity: 100,
};
