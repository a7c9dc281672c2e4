/** Random choices of the membership state machine, from an injected generator. */
import type { Milliseconds } from '../units.js';
import type { Random } from './target-rings.js';

/** Periods vary by this fraction in both directions, so that nodes don't synchronise. */
const JITTER_FRACTION = 0.25;

/** Random delays and samples. */
export class RandomChoices {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  /** Uniform in [0, max). */
  uniformDelay(max: Milliseconds): Milliseconds {
    return max * this.#random();
  }

  jittered(period: Milliseconds): Milliseconds {
    return period * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * this.#random());
  }

  /** Up to `count` items at different positions. */
  sample<Item>(items: readonly Item[], count: number): Item[] {
    const pool = [...items];
    const chosen: Item[] = [];
    while (pool.length > 0 && chosen.length < count) {
      chosen.push(...pool.splice(Math.floor(this.#random() * pool.length), 1));
    }
    return chosen;
  }
}
