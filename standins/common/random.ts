/** Seeded randomness for fault injection, so that a run can be repeated. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of numbers in [0, 1). */
export type RandomSource = () => number;

/** A source that gives the same numbers for the same seed (a 32-bit integer). */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
