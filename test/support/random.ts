/** Seeded random numbers for tests. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const RANGE = 2 ** 32;

/** Returns a generator of numbers in [0, 1) that are determined by the seed. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / RANGE;
}
