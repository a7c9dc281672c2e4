/** A simulated clock with seeded randomness: runs scheduled actions in order of time. */
import { SeededRandom } from './random.js';

interface ScheduledAction {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

/** Simulated time in milliseconds. */
export class SimulatedClock {
  now = 0;
  private readonly seeded: SeededRandom;
  private order = 0;
  private actions: ScheduledAction[] = [];

  constructor(seed: number) {
    this.seeded = new SeededRandom(seed);
  }

  /** Uniform in [0, 1). */
  readonly random = (): number => this.seeded.next();

  between(low: number, high: number): number {
    return this.seeded.between(low, high);
  }

  chance(probability: number): boolean {
    return this.seeded.chance(probability);
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
