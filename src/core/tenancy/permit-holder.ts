/**
 * Permits that a node holds of one tenant's quota, and the number that it should hold: enough for the operations that
 * arrive while a request for more is in flight, so that most operations need not wait. No I/O; the caller passes the
 * time.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';
import { DecayingRate } from './decaying-rate.js';
import { PERMIT_LIFETIME_MS } from './quota-ledger.js';

/** Time constant of the average of the demand. */
const DEMAND_AVERAGE_MS: Milliseconds = 2000;
/** Permits are prefetched for the expected demand of this period. */
const PREFETCH_MS: Milliseconds = 2000;
/** Maximum number of prefetched permits, whatever the demand. */
const MAX_PREFETCHED_PERMITS = 64;

interface PermitBatch {
  count: number;
  readonly expiresAt: Milliseconds;
}

export class PermitHolder {
  #batches: PermitBatch[] = [];
  readonly #demand = new DecayingRate(DEMAND_AVERAGE_MS);

  /** Uses one of the permits; false if there is none. */
  take(now: Milliseconds): boolean {
    this.#removeExpired(now);
    const [oldest] = this.#batches;
    if (oldest === undefined) return false;
    oldest.count -= 1;
    if (oldest.count === 0) this.#batches.shift();
    return true;
  }

  /** Adds granted permits; their lifetime counts from when they were requested. */
  add(count: number, requestedAt: Milliseconds): void {
    if (count > 0) this.#batches.push({ count, expiresAt: requestedAt + PERMIT_LIFETIME_MS });
  }

  heldCount(now: Milliseconds): number {
    this.#removeExpired(now);
    return this.#batches.reduce((sum, { count }) => sum + count, 0);
  }

  /** Number of permits to hold in advance; 0 where operations are rarer than the lifetime of a permit. */
  targetCount(now: Milliseconds): number {
    const demand = this.#demand.perSecond(now);
    return Math.min(
      MAX_PREFETCHED_PERMITS,
      Math.round((demand * PREFETCH_MS) / MILLISECONDS_PER_SECOND),
    );
  }

  /** Counts one operation of the tenant, whether or not it gets a permit. */
  recordDemand(now: Milliseconds): void {
    this.#demand.record(1, now);
  }

  #removeExpired(now: Milliseconds): void {
    while (this.#batches[0] !== undefined && this.#batches[0].expiresAt <= now)
      this.#batches.shift();
  }
}
