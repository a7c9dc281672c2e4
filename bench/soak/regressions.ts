/** A seed that failed, with its cause and the commit that fixed it. */
export interface Regression {
  readonly seed: number;
  readonly found: string;
  readonly cause: string;
  /** Subject line of the commit; undefined while the fault is open. */
  readonly mendedBy: string | undefined;
}

const SECOND_SIGNAL_SEEDS = [2000, 3000, 6000, 8000, 13_000] as const;

/** Replayed by `npm run soak -- --regressions`. */
export const REGRESSIONS: readonly Regression[] = SECOND_SIGNAL_SEEDS.map((seed) => ({
  seed,
  found: 'requests that ran at an instance went without an answer while their gateway stopped',
  cause: 'a second SIGTERM ended the process at once',
  mendedBy: 'A stop that is asked for again is the same stop',
}));
