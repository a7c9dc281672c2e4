/**
 * Exponential back-off with full jitter: each pause is drawn evenly from zero to a ceiling that
 * doubles with every attempt, so that many clients that failed together do not return together.
 */
import type { Milliseconds } from '../units.js';

const GROWTH = 2;
/** Beyond this exponent every ceiling is the maximum; keeps the power finite. */
const MAX_EXPONENT = 32;

/** Bounds of the pauses. */
export interface BackoffPolicy {
  /** Ceiling of the first pause. */
  readonly baseMs: Milliseconds;
  /** Ceiling that no pause exceeds. */
  readonly maximumMs: Milliseconds;
}

/** Ceiling of the pause after `failures` failures in a row (at least 1). */
export function backoffCeiling(policy: BackoffPolicy, failures: number): Milliseconds {
  const exponent = Math.min(Math.max(failures - 1, 0), MAX_EXPONENT);
  return Math.min(policy.maximumMs, policy.baseMs * GROWTH ** exponent);
}

/**
 * The pause after `failures` failures in a row.
 * @param random a number in [0, 1) from the caller's seeded source
 * @param atLeastMs a pause that the other side asked for; the drawn pause comes on top of it
 */
export function backoffPause(
  policy: BackoffPolicy,
  failures: number,
  random: number,
  atLeastMs: Milliseconds = 0,
): Milliseconds {
  return atLeastMs + random * backoffCeiling(policy, failures);
}
