/** The process's clocks. Core logic never reads these; adapters pass their values in. */
import { performance } from 'node:perf_hooks';
import type { Milliseconds } from '../core/units.js';

/** Monotonic time since process start, in milliseconds. */
export function monotonicNow(): Milliseconds {
  return performance.now();
}
