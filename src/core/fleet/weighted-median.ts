/** The median of values that weigh differently: a minority of the weight can't move it far. */

export interface WeightedValue {
  readonly value: number;
  readonly weight: number;
}

/** Interpolated between the two values around the middle of the weight; 0 without any. */
export function weightedMedian(values: readonly WeightedValue[]): number {
  if (values.every(({ value }) => value === 0)) return 0;
  const ordered = values
    .filter(({ weight }) => weight > 0)
    .sort((left, right) => left.value - right.value);
  const half = ordered.reduce((sum, { weight }) => sum + weight, 0) / 2;
  let passed = 0;
  let before: { value: number; middle: number } | undefined;
  for (const { value, weight } of ordered) {
    const middle = passed + weight / 2;
    if (middle >= half) {
      if (before === undefined) return value;
      const share = (half - before.middle) / (middle - before.middle);
      return before.value + (value - before.value) * share;
    }
    before = { value, middle };
    passed += weight;
  }
  return before?.value ?? 0;
}
