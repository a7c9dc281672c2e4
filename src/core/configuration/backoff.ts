/** Exponential back-off with jitter, so that many nodes don't come back at the same moment. */
import type { Milliseconds } from '../units.js';

/** A number in [0, 1); seeded by the caller. */
export type RandomSource = () => number;

/** Bounds of a back-off. */
export interface BackoffLimits {
  readonly initialMs: Milliseconds;
  readonly maximumMs: Milliseconds;
}

/** Delays that double with each failure; each lies between half its bound and the bound. */
export class Backoff {
  #failures = 0;

  constructor(
    private readonly limits: BackoffLimits,
    private readonly random: RandomSource,
  ) {}

  /** Delay after one more failure, at least what the other side asked for. */
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
