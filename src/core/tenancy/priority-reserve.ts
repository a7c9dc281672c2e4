/**
 * Reserves part of a tenant's quota for the tenant's own operations of higher priority. It serves a tenant that demands
 * more than its quota through routes of several priorities: first come, first served would reject each priority alike.
 * Nothing is reserved while the demand is within the quota. No I/O; the caller passes the time.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';
import { DecayingRate } from './decaying-rate.js';

/** Time constant of the average of the demand; a rejected caller retries within it. */
const DEMAND_AVERAGE_MS: Milliseconds = 1000;
/** The reserve covers higher priorities' demand of this period, since operations arrive in bursts. */
const RESERVE_PERIOD_MS: Milliseconds = 500;
/** Maximum fraction of the quota's capacity that is reserved. */
const MAX_RESERVED_FRACTION = 0.5;
/** Fraction of the rate that each lower priority gets, whatever the demand of higher ones. */
const GUARANTEED_FRACTION = 0.1;

/** Lower demand counts as none. */
const MIN_DEMAND_PER_SECOND = 0.1;

interface Demand {
  readonly rate: DecayingRate;
  updatedAt: Milliseconds;
  /** Unused part of the guaranteed rate of this priority: at most one operation. */
  guaranteed: number;
}

/** A quota, or a part of one. */
export interface ReservedQuota {
  /** Refill rate. */
  readonly ratePerSecond: number;
  /** Operations that may be available at once. */
  readonly capacity: number;
}

export class PriorityReserve {
  readonly #demands = new Map<number, Demand>();

  /** Counts operations that request permits; 0 is the highest priority. */
  recordDemand(priority: number, count: number, ratePerSecond: number, now: Milliseconds): void {
    const demand = this.#demandOf(priority, now);
    const earned =
      (Math.max(0, now - demand.updatedAt) * ratePerSecond * GUARANTEED_FRACTION) /
      MILLISECONDS_PER_SECOND;
    demand.rate.record(count, now);
    demand.updatedAt = now;
    demand.guaranteed = Math.min(1, demand.guaranteed + earned);
  }

  /** Number of the quota's available operations that this priority may not use now. */
  reservedAgainst(
    priority: number,
    { ratePerSecond, capacity }: ReservedQuota,
    now: Milliseconds,
  ): number {
    let higherDemand = 0;
    let totalDemand = 0;
    let guaranteedToLower = 0;
    for (const [known, demand] of this.#demands) {
      const perSecond = demand.rate.perSecond(now);
      totalDemand += perSecond;
      if (known < priority) higherDemand += perSecond;
      if (known > priority && perSecond > 0) guaranteedToLower += demand.guaranteed;
    }
    if (totalDemand <= ratePerSecond) return 0;
    const usesGuarantee = (this.#demands.get(priority)?.guaranteed ?? 0) >= 1;
    const forHigher = usesGuarantee
      ? 0
      : (higherDemand * RESERVE_PERIOD_MS) / MILLISECONDS_PER_SECOND;
    return Math.min(forHigher + guaranteedToLower, capacity * MAX_RESERVED_FRACTION);
  }

  recordGranted(priority: number, count: number): void {
    const demand = this.#demands.get(priority);
    if (demand !== undefined) demand.guaranteed = Math.max(0, demand.guaranteed - count);
  }

  #demandOf(priority: number, now: Milliseconds): Demand {
    const known = this.#demands.get(priority);
    if (known !== undefined) return known;
    const rate = new DecayingRate(DEMAND_AVERAGE_MS, MIN_DEMAND_PER_SECOND);
    const demand: Demand = { rate, updatedAt: now, guaranteed: 0 };
    this.#demands.set(priority, demand);
    return demand;
  }
}
