/** Exponentially decaying average of events per second. No I/O; the caller passes the time. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';

export class DecayingRate {
  #perSecond = 0;
  #updatedAt: Milliseconds = 0;

  /** @param minPerSecond rates below this are reported as 0 */
  constructor(
    private readonly timeConstantMs: Milliseconds,
    private readonly minPerSecond: number = 0,
  ) {}

  record(count: number, now: Milliseconds): void {
    const added = (count * MILLISECONDS_PER_SECOND) / this.timeConstantMs;
    this.#perSecond = this.perSecond(now) + added;
    this.#updatedAt = now;
  }

  perSecond(now: Milliseconds): number {
    const rate =
      this.#perSecond * Math.exp(-Math.max(0, now - this.#updatedAt) / this.timeConstantMs);
    return rate < this.minPerSecond ? 0 : rate;
  }
}
