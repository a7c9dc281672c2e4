/**
 * Timing of leased shares: each node leases a share of a tenant's limit from an elected allocator.
 * See docs/design/fleet-wide-limits.md.
 */
import type { BudgetLeaseOptions } from '../ownership/budget-lease.js';
import { withDrift } from '../ownership/budget-lease.js';
import type { Milliseconds } from '../units.js';

/** Timing of the leased shares of tenants' limits. */
export interface TenantLeaseOptions extends BudgetLeaseOptions {
  /** Interval between vote requests of a candidate for allocator. */
  readonly electionPeriodMs: Milliseconds;
  /** Maximum delay between two nodes in seeing the same change of the machine list. */
  readonly maxMachineListLagMs: Milliseconds;
  /** Interval between requests for a share while callers wait for it. */
  readonly urgentRenewalPeriodMs: Milliseconds;
  /** A node that has no callers of a tenant returns its share after this time. */
  readonly idleReleaseMs: Milliseconds;
  /** Maximum number of nodes whose shares a new allocator requests, when it can't know them otherwise. */
  readonly maxReportingNodes: number;
}

/** Default timing of tenants' leases. */
export const DEFAULT_TENANT_LEASE_OPTIONS: TenantLeaseOptions = {
  leaseMs: 20_000,
  authorityMs: 1500,
  renewMs: 2000,
  maxClockDrift: 0.01,
  // Only the allocator keeps the sum within the limit, so nothing may be used without a lease.
  unleasedFraction: 0,
  electionPeriodMs: 500,
  maxMachineListLagMs: 10_000,
  urgentRenewalPeriodMs: 100,
  idleReleaseMs: 5000,
  maxReportingNodes: 64,
};

/** How long a voter is bound by its vote. */
export function voteDurationMs(options: TenantLeaseOptions): Milliseconds {
  return withDrift(options.authorityMs, options.maxClockDrift);
}

/** Time after which all shares granted by an allocator that has stopped have expired. */
export function maxShareLifetimeMs(options: TenantLeaseOptions): Milliseconds {
  return withDrift(options.authorityMs + options.leaseMs, options.maxClockDrift);
}

/** Minimum time that has passed on this node's clock while `duration` passed on another node's. */
export function minElapsedOnOwnClock(duration: Milliseconds, maxClockDrift: number): Milliseconds {
  return (duration * (1 - maxClockDrift)) / (1 + maxClockDrift);
}
