/** Token bucket for the rate limit of a stand-in. */
const MILLISECONDS_PER_SECOND = 1000;

/** Allows `ratePerSecond` requests a second with a burst of as many. */
export class TokenBucket {
  #tokens: number;

  constructor(
    private readonly ratePerSecond: number,
    private updatedAtMs: number,
  ) {
    this.#tokens = Math.max(1, ratePerSecond);
  }

  /** Takes `price` tokens if there are as many at `nowMs`. */
  tryTake(nowMs: number, price = 1): boolean {
    const gained = ((nowMs - this.updatedAtMs) / MILLISECONDS_PER_SECOND) * this.ratePerSecond;
    this.#tokens = Math.min(Math.max(1, this.ratePerSecond), this.#tokens + gained);
    this.updatedAtMs = nowMs;
    if (this.#tokens < price) return false;
    this.#tokens -= price;
    return true;
  }
}
