/** Exponential backoff with jitter, so that many nodes don't retry at the same moment. */
import type { Milliseconds } from '../units.js';

/** Returns a random number in [0, 1); the caller seeds it. */
export type RandomSource = () => number;

/** Bounds of the delays. */
export interface BackoffLimits {
  readonly initialMs: Milliseconds;
  readonly maximumMs: Milliseconds;
}

/** Delays with jitter: between half a bound and the bound, which doubles with each failure. */
export class Backoff {
  #failures = 0;

  constructor(
    private readonly limits: BackoffLimits,
    private readonly random: RandomSource,
  ) {}

  /** Delay after one more failure; at least `retryAfterMs`, the delay that the server requested. */
  next(retryAfterMs: Milliseconds = 0): Milliseconds {
    const bound = Math.min(this.limits.maximumMs, this.limits.initialMs * 2 ** this.#failures);
    this.#failures += 1;
    return Math.max(jitter(bound, this.random), retryAfterMs * (1 + this.random()));
  }

  reset(): void {
    this.#failures = 0;
  }
}

/** A delay between half of `bound` and `bound`. */
export function jitter(bound: Milliseconds, random: RandomSource): Milliseconds {
  return bound / 2 + (bound / 2) * random();
}
