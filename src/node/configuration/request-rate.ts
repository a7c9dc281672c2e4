/** Counts the requests of the last minute from a monotonic counter. */
import type { Milliseconds } from '../../core/units.js';

const WINDOW_MS = 60_000;

interface Sample {
  readonly sampledAt: Milliseconds;
  readonly count: number;
}

/** A sliding window over samples of a counter. */
export class RequestRate {
  #samples: Sample[] = [];

  constructor(
    private readonly counter: () => number,
    private readonly now: () => Milliseconds,
  ) {
    this.sample();
  }

  /** Takes a sample; to be called about once a second. */
  sample(): void {
    const sampledAt = this.now();
    const expired = this.#samples.findLastIndex(
      (sample) => sample.sampledAt <= sampledAt - WINDOW_MS,
    );
    // The newest expired sample is kept: it holds the count at the start of the window.
    if (expired > 0) this.#samples = this.#samples.slice(expired);
    this.#samples.push({ sampledAt, count: this.counter() });
  }

  /** Requests in the last minute, or since the start if that is more recent. */
  lastMinute(): number {
    return this.counter() - (this.#samples[0]?.count ?? 0);
  }
}
