/** Promises 7 to 9 are about events that a run may not have had, or not long enough to be judged. Pure. */
import { CONFIGURATION_GRACE_MS, SAMPLE_INTERVAL_MS } from '../checkers/configuration.js';
import { LEAVING_GRACE_MS } from '../checkers/departures.js';
import type { PromiseName } from '../checkers/index.js';
import type { History } from '../history/model.js';

/** Promises that the run gave no occasion to break: their count of violations says nothing. */
export function unobservedPromises(history: History): PromiseName[] {
  const unobserved: PromiseName[] = [];
  if (!observesLeaving(history)) unobserved.push('leavingBackEndGetsNoWork');
  if (history.plannedStops.length === 0) unobserved.push('plannedStopCutsNothing');
  if (!observesConfiguration(history)) unobserved.push('configurationInForce');
  return unobserved;
}

function observesLeaving({ leavings, endedAt: runEndedAt }: History): boolean {
  return leavings.some(
    ({ visibleAt, endedAt }) => (endedAt ?? runEndedAt) > visibleAt + LEAVING_GRACE_MS,
  );
}

function observesConfiguration(history: History): boolean {
  if (history.configurationSamples.length === 0) return false;
  const judgedAfterMs = CONFIGURATION_GRACE_MS + SAMPLE_INTERVAL_MS;
  return history.acceptedConfigurations.some(
    ({ acceptedAt }) => history.endedAt > acceptedAt + judgedAfterMs,
  );
}
