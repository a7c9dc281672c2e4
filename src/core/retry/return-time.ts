/**
 * When a caller that was refused for want of room is worth asking again: those refused together are spread over as
 * much time again, and lower priorities come later, when higher ones have had their turn. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';

const FIRST_MS: Milliseconds = 100;
const LONGEST_MS: Milliseconds = 1000;

/**
 * @param priority 0 is the highest
 * @param random a number in [0, 1)
 */
export function returnTime(priority: number, random: number): Milliseconds {
  const first = Math.min(LONGEST_MS, FIRST_MS * (1 + Math.max(0, priority)));
  return Math.round(first * (1 + random));
}
