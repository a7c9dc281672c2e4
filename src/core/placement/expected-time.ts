/**
 * Expected time until an instance answers the next read: execution, queueing and network, from recent observations of
 * this node and of the fleet. No I/O and no clock.
 */
import { countObservations, type FleetView } from '../fleet/instance-digest.js';
import type { InstanceLoad } from '../statements/instance-choice.js';
import type { Milliseconds } from '../units.js';

/** An instance that may serve a read. */
export interface ReadCandidate extends InstanceLoad {
  /** Number of statements that it runs at once. */
  readonly slots: number;
}

export interface ExpectedTimeOptions {
  /** Traffic between zones costs money: an instance of another zone has to be this many times faster. */
  readonly otherZoneFactor: 2;
  readonly otherZoneCostMs: Milliseconds;
  /** The same for an idle primary, which is kept free for work that only it can do. */
  readonly primaryFactor: number;
  /** Added to `primaryFactor` for a primary whose slots are all in use, and in proportion for a part of them. */
  readonly busyPrimaryFactor: number;
  /** Fraction of the answer time that each outstanding statement of this node adds. */
  readonly outstandingFactor: number;
  /** Time that a refusal costs the caller: a pause and a retry. */
  readonly refusalCostMs: Milliseconds;
  /** Time that a lost answer costs the caller, who waits for it. */
  readonly failureCostMs: Milliseconds;
  /** Added for an instance that this node avoids after a recent failure. */
  readonly avoidedCostMs: Milliseconds;
}

export const DEFAULT_EXPECTED_TIME_OPTIONS: ExpectedTimeOptions = {
  otherZoneFactor: 2,
  otherZoneCostMs: 3,
  primaryFactor: 1.1,
  busyPrimaryFactor: 0.5,
  outstandingFactor: 0.5,
  refusalCostMs: 60,
  failureCostMs: 250,
  avoidedCostMs: 1000,
};

/** Number of observations that weigh as much as the prior. */
const PRIOR_OBSERVATIONS = 2;
/** With fewer observations, an instance's mean answer time is unreliable. */
const MIN_TIMED_OBSERVATIONS = 4;
const MILLISECONDS_PER_SECOND = 1000;

/** Answer time of a healthy instance of this service: that of its fastest replica. */
export function baselineAnswerMs(
  instances: readonly ReadCandidate[],
  viewById: ReadonlyMap<string, FleetView>,
): Milliseconds {
  const replicas = instances.filter(({ primary }) => !primary);
  const compared = replicas.length > 0 ? replicas : instances;
  const times = compared.map(({ id, answerMs }) => {
    const view = viewById.get(id);
    return hasReliableAnswerTime(view) ? Math.min(answerMs, view.answerMs) : answerMs;
  });
  return Math.min(...times);
}

/**
 * Estimates the time of a read, with the extra cost of the instance's zone and role.
 * @param view recent observations of the fleet; undefined if there are none
 * @param priorMs the estimate without observations
 */
export function estimateReadMs(
  instance: ReadCandidate,
  view: FleetView | undefined,
  priorMs: Milliseconds,
  now: Milliseconds,
  options = DEFAULT_EXPECTED_TIME_OPTIONS,
): Milliseconds {
  const { outstanding, sameZone, primary, slots, avoidUntil } = instance;
  let time =
    estimateObservedMs(view, priorMs, options) * (1 + outstanding * options.outstandingFactor);
  if (primary)
    time *= options.primaryFactor + options.busyPrimaryFactor * slotUtilisation(view, slots);
  if (!sameZone) time = time * options.otherZoneFactor + options.otherZoneCostMs;
  if (avoidUntil > now) time += options.avoidedCostMs;
  return time;
}

/**
 * Estimates the time to an answer from observations, with the average cost of refusals and lost answers. The fewer the
 * observations, the closer it is to the prior.
 */
export function estimateObservedMs(
  view: FleetView | undefined,
  priorMs: Milliseconds,
  options = DEFAULT_EXPECTED_TIME_OPTIONS,
): Milliseconds {
  const observed = view === undefined ? 0 : countObservations(view);
  if (view === undefined || observed === 0) return priorMs;
  const { answerMs, waitMs, refused, failed } = view;
  const penaltyMs = (refused * options.refusalCostMs + failed * options.failureCostMs) / observed;
  const observedMs = (answerMs > 0 ? answerMs : priorMs) + waitMs + penaltyMs;
  return (observedMs * observed + priorMs * PRIOR_OBSERVATIONS) / (observed + PRIOR_OBSERVATIONS);
}

/** Fraction of the instance's slots that the observers keep in use. */
function slotUtilisation(view: FleetView | undefined, slots: number): number {
  if (view === undefined || slots <= 0) return 0;
  return Math.min(1, (view.answered * view.answerMs) / (slots * MILLISECONDS_PER_SECOND));
}

function hasReliableAnswerTime(view: FleetView | undefined): view is FleetView {
  return view !== undefined && view.answerMs > 0 && view.answered >= MIN_TIMED_OBSERVATIONS;
}
