/**
 * Limits the fraction of the process's time spent on parsing statements that aren't cached, so that a
 * tenant that keeps sending new texts can't delay the others. Statements beyond the limit are classified
 * as writes.
 */
import type { Milliseconds } from '../../core/units.js';

/** Long-term fraction of elapsed time that may be spent on parsing. */
const MAXIMUM_PARSE_FRACTION = 0.2;
/** Upper bound of the unused parsing time that accumulates. */
const MAXIMUM_AVAILABLE_MS = 1000;

export class ParseBudget {
  private availableMs = MAXIMUM_AVAILABLE_MS;
  private updatedAt: Milliseconds;

  constructor(private readonly now: () => Milliseconds) {
    this.updatedAt = now();
  }

  /** Runs `work` and charges its duration; returns undefined without running it if the budget is used up. */
  tryRun<Result>(work: () => Result): Result | undefined {
    const start = this.now();
    const earned = (start - this.updatedAt) * MAXIMUM_PARSE_FRACTION;
    this.availableMs = Math.min(MAXIMUM_AVAILABLE_MS, this.availableMs + earned);
    this.updatedAt = start;
    if (this.availableMs <= 0) return undefined;
    const result = work();
    this.availableMs -= this.now() - start;
    return result;
  }
}
