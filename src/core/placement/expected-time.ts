/**
 * Expected time to the answer of the next read at an instance: work, queue and way, from what this node and its fleet
 * lately saw there. No I/O and no clock.
 */
import { countObservations, type FleetView } from '../fleet/instance-digest.js';
import type { InstanceLoad } from '../statements/instance-choice.js';
import type { Milliseconds } from '../units.js';

/** One instance that may serve a read. */
export interface PlacedInstance extends InstanceLoad {
  /** Statements that it runs at once. */
  readonly slots: number;
}

export interface ExpectedTimeOptions {
  /** Traffic between zones is dear: how much sooner an instance of another zone has to answer. */
  readonly otherZoneFactor: 2;
  readonly otherZoneMs: Milliseconds;
  /** The same for a primary at rest, since some work can go nowhere else. */
  readonly primaryFactor: number;
  /** What is added to it for a primary whose slots are all in use. */
  readonly busyPrimaryFactor: number;
  /** Part of an answer's time that each outstanding statement of this node adds. */
  readonly outstandingFactor: number;
  /** What a refusal costs the caller: a pause and another try. */
  readonly refusalMs: Milliseconds;
  /** What a lost answer costs the caller: it is waited for. */
  readonly failureMs: Milliseconds;
  /** Added for an instance that failed this node a moment ago. */
  readonly avoidedMs: Milliseconds;
}

export const DEFAULT_EXPECTED_TIME_OPTIONS: ExpectedTimeOptions = {
  otherZoneFactor: 2,
  otherZoneMs: 3,
  primaryFactor: 1.1,
  busyPrimaryFactor: 0.5,
  outstandingFactor: 0.5,
  refusalMs: 60,
  failureMs: 250,
  avoidedMs: 1000,
};

/** Observations that weigh as much as what is expected without any. */
const PRIOR_OBSERVATIONS = 2;
/** With fewer, an instance's answer time says little. */
const KNOWN_OBSERVATIONS = 4;
const MILLISECONDS_PER_SECOND = 1000;

/** How soon an instance of this service answers when it is well, by the best that is known of its replicas. */
export function usualAnswerMs(
  instances: readonly PlacedInstance[],
  seenOf: ReadonlyMap<string, FleetView>,
): Milliseconds {
  const replicas = instances.filter(({ primary }) => !primary);
  const told = replicas.length > 0 ? replicas : instances;
  const times = told.map(({ id, answerMs }) => {
    const seen = seenOf.get(id);
    return isKnown(seen) ? Math.min(answerMs, seen.answerMs) : answerMs;
  });
  return Math.min(...times);
}

/**
 * Expected time with the price of its zone and role.
 * @param seen what the fleet lately saw of it; undefined if nobody asked it
 * @param priorMs what is expected of it without that
 */
export function expectedMs(
  instance: PlacedInstance,
  seen: FleetView | undefined,
  priorMs: Milliseconds,
  now: Milliseconds,
  options = DEFAULT_EXPECTED_TIME_OPTIONS,
): Milliseconds {
  const { outstanding, sameZone, primary, slots, avoidUntil } = instance;
  let time = observedMs(seen, priorMs, options) * (1 + outstanding * options.outstandingFactor);
  if (primary) time *= options.primaryFactor + options.busyPrimaryFactor * busyShare(seen, slots);
  if (!sameZone) time = time * options.otherZoneFactor + options.otherZoneMs;
  if (avoidUntil > now) time += options.avoidedMs;
  return time;
}

/**
 * Time to an answer as it was seen, with what refusals and lost answers cost on average; drawn to what was expected while
 * there are few observations.
 */
export function observedMs(
  seen: FleetView | undefined,
  priorMs: Milliseconds,
  options = DEFAULT_EXPECTED_TIME_OPTIONS,
): Milliseconds {
  const observed = seen === undefined ? 0 : countObservations(seen);
  if (seen === undefined || observed === 0) return priorMs;
  const { answerMs, waitMs, refused, failed } = seen;
  const troubleMs = (refused * options.refusalMs + failed * options.failureMs) / observed;
  const seenMs = (answerMs > 0 ? answerMs : priorMs) + waitMs + troubleMs;
  return (seenMs * observed + priorMs * PRIOR_OBSERVATIONS) / (observed + PRIOR_OBSERVATIONS);
}

/** Part of its slots that the observers keep in use. */
function busyShare(seen: FleetView | undefined, slots: number): number {
  if (seen === undefined || slots <= 0) return 0;
  return Math.min(1, (seen.answered * seen.answerMs) / (slots * MILLISECONDS_PER_SECOND));
}

function isKnown(seen: FleetView | undefined): seen is FleetView {
  return seen !== undefined && seen.answerMs > 0 && seen.answered >= KNOWN_OBSERVATIONS;
}
