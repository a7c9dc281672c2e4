/** Random choices of the membership machine, from the generator that its builder seeded. */
import type { Milliseconds } from '../units.js';
import type { Random } from './target-rings.js';

/** Periods vary by this share either way, so that nodes do not fall into step. */
const JITTER_SHARE = 0.25;

/** Draws of the membership. */
export class Chance {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  /** A point within a span, uniform. */
  within(span: Milliseconds): Milliseconds {
    return span * this.#random();
  }

  jittered(period: Milliseconds): Milliseconds {
    return period * (1 - JITTER_SHARE + 2 * JITTER_SHARE * this.#random());
  }

  /** Up to `count` different items. */
  sample<Item>(items: readonly Item[], count: number): Item[] {
    const pool = [...items];
    const chosen: Item[] = [];
    while (pool.length > 0 && chosen.length < count) {
      chosen.push(...pool.splice(Math.floor(this.#random() * pool.length), 1));
    }
    return chosen;
  }
}
