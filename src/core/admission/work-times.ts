/**
 * How long statements of each priority take at an instance, and how long they wait there for one of its slots: what
 * an answer takes beyond what it takes while nothing waits. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';

const INITIAL_ANSWER_MS: Milliseconds = 25;
const ANSWER_SMOOTHING = 0.1;
const DELAY_SMOOTHING = 0.25;
/** The time without waiting follows quicker answers at once, and slower ones so much less. */
const BASELINE_FALL = 0.1;
const BASELINE_RISE = 0.02;
/** Priorities are told apart up to here; those beyond count as the last. */
const MOST_PRIORITIES = 8;

interface WorkTime {
  answerMs: Milliseconds;
  /** Low in the spread of answers that met no queue. */
  baselineMs: Milliseconds;
}

export class WorkTimes {
  readonly #byPriority = new Map<number, WorkTime>();
  #delayMs: Milliseconds = 0;

  /** Recent wait for a slot of the instance, over all priorities. */
  get delayMs(): Milliseconds {
    return this.#delayMs;
  }

  /** Recent time of an answer, with its wait for a slot. */
  answerMs(priority: number): Milliseconds {
    return this.#byPriority.get(keyOf(priority))?.answerMs ?? INITIAL_ANSWER_MS;
  }

  /**
   * Takes the time of an answer.
   * @param isShort the instance is known to be short of slots, so that slower answers tell nothing of the work
   */
  note(priority: number, tookMs: Milliseconds, isShort: boolean): void {
    if (!Number.isFinite(tookMs) || tookMs < 0) return;
    const key = keyOf(priority);
    const known = this.#byPriority.get(key);
    if (known === undefined) {
      this.#byPriority.set(key, { answerMs: tookMs, baselineMs: tookMs });
      return;
    }
    known.answerMs += (tookMs - known.answerMs) * ANSWER_SMOOTHING;
    this.#delayMs += (Math.max(0, tookMs - known.baselineMs) - this.#delayMs) * DELAY_SMOOTHING;
    if (tookMs < known.baselineMs) known.baselineMs += (tookMs - known.baselineMs) * BASELINE_FALL;
    else if (!isShort) known.baselineMs += (tookMs - known.baselineMs) * BASELINE_RISE;
  }

  /** Nothing was answered for long: what is known of the wait is over. */
  forgetDelay(): void {
    this.#delayMs = 0;
  }
}

function keyOf(priority: number): number {
  return Math.min(Math.max(0, Math.trunc(priority)), MOST_PRIORITIES - 1);
}
