/**
 * Pause before a refused statement is retried. It grows with the number of refusals: where an instance refuses
 * because all its slots are busy, a fleet that retries at once keeps it busy with refusals. Limited to a fraction
 * of the target latency, so that urgent statements retry more often.
 */
import type { Milliseconds } from '../units.js';
import { backoffCeiling } from './backoff.js';

const INITIAL_PAUSE_MS: Milliseconds = 15;
const MAX_PAUSE_MS: Milliseconds = 120;
const MAX_TARGET_LATENCY_FRACTION = 0.25;

/**
 * @param refusals number of times that instances have refused the statement
 * @param random a number in [0, 1)
 */
export function statementRetryPause(
  refusals: number,
  targetLatencyMs: Milliseconds,
  random: number,
): Milliseconds {
  const maxPauseMs = Math.min(MAX_PAUSE_MS, targetLatencyMs * MAX_TARGET_LATENCY_FRACTION);
  const maximumMs = Math.max(INITIAL_PAUSE_MS, maxPauseMs);
  return backoffCeiling({ baseMs: INITIAL_PAUSE_MS, maximumMs }, refusals) * (0.5 + random);
}
