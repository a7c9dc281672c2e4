/**
 * Whether what was read from the store can be relied on to be current. A failed call alone does not end that: the store
 * may cut a waiting poll at any time, and the next call may succeed at once. No I/O; the caller passes the time.
 */
import type { Milliseconds } from '../units.js';
import { MIN_OUTAGE_MS } from './store-outage-detector.js';

export class StoreHealth {
  /** Time of the first failure since the last success. */
  #failingSince: Milliseconds | undefined;
  /** Time of the first success, or of the first one after the last outage. */
  #healthySince: Milliseconds | undefined;

  /** Records a success of a call that was sent at `sentAt`. One that was sent before a failure does not end it. */
  recordSuccess(sentAt: Milliseconds, now: Milliseconds): void {
    if (this.#failingSince !== undefined && sentAt < this.#failingSince) return;
    if (this.healthySince(now) === undefined) this.#healthySince = now;
    this.#failingSince = undefined;
  }

  recordFailure(now: Milliseconds): void {
    this.#failingSince ??= now;
  }

  /** Time since which there was no outage; undefined during one and before the first success. */
  healthySince(now: Milliseconds): Milliseconds | undefined {
    const isOutage = this.#failingSince !== undefined && now - this.#failingSince >= MIN_OUTAGE_MS;
    return isOutage ? undefined : this.#healthySince;
  }
}
