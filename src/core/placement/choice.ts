/**
 * Which of two instances gets a read. All nodes hear nearly the same of the instances, and hear it late: if each took
 * the best one, all would move at once and back again. So each compares a sample of two, and near equals share.
 */
import type { Milliseconds } from '../units.js';

/** An instance with the expected time of its answer. */
export interface Expected<Candidate> {
  readonly candidate: Candidate;
  readonly expectedMs: Milliseconds;
}

/** How sharply a better instance is preferred: one of twice the time gets one read in 17. */
const SHARPNESS = 4;

/**
 * The candidates, the chosen one first, the others by their time.
 * @param random a number in [0, 1)
 */
export function placeRead<Candidate extends { readonly sameZone: boolean }>(
  candidates: readonly Expected<Candidate>[],
  random: () => number,
): Expected<Candidate>[] {
  const ranked = [...candidates].sort((left, right) => left.expectedMs - right.expectedMs);
  const chosen = chooseOfTwo(sampleOfTwo(ranked, random), random);
  if (chosen === undefined) return ranked;
  return [chosen, ...ranked.filter((one) => one !== chosen)];
}

/** One of this zone if there is one, and another one. */
function sampleOfTwo<Candidate extends { readonly sameZone: boolean }>(
  candidates: readonly Expected<Candidate>[],
  random: () => number,
): readonly Expected<Candidate>[] {
  const near = candidates.filter(({ candidate }) => candidate.sameZone);
  const first = anyOf(near.length > 0 ? near : candidates, random);
  const second = anyOf(
    candidates.filter((one) => one !== first),
    random,
  );
  return [first, second].filter((one) => one !== undefined);
}

function chooseOfTwo<Candidate>(
  [first, second]: readonly Expected<Candidate>[],
  random: () => number,
): Expected<Candidate> | undefined {
  if (first === undefined || second === undefined) return first;
  const ratio = first.expectedMs / Math.max(second.expectedMs, Number.MIN_VALUE);
  return random() < 1 / (1 + ratio ** SHARPNESS) ? first : second;
}

function anyOf<Value>(values: readonly Value[], random: () => number): Value | undefined {
  return values[Math.floor(random() * values.length)];
}
