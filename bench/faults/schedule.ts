/** When the faults of a run begin and end: seeded, within the middle of the run. Pure. */
import type { Random } from '../load/random.js';
import type { Fault } from './fault.js';

/** One fault with its times, in milliseconds after the start of the measured part. */
export interface PlannedFault {
  readonly fault: Fault;
  readonly beginMs: number;
  readonly endMs: number;
}

/** Faults begin between the first two; those with a length have ended by the third. */
const FIRST_BEGIN_SHARE = 0.15;
const LAST_BEGIN_SHARE = 0.4;
const LAST_END_SHARE = 0.8;

export function planFaults(
  faults: readonly Fault[],
  durationMs: number,
  random: Random,
): PlannedFault[] {
  const planned = faults.map((fault) => {
    const span = LAST_BEGIN_SHARE - FIRST_BEGIN_SHARE;
    const beginMs = durationMs * (FIRST_BEGIN_SHARE + span * random.fraction());
    const lastEndMs = Number.isFinite(fault.lengthMs) ? durationMs * LAST_END_SHARE : durationMs;
    const endMs = Math.min(beginMs + fault.lengthMs, lastEndMs);
    return { fault, beginMs, endMs };
  });
  return planned.sort((left, right) => left.beginMs - right.beginMs);
}
