/** count, sum, min, max and avg over all rows of a statement. */
import type { AggregateCall, EvaluationContext } from './evaluation.js';
import { compareValues } from './functions.js';
import type { Row, Value } from './types.js';

interface Accumulator {
  count: number;
  value: Value;
  readonly seen: Set<Value> | undefined;
}

export function accumulate(
  calls: readonly AggregateCall[],
  rows: Iterable<Row>,
  context: EvaluationContext,
): Row {
  const accumulators = calls.map(
    (call): Accumulator => ({
      count: 0,
      value: null,
      seen: call.distinct ? new Set<Value>() : undefined,
    }),
  );
  for (const row of rows) {
    context.row = row;
    calls.forEach((call, position) => {
      const accumulator = accumulators[position];
      if (accumulator !== undefined) add(accumulator, call, context);
    });
  }
  return calls.map((call, position) => resultOf(call, accumulators[position]));
}

function add(accumulator: Accumulator, call: AggregateCall, context: EvaluationContext): void {
  const value = call.argument === undefined ? 1 : call.argument.evaluate(context);
  if (value === null || accumulator.seen?.has(value)) return;
  accumulator.seen?.add(value);
  accumulator.count += 1;
  if (call.functionName !== 'count') accumulator.value = nextValue(call, accumulator.value, value);
}

function nextValue(call: AggregateCall, previous: Value, value: string | number | boolean): Value {
  if (previous === null) return value;
  if (call.functionName === 'min') return compareValues(value, previous) < 0 ? value : previous;
  if (call.functionName === 'max') return compareValues(value, previous) > 0 ? value : previous;
  return Number(previous) + Number(value);
}

function resultOf(call: AggregateCall, accumulator: Accumulator | undefined): Value {
  if (call.functionName === 'count') return accumulator?.count ?? 0;
  const value = accumulator?.value ?? null;
  if (call.functionName !== 'avg' || value === null || accumulator === undefined) return value;
  return Number(value) / accumulator.count;
}
