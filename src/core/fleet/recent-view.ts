/** What was seen of an instance over some seconds, gathered from views of the last moment. No I/O and no clock. */
import type { Milliseconds } from '../units.js';
import { countObservations, type FleetView } from './instance-digest.js';

/** What is older by this weighs half: long enough for evidence of instances that get few requests. */
const HALF_LIFE_MS: Milliseconds = 1500;
/** Answer times of more observations than these weigh as much: what was seen last counts soon. */
const MOST_TIMED = 4;
/** Fewer observations than this are none. */
const LEAST_OBSERVATIONS = 0.1;

export class RecentView {
  #view: FleetView | undefined;
  #at: Milliseconds = 0;

  /** Undefined if nothing was seen for long. */
  get view(): FleetView | undefined {
    return this.#view;
  }

  /**
   * Adds what was seen lately.
   * @param freshShare part of it that was not added before
   */
  add(seen: FleetView | undefined, freshShare: number, now: Milliseconds): void {
    const left = 0.5 ** ((now - this.#at) / HALF_LIFE_MS);
    this.#at = now;
    const before = this.#view && scaled(this.#view, left);
    const isGone = before === undefined || countObservations(before) < LEAST_OBSERVATIONS;
    this.#view = joined(isGone ? undefined : before, seen && scaled(seen, freshShare));
  }

  clear(): void {
    this.#view = undefined;
  }
}

/** The same with so large a part of its observations. */
export function scaled(view: FleetView, share: number): FleetView {
  const { answered, refused, failed } = view;
  return { ...view, answered: answered * share, refused: refused * share, failed: failed * share };
}

function joined(
  before: FleetView | undefined,
  fresh: FleetView | undefined,
): FleetView | undefined {
  if (before === undefined || fresh === undefined) return fresh ?? before;
  const mean = (measure: (view: FleetView) => number, weightOf: (view: FleetView) => number) => {
    const weight = weightOf(before) + weightOf(fresh);
    if (weight === 0) return 0;
    return (measure(before) * weightOf(before) + measure(fresh) * weightOf(fresh)) / weight;
  };
  return {
    observers: fresh.observers,
    answered: before.answered + fresh.answered,
    refused: before.refused + fresh.refused,
    failed: before.failed + fresh.failed,
    answerMs: mean(
      ({ answerMs }) => answerMs,
      ({ answerMs, answered }) => (answerMs > 0 ? Math.min(answered, MOST_TIMED) : 0),
    ),
    waitMs: mean(({ waitMs }) => waitMs, countObservations),
  };
}
