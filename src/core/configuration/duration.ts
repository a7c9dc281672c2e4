/** Durations as operators write them: a number of milliseconds, or text such as `500ms` or `2s`. */
import { z } from 'zod';

const UNIT_MS: ReadonlyMap<string, number> = new Map([
  ['ms', 1],
  ['s', 1000],
  ['m', 60_000],
  ['h', 3_600_000],
]);
const MAX_DURATION_MS = 24 * 3_600_000;

/** Converts a duration in text form to milliseconds; returns any other value unchanged. */
export function parseDuration(value: unknown): unknown {
  if (typeof value !== 'string') return value;
  const match = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/.exec(value);
  const unit = UNIT_MS.get(match?.[2] ?? '');
  return unit === undefined ? value : Number(match?.[1]) * unit;
}

/** A duration in whole milliseconds. */
export const durationSchema = z.preprocess(
  parseDuration,
  z
    .int({ error: 'expected a duration: whole milliseconds, or text such as 500ms or 2s' })
    .min(0)
    .max(MAX_DURATION_MS),
);
