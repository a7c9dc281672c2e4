/** Median of weighted values: a minority of the weight can't move it far. */

export interface WeightedValue {
  readonly value: number;
  readonly weight: number;
}

/** Interpolates between the two values around half of the total weight; 0 without values. */
export function weightedMedian(values: readonly WeightedValue[]): number {
  if (values.every(({ value }) => value === 0)) return 0;
  const ordered = values
    .filter(({ weight }) => weight > 0)
    .sort((left, right) => left.value - right.value);
  const half = ordered.reduce((sum, { weight }) => sum + weight, 0) / 2;
  let weightBefore = 0;
  let previous: { value: number; middle: number } | undefined;
  for (const { value, weight } of ordered) {
    const middle = weightBefore + weight / 2;
    if (middle >= half) {
      if (previous === undefined) return value;
      const fraction = (half - previous.middle) / (middle - previous.middle);
      return previous.value + (value - previous.value) * fraction;
    }
    previous = { value, middle };
    weightBefore += weight;
  }
  return previous?.value ?? 0;
}
