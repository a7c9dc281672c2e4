/** Exact quantiles of a sorted list of values. */

/** The smallest value that at least this fraction of the sorted values does not exceed; 0 without values. */
export function quantile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.max(0, Math.ceil(sorted.length * fraction) - 1)] ?? 0;
}
