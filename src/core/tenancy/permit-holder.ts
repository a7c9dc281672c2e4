/**
 * Permits that a node holds of one tenant's quota, and how many it would like to hold: enough for what comes until a
 * question for more is answered, so that most operations wait for none. No I/O and no clock.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';
import { DecayingRate } from './decaying-rate.js';
import { PERMIT_LIFE_MS } from './quota-ledger.js';

/** Demand is averaged over about this. */
const DEMAND_MEMORY_MS: Milliseconds = 2000;
/** Permits are held for the demand of so long. */
const AHEAD_MS: Milliseconds = 2000;
/** No more than this are held ahead, however large the demand. */
const MOST_AHEAD = 64;

interface PermitBatch {
  count: number;
  readonly voidAt: Milliseconds;
}

export class PermitHolder {
  #batches: PermitBatch[] = [];
  readonly #demand = new DecayingRate(DEMAND_MEMORY_MS);

  /** Takes one of the permits that are held, if there is one. */
  take(now: Milliseconds): boolean {
    this.#forgetVoid(now);
    const [first] = this.#batches;
    if (first === undefined) return false;
    first.count -= 1;
    if (first.count === 0) this.#batches.shift();
    return true;
  }

  /** Takes permits that were asked for at a time: they are void so long after that. */
  add(count: number, askedAt: Milliseconds): void {
    if (count > 0) this.#batches.push({ count, voidAt: askedAt + PERMIT_LIFE_MS });
  }

  held(now: Milliseconds): number {
    this.#forgetVoid(now);
    return this.#batches.reduce((sum, { count }) => sum + count, 0);
  }

  /** How many permits to hold ahead; none where operations are rarer than permits last. */
  wanted(now: Milliseconds): number {
    const demand = this.#demand.perSecond(now);
    return Math.min(MOST_AHEAD, Math.round((demand * AHEAD_MS) / MILLISECONDS_PER_SECOND));
  }

  /** An operation asks. */
  noteDemand(now: Milliseconds): void {
    this.#demand.note(1, now);
  }

  #forgetVoid(now: Milliseconds): void {
    while (this.#batches[0] !== undefined && this.#batches[0].voidAt <= now) this.#batches.shift();
  }
}
