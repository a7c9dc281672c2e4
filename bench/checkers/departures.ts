/**
 * Promises 7 and 8: a leaving back end receives no new work after a few seconds, and a graceful
 * shutdown of a proxy interrupts no request in progress.
 */
import type { History, LeavingRecord, PlannedStopRecord } from '../history/model.js';
import type { Violation } from './violation.js';

/** Time after which a leaving mark must be respected; the promise says "a few seconds". */
export const LEAVING_GRACE_MS = 3_000;

export function checkLeaving(history: History, graceMs = LEAVING_GRACE_MS): Violation[] {
  return history.leavings.flatMap((leaving) => findWorkAfterLeaving(history, leaving, graceMs));
}

function findWorkAfterLeaving(
  history: History,
  leaving: LeavingRecord,
  graceMs: number,
): Violation[] {
  const from = leaving.visibleAt + graceMs;
  const until = leaving.endedAt ?? Number.POSITIVE_INFINITY;
  const late = history.work.filter(
    ({ instance, startedAt }) =>
      instance === leaving.instance && startedAt > from && startedAt < until,
  );
  return late.map(({ startedAt }) => ({
    promise: 'leavingBackEndGetsNoWork',
    reason: 'work-after-leaving',
    detail: `${leaving.instance} got work ${startedAt - leaving.visibleAt} ms after its leaving mark`,
    at: startedAt,
  }));
}

export function checkPlannedStops(history: History): Violation[] {
  return history.plannedStops.flatMap((stop) => [
    ...findRequestsCutBy(history, stop),
    ...findFailedStop(stop),
  ]);
}

function findRequestsCutBy(history: History, stop: PlannedStopRecord): Violation[] {
  const cut = history.requests.filter(
    (request) =>
      request.proxy === stop.proxy &&
      request.ending === 'cut' &&
      request.sentAt <= stop.exitedAt &&
      request.endedAt >= stop.requestedAt,
  );
  return cut.map((request) => ({
    promise: 'plannedStopCutsNothing',
    reason: 'request-cut',
    detail: `${request.attemptId} was cut by the planned stop of ${stop.proxy}: ${request.errorCode}`,
    at: request.endedAt,
  }));
}

function findFailedStop(stop: PlannedStopRecord): Violation[] {
  if (stop.exitCode === 0) return [];
  return [
    {
      promise: 'plannedStopCutsNothing',
      reason: 'stop-failed',
      detail: `${stop.proxy} ended its planned stop with exit code ${stop.exitCode}`,
      at: stop.exitedAt,
    },
  ];
}
