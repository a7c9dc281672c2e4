/**
 * Response times of an instance per priority, and the wait for one of its slots: the part of a response time beyond the
 * response time without queueing. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';

const INITIAL_RESPONSE_MS: Milliseconds = 25;
const RESPONSE_SMOOTHING = 0.1;
const DELAY_SMOOTHING = 0.25;
/** The response time without queueing follows faster responses quickly, and slower ones slowly. */
const BASELINE_DECREASE = 0.1;
const BASELINE_INCREASE = 0.02;
/** Number of priorities with separate response times; lower ones count as the last of them. */
const MAX_TRACKED_PRIORITIES = 8;

interface ResponseTime {
  responseMs: Milliseconds;
  /** Estimated response time without queueing, near the lower end of the responses. */
  baselineMs: Milliseconds;
}

export class ResponseTimes {
  readonly #byPriority = new Map<number, ResponseTime>();
  #slotDelayMs: Milliseconds = 0;

  /** Recent average wait for a slot of the instance, over all priorities. */
  get slotDelayMs(): Milliseconds {
    return this.#slotDelayMs;
  }

  /** Recent average response time of a priority, including the wait for a slot. */
  responseMs(priority: number): Milliseconds {
    return this.#byPriority.get(trackedPriorityOf(priority))?.responseMs ?? INITIAL_RESPONSE_MS;
  }

  /**
   * Records a response time.
   * @param isLimited the instance is known to be short of slots, so that slower responses don't mean more work
   */
  record(priority: number, tookMs: Milliseconds, isLimited: boolean): void {
    if (!Number.isFinite(tookMs) || tookMs < 0) return;
    const trackedPriority = trackedPriorityOf(priority);
    const time = this.#byPriority.get(trackedPriority);
    if (time === undefined) {
      this.#byPriority.set(trackedPriority, { responseMs: tookMs, baselineMs: tookMs });
      return;
    }
    time.responseMs += (tookMs - time.responseMs) * RESPONSE_SMOOTHING;
    this.#slotDelayMs +=
      (Math.max(0, tookMs - time.baselineMs) - this.#slotDelayMs) * DELAY_SMOOTHING;
    if (tookMs < time.baselineMs) time.baselineMs += (tookMs - time.baselineMs) * BASELINE_DECREASE;
    else if (!isLimited) time.baselineMs += (tookMs - time.baselineMs) * BASELINE_INCREASE;
  }

  /** Discards the measured wait, after a long time without a response. */
  resetSlotDelay(): void {
    this.#slotDelayMs = 0;
  }
}

function trackedPriorityOf(priority: number): number {
  return Math.min(Math.max(0, Math.trunc(priority)), MAX_TRACKED_PRIORITIES - 1);
}
