/** Events a second, averaged over about a memory: what is older counts less and less. No I/O and no clock. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';

export class DecayingRate {
  #perSecond = 0;
  #at: Milliseconds = 0;

  /** @param least a rate below this counts as none */
  constructor(
    private readonly memoryMs: Milliseconds,
    private readonly least: number = 0,
  ) {}

  note(count: number, now: Milliseconds): void {
    const added = (count * MILLISECONDS_PER_SECOND) / this.memoryMs;
    this.#perSecond = this.perSecond(now) + added;
    this.#at = now;
  }

  perSecond(now: Milliseconds): number {
    const left = this.#perSecond * Math.exp(-Math.max(0, now - this.#at) / this.memoryMs);
    return left < this.least ? 0 : left;
  }
}
