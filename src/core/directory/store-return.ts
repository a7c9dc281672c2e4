/**
 * Notices that the store answers again after a while in which it answered nothing. Configuration, instances, lease
 * and records are each tried again after pauses of their own; the first answer to any of them is worth telling the
 * others. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';

/** A store that answered some call so lately was not away: what fails beside that is refused for other reasons. */
const AWAY_AFTER_MS: Milliseconds = 300;

export class StoreReturn {
  #doneAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #hasFailed = false;

  /** Takes how a call ended; true if that is the first answer after an absence. */
  noteCall(isDone: boolean, now: Milliseconds): boolean {
    if (!isDone) {
      this.#hasFailed = true;
      return false;
    }
    const isBack = this.#hasFailed && now - this.#doneAt >= AWAY_AFTER_MS;
    this.#doneAt = now;
    this.#hasFailed = false;
    return isBack;
  }
}
