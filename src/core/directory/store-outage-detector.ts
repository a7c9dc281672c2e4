/**
 * Detects that the store responds again after an outage. Configuration, instances, lease and records are each retried
 * after separate pauses; when one of these calls succeeds, the others should be retried at once. No I/O; the caller
 * passes the time.
 */
import type { Milliseconds } from '../units.js';

/** If any call succeeded within this time, there was no outage: other calls failed for other reasons. */
export const MIN_OUTAGE_MS: Milliseconds = 300;

export class StoreOutageDetector {
  #lastSuccessAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #hasFailed = false;

  /** Records the result of a call; true if it is the first success after an outage. */
  recordCall(isSuccess: boolean, now: Milliseconds): boolean {
    if (!isSuccess) {
      this.#hasFailed = true;
      return false;
    }
    const isRecovered = this.#hasFailed && now - this.#lastSuccessAt >= MIN_OUTAGE_MS;
    this.#lastSuccessAt = now;
    this.#hasFailed = false;
    return isRecovered;
  }
}
