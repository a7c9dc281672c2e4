/** The failover gap: how long no write succeeded around a failure of a primary, as callers saw it. */
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
  /** False: no write of the group succeeded any more; the gap lasted to the end of the run. */
  readonly ended: boolean;
}

/** Time after a failure within which its gap has to begin. */
const WINDOW_MS = 10_000;

/**
 * The longest time between two successive successes of writes of the group that overlaps the
 * window after the failure. Its floor is the time between writes: a low rate can't show a short gap.
 */
export function measureFailoverGap(
  requests: readonly RequestRecord[],
  failure: PrimaryFailure,
  endedAt: number,
): FailoverGap {
  const successes = successTimes(requests, failure.group);
  const lastSuccess = successes.at(-1) ?? failure.at;
  if (lastSuccess <= failure.at) return { failure, gapMs: endedAt - lastSuccess, ended: false };
  let longest = 0;
  let previous = successes[0] ?? failure.at;
  for (const success of successes) {
    const overlaps = success > failure.at && previous < failure.at + WINDOW_MS;
    if (overlaps) longest = Math.max(longest, success - previous);
    previous = success;
  }
  return { failure, gapMs: longest, ended: true };
}

function successTimes(requests: readonly RequestRecord[], group: GroupName): number[] {
  return requests
    .filter((request) => request.group === group && request.access === 'write')
    .filter((request) => request.outcome === 'done')
    .map((request) => request.endedAt)
    .sort((left, right) => left - right);
}
