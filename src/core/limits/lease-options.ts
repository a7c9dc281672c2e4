/** Times of the leased shares of tenants' limits. See docs/design/fleet-wide-limits.md. */
import type { BudgetLeaseOptions } from '../ownership/budget-lease.js';
import { withDrift } from '../ownership/budget-lease.js';
import type { Milliseconds } from '../units.js';

/** Timing of tenants' leases. */
export interface TenantLeaseOptions extends BudgetLeaseOptions {
  /** How often a candidate asks its voters. */
  readonly electionPeriodMs: Milliseconds;
  /** How much later than any other a node may see a change of the machine list. */
  readonly listLagMs: Milliseconds;
  /** How often a share is asked for while callers wait for one. */
  readonly urgentRenewMs: Milliseconds;
  /** A node without callers of a tenant gives its share back after this time. */
  readonly idleMs: Milliseconds;
  /** Up to this many nodes are asked for their shares by a new allocator that can't know them. */
  readonly maxReportingNodes: number;
}

/** Timing unless a test asks otherwise. */
export const DEFAULT_TENANT_LEASE_OPTIONS: TenantLeaseOptions = {
  leaseMs: 20_000,
  authorityMs: 1500,
  renewMs: 2000,
  maxClockDrift: 0.01,
  // Nobody arbitrates beyond the allocator, so nothing may be taken without a lease.
  unleasedShare: 0,
  electionPeriodMs: 500,
  listLagMs: 10_000,
  urgentRenewMs: 100,
  idleMs: 5000,
  maxReportingNodes: 64,
};

/** How long a vote binds its voter. */
export function voteMsOf(options: TenantLeaseOptions): Milliseconds {
  return withDrift(options.authorityMs, options.maxClockDrift);
}

/** After this time no share of an allocator that has stopped is valid any more. */
export function lapseMsOf(options: TenantLeaseOptions): Milliseconds {
  return withDrift(options.authorityMs + options.leaseMs, options.maxClockDrift);
}

/** What a voter's clock says of a time, at least, in terms of this node's. */
export function leastByOwnClock(duration: Milliseconds, maxClockDrift: number): Milliseconds {
  return (duration * (1 - maxClockDrift)) / (1 + maxClockDrift);
}
