/** Quantiles of figures that are all kept. */

/** The least value that is not exceeded by this share of the values, which are sorted; 0 if there are none. */
export function quantile(sorted: readonly number[], wanted: number): number {
  return sorted[Math.max(0, Math.ceil(sorted.length * wanted) - 1)] ?? 0;
}
