/**
 * Shares of an instance's connection limit, granted as leases: the holder's request, the granter's
 * response, and the timing that both sides rely on. See docs/design/ownership.md.
 */
import { MeadowstackError } from '../errors.js';
import type { Milliseconds } from '../units.js';

/** Identifies a holder of shares: one incarnation of one node. */
export type HolderId = string;

/** Timing of leased connections. */
export interface BudgetLeaseOptions {
  /** Lifetime of a share, from the time at which its holder sent the request that renewed it. */
  readonly leaseMs: Milliseconds;
  /** How long a granter may grant, from the time at which it sent a probe that confirmed its lock. */
  readonly authorityMs: Milliseconds;
  /** Interval between a holder's renewals. */
  readonly renewMs: Milliseconds;
  /** Maximum deviation of any clock's rate from real time, as a fraction in [0, 1). */
  readonly maxClockDrift: number;
  /** Fraction of the limit that is not leased: for owners that can't reach a granter, and for probes. */
  readonly unleasedFraction: number;
}

/** Default timing. */
export const DEFAULT_BUDGET_LEASE_OPTIONS: BudgetLeaseOptions = {
  leaseMs: 4000,
  authorityMs: 1000,
  renewMs: 1000,
  maxClockDrift: 0.01,
  unleasedFraction: 0.2,
};

/** A holder's request for a new or renewed share. */
export interface ShareRequest {
  readonly holder: HolderId;
  /** Increases with each request of this holder; the granter refuses a request whose number is not higher. */
  readonly number: number;
  /** Connections that the holder could use. */
  readonly wanted: number;
  /** The part of `wanted` that is not just a reserve. */
  readonly needed: number;
  /** Connections that its unexpired share allows at the time of sending. */
  readonly holding: number;
  /** The part of `holding` that can't be released without interrupting a caller. */
  readonly inUse: number;
  /** The granter's term as last known to the holder: proves that the request is not older than the term. */
  readonly term: string | undefined;
}

/** A granter's response to a request. */
export type ShareResponse =
  | {
      readonly type: 'granted';
      readonly number: number;
      readonly connections: number;
      /** Other holders have unused connections, or old shares are about to expire: a further request may get more. */
      readonly mayGrowSoon: boolean;
    }
  /** The holder should send another request, with this term. */
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
 * Time on this node's clock after which at least `duration` has passed on any other clock, if both
 * clocks stay within the drift.
 */
export function withDrift(duration: Milliseconds, maxClockDrift: number): Milliseconds {
  return (duration * (1 + maxClockDrift)) / (1 - maxClockDrift);
}

/** The part of an instance's connection limit that is granted as leases. */
export function leasableConnections(limit: number, options: BudgetLeaseOptions): number {
  return Math.floor(limit * (1 - options.unleasedFraction));
}

/**
 * Connections that an owner without a share may try to open. The instance itself enforces its limit:
 * it refuses connections above it (SQLSTATE 53300).
 */
export function unleasedConnections(
  limit: number,
  ownersPerGroup: number,
  options: BudgetLeaseOptions,
): number {
  const unleased = limit - leasableConnections(limit, options);
  return Math.max(1, Math.floor(unleased / ownersPerGroup));
}
