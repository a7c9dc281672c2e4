/** Seeded random numbers for fault injection, so that a run is reproducible. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns the next number in [0, 1). */
export type RandomSource = () => number;

/** Creates a source that returns the same numbers for the same seed, a 32-bit integer. */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
