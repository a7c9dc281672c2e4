/** The failover gap: the time without a successful write around the failure of a primary, measured at the callers. */
import type { GroupName } from '../../src/core/request.js';
import type { RequestRecord } from '../history/model.js';

/** A primary was killed, cut off or paused by the harness. */
export interface PrimaryFailure {
  readonly group: GroupName;
  readonly at: number;
}

/** One measured gap. */
export interface FailoverGap {
  readonly failure: PrimaryFailure;
  readonly gapMs: number;
  /** False if no write of the group succeeded after the failure: the gap lasted until the end of the run. */
  readonly ended: boolean;
}

/** A gap that begins later than this after a failure is not attributed to it. */
const MAX_GAP_START_DELAY_MS = 10_000;

/**
 * The longest time between two successive successful writes of the group that overlaps the window
 * after the failure. At a low rate, gaps shorter than the time between writes can't be measured.
 */
export function measureFailoverGap(
  requests: readonly RequestRecord[],
  failure: PrimaryFailure,
  endedAt: number,
): FailoverGap {
  const successes = successTimes(requests, failure.group);
  const lastSuccess = successes.at(-1) ?? failure.at;
  if (lastSuccess <= failure.at) return { failure, gapMs: endedAt - lastSuccess, ended: false };
  let longestMs = 0;
  let previous = successes[0] ?? failure.at;
  for (const success of successes) {
    const overlaps = success > failure.at && previous < failure.at + MAX_GAP_START_DELAY_MS;
    if (overlaps) longestMs = Math.max(longestMs, success - previous);
    previous = success;
  }
  return { failure, gapMs: longestMs, ended: true };
}

function successTimes(requests: readonly RequestRecord[], group: GroupName): number[] {
  return requests
    .filter((request) => request.group === group && request.access === 'write')
    .filter((request) => request.outcome === 'done')
    .map((request) => request.endedAt)
    .sort((left, right) => left - right);
}
