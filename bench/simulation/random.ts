/** Seeded random numbers. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const RANGE = 2 ** 32;

/** A random number generator; the seed determines its sequence. */
export class SeededRandom {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  readonly next = (): number => (this.#generator.next() >>> 0) / RANGE;

  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  /** An integer from `low` to `high`, both included. */
  integer(low: number, high: number): number {
    return low + Math.floor(this.next() * (high - low + 1));
  }

  chance(probability: number): boolean {
    return this.next() < probability;
  }

  /** A random item. */
  pick<Item>(items: readonly [Item, ...Item[]]): Item {
    return items[Math.floor(this.next() * items.length)] ?? items[0];
  }
}
