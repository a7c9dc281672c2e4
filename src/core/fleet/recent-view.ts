/** View of an instance over some seconds, accumulated from successive present views. No I/O and no clock. */
import type { Milliseconds } from '../units.js';
import { countObservations, type FleetView } from './instance-digest.js';

/** Age at which observations weigh half: long enough to gather evidence of instances that get few requests. */
const HALF_LIFE_MS: Milliseconds = 1500;
/** Limits the weight of a mean answer time, so that new answer times count soon. */
const MAX_TIMED_WEIGHT = 4;
/** Fewer observations are treated as none. */
const MIN_OBSERVATIONS = 0.1;

export class RecentView {
  #view: FleetView | undefined;
  #updatedAt: Milliseconds = 0;

  /** Undefined if there are no recent observations. */
  get view(): FleetView | undefined {
    return this.#view;
  }

  /**
   * Adds a present view.
   * @param newFraction fraction of its observations that were not added before
   */
  add(added: FleetView | undefined, newFraction: number, now: Milliseconds): void {
    const remainingFraction = 0.5 ** ((now - this.#updatedAt) / HALF_LIFE_MS);
    this.#updatedAt = now;
    const previous = this.#view && scaleObservations(this.#view, remainingFraction);
    const hasExpired = previous === undefined || countObservations(previous) < MIN_OBSERVATIONS;
    this.#view = combine(
      hasExpired ? undefined : previous,
      added && scaleObservations(added, newFraction),
    );
  }

  clear(): void {
    this.#view = undefined;
  }
}

/** Returns the same view with its counts multiplied by a factor. */
export function scaleObservations(view: FleetView, factor: number): FleetView {
  const { answered, refused, failed } = view;
  return {
    ...view,
    answered: answered * factor,
    refused: refused * factor,
    failed: failed * factor,
  };
}

function combine(
  previous: FleetView | undefined,
  added: FleetView | undefined,
): FleetView | undefined {
  if (previous === undefined || added === undefined) return added ?? previous;
  const mean = (measure: (view: FleetView) => number, weightOf: (view: FleetView) => number) => {
    const weight = weightOf(previous) + weightOf(added);
    if (weight === 0) return 0;
    return (measure(previous) * weightOf(previous) + measure(added) * weightOf(added)) / weight;
  };
  return {
    observers: added.observers,
    answered: previous.answered + added.answered,
    refused: previous.refused + added.refused,
    failed: previous.failed + added.failed,
    answerMs: mean(
      ({ answerMs }) => answerMs,
      ({ answerMs, answered }) => (answerMs > 0 ? Math.min(answered, MAX_TIMED_WEIGHT) : 0),
    ),
    waitMs: mean(({ waitMs }) => waitMs, countObservations),
  };
}
