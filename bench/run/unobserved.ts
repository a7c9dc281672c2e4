/**
 * Promises about leaving back ends, planned stops and configurations can be tested only if such events
 * took place in a run, and early enough. Pure.
 */
import { CONFIGURATION_GRACE_MS, SAMPLE_INTERVAL_MS } from '../checkers/configuration.js';
import { LEAVING_GRACE_MS } from '../checkers/departures.js';
import type { PromiseName } from '../checkers/index.js';
import type { History } from '../history/model.js';

/** Promises that the run could not test; their violation counts are meaningless. */
export function listUnobservedPromises(history: History): PromiseName[] {
  const unobserved: PromiseName[] = [];
  if (!hasObservedLeaving(history)) unobserved.push('leavingBackEndGetsNoWork');
  if (history.plannedStops.length === 0) unobserved.push('plannedStopCutsNothing');
  if (!hasObservedConfiguration(history)) unobserved.push('configurationInForce');
  return unobserved;
}

function hasObservedLeaving({ leavings, endedAt: runEndedAt }: History): boolean {
  return leavings.some(
    ({ visibleAt, endedAt }) => (endedAt ?? runEndedAt) > visibleAt + LEAVING_GRACE_MS,
  );
}

function hasObservedConfiguration(history: History): boolean {
  if (history.configurationSamples.length === 0) return false;
  const minObservationMs = CONFIGURATION_GRACE_MS + SAMPLE_INTERVAL_MS;
  return history.acceptedConfigurations.some(
    ({ acceptedAt }) => history.endedAt > acceptedAt + minObservationMs,
  );
}
