/**
 * Retry budget: retries may be only a fixed share of first attempts, so that a failing group is
 * not met with a multiple of its load. A token bucket filled by requests instead of by time.
 */

/** Shape of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries earned per first attempt, such as 0.1. */
  readonly ratio: number;
  /** Greatest number of retries saved up; also what a new budget starts with. */
  readonly capacity: number;
}

/** Counts what may still be retried. */
export class RetryBudget {
  private tokens: number;

  constructor(private readonly options: RetryBudgetOptions) {
    this.tokens = options.capacity;
  }

  /** A first attempt earns its share of a retry. */
  recordAttempt(): void {
    this.tokens = Math.min(this.options.capacity, this.tokens + this.options.ratio);
  }

  /** Takes one retry if there is one. */
  tryTake(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
