/** A simulated clock with seeded randomness. */
import { SeededRandom } from './random.js';
import { Schedule } from './schedule.js';

/** Simulated time in milliseconds, and a random number generator with a seed. */
export class SimulatedClock extends Schedule {
  private readonly seeded: SeededRandom;

  constructor(seed: number) {
    super();
    this.seeded = new SeededRandom(seed);
  }

  /** Uniform in [0, 1). */
  readonly random = (): number => this.seeded.next();

  /** Uniform between two numbers. */
  between(low: number, high: number): number {
    return this.seeded.between(low, high);
  }

  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return this.seeded.chance(probability);
  }
}
