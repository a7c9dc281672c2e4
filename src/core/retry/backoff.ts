/**
 * Exponential backoff with full jitter: each pause is drawn uniformly from zero to a ceiling that doubles with
 * every failure, so that many clients that failed together don't retry together.
 */
import type { Milliseconds } from '../units.js';

const GROWTH_FACTOR = 2;
/** Keeps the power finite; with any greater exponent the ceiling is the maximum anyway. */
const MAX_EXPONENT = 32;

export interface BackoffPolicy {
  /** Ceiling of the first pause. */
  readonly baseMs: Milliseconds;
  /** Ceiling that no pause exceeds. */
  readonly maximumMs: Milliseconds;
}

/** Ceiling of the pause after `failures` consecutive failures (at least 1). */
export function backoffCeiling(policy: BackoffPolicy, failures: number): Milliseconds {
  const exponent = Math.min(Math.max(failures - 1, 0), MAX_EXPONENT);
  return Math.min(policy.maximumMs, policy.baseMs * GROWTH_FACTOR ** exponent);
}

/**
 * Pause after `failures` consecutive failures.
 * @param random a number in [0, 1) from the caller's seeded source
 * @param minimumMs a pause that the other side asked for, to which the drawn pause is added
 */
export function backoffPause(
  policy: BackoffPolicy,
  failures: number,
  random: number,
  minimumMs: Milliseconds = 0,
): Milliseconds {
  return minimumMs + random * backoffCeiling(policy, failures);
}
