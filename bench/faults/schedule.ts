/** Draws the times of the faults of a run from a seed, within the middle of the run. No I/O. */
import type { Random } from '../load/random.js';
import type { Fault } from './fault.js';

/** One fault with its times, in milliseconds after the start of the measured part. */
export interface PlannedFault {
  readonly fault: Fault;
  readonly beginMs: number;
  readonly endMs: number;
}

/** Faults start between the first two; those with a finite duration have ended by the third. */
const MIN_BEGIN_FRACTION = 0.15;
const MAX_BEGIN_FRACTION = 0.4;
const MAX_END_FRACTION = 0.8;

export function planFaults(
  faults: readonly Fault[],
  runDurationMs: number,
  random: Random,
): PlannedFault[] {
  const planned = faults.map((fault) => {
    const span = MAX_BEGIN_FRACTION - MIN_BEGIN_FRACTION;
    const beginMs = runDurationMs * (MIN_BEGIN_FRACTION + span * random.fraction());
    const lastEndMs = Number.isFinite(fault.durationMs)
      ? runDurationMs * MAX_END_FRACTION
      : runDurationMs;
    const endMs = Math.min(beginMs + fault.durationMs, lastEndMs);
    return { fault, beginMs, endMs };
  });
  return planned.sort((left, right) => left.beginMs - right.beginMs);
}
