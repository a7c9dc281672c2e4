/** Summaries of measured times. */
import type { Milliseconds } from '../src/core/units.js';

export interface Distribution {
  readonly count: number;
  readonly p50: Milliseconds;
  readonly p99: Milliseconds;
  readonly max: Milliseconds;
}

const DECIMALS = 1;

/** All zero if there is nothing to summarise; `count` tells. */
export function distributionOf(values: readonly Milliseconds[]): Distribution {
  const sorted = [...values].sort((left, right) => left - right);
  return {
    count: sorted.length,
    p50: rounded(quantile(sorted, 0.5)),
    p99: rounded(quantile(sorted, 0.99)),
    max: rounded(sorted.at(-1) ?? 0),
  };
}

/** Rounded for a report. */
export function rounded(value: number, decimals: number = DECIMALS): number {
  return Number(value.toFixed(decimals));
}

/** The value that the share of all values does not exceed. */
function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0;
}
