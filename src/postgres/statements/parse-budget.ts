/**
 * Bounds the share of the process's time that goes into parsing new statements, so that one tenant
 * who sends ever new texts can't hold up the others. Beyond it statements count as writes.
 */
import type { Milliseconds } from '../../core/units.js';

/** Of each second, in the long run. */
const PARSE_SHARE = 0.2;
/** Unused time that is kept for later. */
const MAXIMUM_SAVED_MS = 1000;

export class ParseBudget {
  private savedMs = MAXIMUM_SAVED_MS;
  private updatedAt: Milliseconds;

  constructor(private readonly now: () => Milliseconds) {
    this.updatedAt = now();
  }

  /** Runs `work` and counts its time; undefined, without running it, if the budget is used up. */
  spend<Result>(work: () => Result): Result | undefined {
    const start = this.now();
    const earned = (start - this.updatedAt) * PARSE_SHARE;
    this.savedMs = Math.min(MAXIMUM_SAVED_MS, this.savedMs + earned);
    this.updatedAt = start;
    if (this.savedMs <= 0) return undefined;
    const result = work();
    this.savedMs -= this.now() - start;
    return result;
  }
}
