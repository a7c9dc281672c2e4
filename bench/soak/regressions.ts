/** Seeds that ever failed, each with its cause and the commit that mended it. */
export interface Regression {
  readonly seed: number;
  readonly found: string;
  readonly cause: string;
  /** Undefined while it is open. */
  readonly mendedBy: string | undefined;
}

/** Replayed by `npm run soak -- --regressions`. */
export const REGRESSIONS: readonly Regression[] = [];
