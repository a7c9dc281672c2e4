/**
 * Chooses the instance of a read by the power of two choices. All nodes have nearly the same information about the
 * instances, and have it late: if each chose the best one, all would move there at once and back again. So each node
 * compares two random instances, and instances with similar expected times share the reads.
 */
import type { Milliseconds } from '../units.js';

/** An instance with the expected time of its answer. */
export interface TimedCandidate<Candidate> {
  readonly candidate: Candidate;
  readonly expectedMs: Milliseconds;
}

/** How strongly the faster instance is preferred: one that takes twice as long gets one read in 17. */
const PREFERENCE_EXPONENT = 4;

/**
 * Returns the candidates, the chosen one first, the others by expected time.
 * @param random a number in [0, 1)
 */
export function rankForRead<Candidate extends { readonly sameZone: boolean }>(
  candidates: readonly TimedCandidate<Candidate>[],
  random: () => number,
): TimedCandidate<Candidate>[] {
  const ranked = [...candidates].sort((left, right) => left.expectedMs - right.expectedMs);
  const chosen = chooseBetween(sampleTwo(ranked, random), random);
  if (chosen === undefined) return ranked;
  return [chosen, ...ranked.filter((entry) => entry !== chosen)];
}

/** Picks one instance of this node's zone, if there is one, and another one of any zone. */
function sampleTwo<Candidate extends { readonly sameZone: boolean }>(
  candidates: readonly TimedCandidate<Candidate>[],
  random: () => number,
): readonly TimedCandidate<Candidate>[] {
  const inSameZone = candidates.filter(({ candidate }) => candidate.sameZone);
  const first = pickRandom(inSameZone.length > 0 ? inSameZone : candidates, random);
  const second = pickRandom(
    candidates.filter((entry) => entry !== first),
    random,
  );
  return [first, second].filter((entry) => entry !== undefined);
}

function chooseBetween<Candidate>(
  [first, second]: readonly TimedCandidate<Candidate>[],
  random: () => number,
): TimedCandidate<Candidate> | undefined {
  if (first === undefined || second === undefined) return first;
  const ratio = first.expectedMs / Math.max(second.expectedMs, Number.MIN_VALUE);
  return random() < 1 / (1 + ratio ** PREFERENCE_EXPONENT) ? first : second;
}

function pickRandom<Value>(values: readonly Value[], random: () => number): Value | undefined {
  return values[Math.floor(random() * values.length)];
}
