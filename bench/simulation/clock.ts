/** A simulated clock with seeded randomness: runs scheduled actions in order of time. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

interface ScheduledAction {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

/** Simulated time in milliseconds. */
export class SimulatedClock {
  now = 0;
  private readonly generator;
  private order = 0;
  private actions: ScheduledAction[] = [];

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  readonly random = (): number => (this.generator.next() >>> 0) / 2 ** 32;

  between(low: number, high: number): number {
    return low + this.random() * (high - low);
  }

  chance(probability: number): boolean {
    return this.random() < probability;
  }

  after(milliseconds: number, action: () => void): void {
    this.order += 1;
    const at = this.now + Math.max(0, milliseconds);
    const scheduled: ScheduledAction = { at, order: this.order, action };
    let low = 0;
    let high = this.actions.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.actions[middle];
      if (other !== undefined && other.at <= at) low = middle + 1;
      else high = middle;
    }
    this.actions.splice(low, 0, scheduled);
  }

  /** Runs everything scheduled up to `until`. */
  runUntil(until: number): void {
    for (let next = this.actions[0]; next !== undefined; next = this.actions[0]) {
      if (next.at > until) break;
      this.actions.shift();
      this.now = next.at;
      next.action();
    }
    this.now = until;
  }
}
