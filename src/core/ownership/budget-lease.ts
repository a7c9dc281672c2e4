/**
 * Shares of an instance's connection limit as leases: what the holder of a share asks, what the
 * granter answers, and the times on which both sides' arithmetic rests. See docs/design/ownership.md.
 */
import { MeadowstackError } from '../errors.js';
import type { Milliseconds } from '../units.js';

/** One life of one node, as holder of a share. */
export type HolderId = string;

/** Timing of leased connections. */
export interface BudgetLeaseOptions {
  /** A share ends this long after its holder sent the request that renewed it. */
  readonly leaseMs: Milliseconds;
  /** A granter may grant this long after it sent a probe that showed that it holds the lock. */
  readonly authorityMs: Milliseconds;
  /** How often a holder renews. */
  readonly renewMs: Milliseconds;
  /** Any two clocks run at the same rate within this ratio of real time, in [0, 1). */
  readonly maxClockDrift: number;
  /** Part of the limit that is not leased: for owners that can't reach a granter, and for probes. */
  readonly unleasedShare: number;
}

/** Timing unless a test asks otherwise. */
export const DEFAULT_BUDGET_LEASE_OPTIONS: BudgetLeaseOptions = {
  leaseMs: 4000,
  authorityMs: 1000,
  renewMs: 1000,
  maxClockDrift: 0.01,
  unleasedShare: 0.2,
};

/** A holder's request for a new or renewed share. */
export interface ShareRequest {
  readonly holder: HolderId;
  /** Grows with each request of this holder; older ones are ignored. */
  readonly number: number;
  /** Connections that the holder could use. */
  readonly wanted: number;
  /** Connections of `wanted` that are not merely in reserve. */
  readonly needed: number;
  /** Connections that its unexpired share allows at the time of sending. */
  readonly holding: number;
  /** Connections of `holding` that can't be given back without cutting somebody off. */
  readonly inUse: number;
  /** The granter's term as the holder last heard it: proof that the request is not older. */
  readonly term: string | undefined;
}

/** What a granter answers. */
export type ShareAnswer =
  | {
      readonly type: 'granted';
      readonly number: number;
      readonly connections: number;
      /** Others hold more than they use, or old shares lapse: asking again may give more. */
      readonly mayGrowSoon: boolean;
    }
  /** Ask again, with this term. */
  | {
      readonly type: 'refused';
      readonly number: number;
      readonly reason: 'no-authority' | 'term-unknown' | 'waiting' | 'stale';
      readonly term: string | undefined;
    };

/** An option is out of its range. */
export class BudgetOptionError extends MeadowstackError {
  readonly code = 'MS-BUDGET-OPTION';
}

/**
 * A time on this node's clock within which `duration` has surely passed on any other clock, if
 * both run within the drift.
 */
export function withDrift(duration: Milliseconds, maxClockDrift: number): Milliseconds {
  return (duration * (1 + maxClockDrift)) / (1 - maxClockDrift);
}

/** Connections that are leased out of an instance's limit. */
export function leasableConnections(limit: number, options: BudgetLeaseOptions): number {
  return Math.floor(limit * (1 - options.unleasedShare));
}

/**
 * Connections that an owner without a share may try to open. The instance itself arbitrates: it
 * refuses (SQLSTATE 53300) whatever is beyond its limit.
 */
export function unleasedConnections(
  limit: number,
  ownersPerGroup: number,
  options: BudgetLeaseOptions,
): number {
  const unleased = limit - leasableConnections(limit, options);
  return Math.max(1, Math.floor(unleased / ownersPerGroup));
}
