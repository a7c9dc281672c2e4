/** Token bucket for the rate limit of a stand-in. */
const MILLISECONDS_PER_SECOND = 1000;

/** Allows `ratePerSecond` requests per second, with bursts of the same number. */
export class TokenBucket {
  #tokens: number;

  constructor(
    private readonly ratePerSecond: number,
    private updatedAtMs: number,
  ) {
    this.#tokens = Math.max(1, ratePerSecond);
  }

  /** Takes `cost` tokens if the bucket contains enough at `nowMs`. */
  tryTake(nowMs: number, cost = 1): boolean {
    const refilled = ((nowMs - this.updatedAtMs) / MILLISECONDS_PER_SECOND) * this.ratePerSecond;
    this.#tokens = Math.min(Math.max(1, this.ratePerSecond), this.#tokens + refilled);
    this.updatedAtMs = nowMs;
    if (this.#tokens < cost) return false;
    this.#tokens -= cost;
    return true;
  }
}
