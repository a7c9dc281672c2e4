/** Seeded random numbers of the load: the same seed gives the same schedule. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

export interface Random {
  /** Uniform in [0, 1). */
  fraction(): number;
  /** Uniform integer in [0, bound). */
  integerBelow(bound: number): number;
  /** Exponentially distributed with the given mean. */
  exponential(mean: number): number;
}

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const fraction = (): number => uniformFloat64(generator);
  return {
    fraction,
    integerBelow: (bound) => Math.floor(fraction() * bound),
    exponential: (mean) => -mean * Math.log(1 - fraction()),
  };
}

/** Picks a rank in 0 … count-1 with probability proportional to 1 / (rank + 1) ^ exponent (Zipf). */
export function createZipfPicker(count: number, exponent: number): (random: Random) => number {
  const cumulative: number[] = [];
  let total = 0;
  for (let rank = 0; rank < count; rank += 1) {
    total += 1 / (rank + 1) ** exponent;
    cumulative.push(total);
  }
  return (random) => firstIndexAbove(cumulative, random.fraction() * total);
}

/** Index of the first element that is greater than `threshold`; the last one if none is. */
function firstIndexAbove(sorted: readonly number[], threshold: number): number {
  let low = 0;
  let high = sorted.length - 1;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((sorted[middle] ?? 0) > threshold) high = middle;
    else low = middle + 1;
  }
  return low;
}
