/** Exponential back-off with jitter between attempts to reach a peer. */
import type { Milliseconds } from '../core/units.js';

const GROWTH = 2;

/** When an address may be dialled again. */
export class BackOff {
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

  /** Time still to wait before the next attempt, 0 if it may be made. */
  remainingMs(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#notBefore - now);
  }

  /** An attempt failed. At least half of the ceiling passes before the next one. */
  failed(now: Milliseconds): void {
    const half = this.#ceilingMs / 2;
    this.#notBefore = now + half + half * this.#random();
    this.#ceilingMs = Math.min(this.#maxMs, this.#ceilingMs * GROWTH);
  }

  /** An attempt succeeded. */
  succeeded(): void {
    this.#ceilingMs = this.#initialMs;
    this.#notBefore = 0;
  }
}
