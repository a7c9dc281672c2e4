/**
 * Time after which a caller that was refused for lack of capacity should retry. Jitter of up to the delay itself
 * spreads callers that were refused together, and lower priorities retry later, after higher ones have been served.
 * No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';

const BASE_DELAY_MS: Milliseconds = 100;
const MAX_BASE_DELAY_MS: Milliseconds = 1000;

/**
 * @param priority 0 is the highest
 * @param random a number in [0, 1)
 */
export function refusalRetryDelay(priority: number, random: number): Milliseconds {
  const baseDelayMs = Math.min(MAX_BASE_DELAY_MS, BASE_DELAY_MS * (1 + Math.max(0, priority)));
  return Math.round(baseDelayMs * (1 + random));
}
