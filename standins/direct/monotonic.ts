/** The host's monotonic clock in milliseconds: the same in every process, so that logs are comparable. */
import type { Milliseconds } from '../../src/core/units.js';

const NANOSECONDS_PER_MILLISECOND = 1e6;

export function monotonicMs(): Milliseconds {
  return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MILLISECOND;
}
