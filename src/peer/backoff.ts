/** Exponential backoff with jitter between attempts to connect to a peer. */
import type { Milliseconds } from '../core/units.js';

const GROWTH = 2;

/** Determines when an address may be dialled again. */
export class Backoff {
  readonly #initialMs: Milliseconds;
  readonly #maxMs: Milliseconds;
  readonly #random: () => number;
  #ceilingMs: Milliseconds;
  #notBefore = 0;

  constructor(initialMs: Milliseconds, maxMs: Milliseconds, random: () => number) {
    this.#initialMs = initialMs;
    this.#maxMs = maxMs;
    this.#random = random;
    this.#ceilingMs = initialMs;
  }

  /** Remaining delay before the next attempt; 0 if it may be made now. */
  remainingMs(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#notBefore - now);
  }

  /** Delays the next attempt by a random time between half of the ceiling and all of it. */
  recordFailure(now: Milliseconds): void {
    const half = this.#ceilingMs / 2;
    this.#notBefore = now + half + half * this.#random();
    this.#ceilingMs = Math.min(this.#maxMs, this.#ceilingMs * GROWTH);
  }

  recordSuccess(): void {
    this.#ceilingMs = this.#initialMs;
    this.#notBefore = 0;
  }
}
