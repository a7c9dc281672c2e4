/** Summaries of measured times. */
import type { Milliseconds } from '../src/core/units.js';

export interface Distribution {
  readonly count: number;
  readonly p50: Milliseconds;
  readonly p99: Milliseconds;
  readonly max: Milliseconds;
}

const DECIMALS = 1;

/** All figures, `count` included, are 0 if there are no values. */
export function computeDistribution(values: readonly Milliseconds[]): Distribution {
  const sorted = [...values].sort((left, right) => left - right);
  return {
    count: sorted.length,
    p50: roundTo(quantile(sorted, 0.5)),
    p99: roundTo(quantile(sorted, 0.99)),
    max: roundTo(sorted.at(-1) ?? 0),
  };
}

/** Rounds a figure for a report. */
export function roundTo(value: number, decimals: number = DECIMALS): number {
  return Number(value.toFixed(decimals));
}

/** The smallest value that this fraction of all values does not exceed. */
function quantile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.max(0, Math.ceil(sorted.length * fraction) - 1)] ?? 0;
}
