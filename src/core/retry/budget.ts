/**
 * Retry budget: limits retries to a fixed fraction of first attempts, so that a failing database group does not get a
 * multiple of its load. It is a token bucket that is filled by requests instead of by time.
 */

export interface RetryBudgetOptions {
  /** Retries earned per first attempt, such as 0.1. */
  readonly ratio: number;
  /** Maximum number of retries saved up; a new budget starts with it. */
  readonly capacity: number;
}

export class RetryBudget {
  private tokens: number;

  constructor(private readonly options: RetryBudgetOptions) {
    this.tokens = options.capacity;
  }

  /** Records a first attempt, which earns a fraction of a retry. */
  recordAttempt(): void {
    this.tokens = Math.min(this.options.capacity, this.tokens + this.options.ratio);
  }

  /** Takes one retry; returns false if none is left. */
  tryTake(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
