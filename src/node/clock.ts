/** The clock of the process. The core never reads it; its callers pass the time. */
import { performance } from 'node:perf_hooks';
import type { Milliseconds } from '../core/units.js';

/** Monotonic time since process start. */
export function monotonicNow(): Milliseconds {
  return performance.now();
}
