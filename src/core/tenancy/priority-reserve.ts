/**
 * What of a tenant's quota is kept for its own operations of higher priority. The load it answers: a tenant that asks for
 * more than its quota, with routes of several priorities; in order of coming, each priority would be refused alike. Nothing
 * is kept while the tenant asks for no more than its quota. No I/O and no clock.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';
import { DecayingRate } from './decaying-rate.js';

/** Demand is averaged over about this: a caller that was refused has come back within it. */
const DEMAND_MEMORY_MS: Milliseconds = 1000;
/** So much demand of higher priorities is provided for: operations come unevenly within a moment. */
const AHEAD_MS: Milliseconds = 500;
/** The most that is kept, of what the quota holds at once. */
const MOST_SHARE = 0.5;
/** Lower priorities get this part of the rate, however much is asked for by higher ones. */
const LEAST_SHARE = 0.1;

/** Demand below this counts as none. */
const LEAST_DEMAND_PER_S = 0.1;

interface Demand {
  readonly rate: DecayingRate;
  at: Milliseconds;
  /** What of its least part this priority has not used, one operation at most. */
  least: number;
}

/** A quota, or a part of one. */
export interface ReservedQuota {
  /** What it earns. */
  readonly ratePerSecond: number;
  /** What it holds at most. */
  readonly capacity: number;
}

export class PriorityReserve {
  readonly #demands = new Map<number, Demand>();

  /** Operations ask; 0 is the highest priority. */
  noteDemand(priority: number, count: number, ratePerSecond: number, now: Milliseconds): void {
    const demand = this.#demandOf(priority, now);
    const earned =
      (Math.max(0, now - demand.at) * ratePerSecond * LEAST_SHARE) / MILLISECONDS_PER_SECOND;
    demand.rate.note(count, now);
    demand.at = now;
    demand.least = Math.min(1, demand.least + earned);
  }

  /** How much of what a quota holds is out of reach of this priority now. */
  keptFrom(
    priority: number,
    { ratePerSecond, capacity }: ReservedQuota,
    now: Milliseconds,
  ): number {
    let higher = 0;
    let all = 0;
    let leastOfLower = 0;
    for (const [known, demand] of this.#demands) {
      const perSecond = demand.rate.perSecond(now);
      all += perSecond;
      if (known < priority) higher += perSecond;
      if (known > priority && perSecond > 0) leastOfLower += demand.least;
    }
    if (all <= ratePerSecond) return 0;
    const isDue = (this.#demands.get(priority)?.least ?? 0) >= 1;
    const forHigher = isDue ? 0 : (higher * AHEAD_MS) / MILLISECONDS_PER_SECOND;
    return Math.min(forHigher + leastOfLower, capacity * MOST_SHARE);
  }

  noteGranted(priority: number, count: number): void {
    const demand = this.#demands.get(priority);
    if (demand !== undefined) demand.least = Math.max(0, demand.least - count);
  }

  #demandOf(priority: number, now: Milliseconds): Demand {
    const known = this.#demands.get(priority);
    if (known !== undefined) return known;
    const rate = new DecayingRate(DEMAND_MEMORY_MS, LEAST_DEMAND_PER_S);
    const demand: Demand = { rate, at: now, least: 0 };
    this.#demands.set(priority, demand);
    return demand;
  }
}
