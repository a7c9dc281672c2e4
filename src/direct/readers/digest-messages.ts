/** How digests of instances travel: short rows of whole numbers, a bounded number of them in each message. */

import { countObservations, type InstanceDigest } from '../../core/fleet/instance-digest.js';
import { instanceKey } from '../../core/fleet/instance-key.js';
import type { WireValue } from '../../peer/contract.js';

/** Rows of one message, some 20 bytes each. */
const MAX_ROWS = 18;
/** Times travel in tenths of a millisecond. */
const TIME_UNITS_PER_MS = 10;
const ROW_LENGTH = 8;

/** A digest whose instance is named by its key. */
export interface DigestRow extends Omit<InstanceDigest, 'service' | 'instanceId'> {
  readonly key: number;
}

/** The digests with the most observations; with one bound of bytes whatever the number of instances is. */
export function encodeDigests(digests: readonly InstanceDigest[]): WireValue {
  return [...digests]
    .sort((left, right) => countObservations(right) - countObservations(left))
    .slice(0, MAX_ROWS)
    .map((digest) => [
      instanceKey(digest.instanceId),
      Math.round(digest.ageMs),
      digest.observers,
      Math.round(digest.answered),
      Math.round(digest.refused),
      Math.round(digest.failed),
      Math.round(digest.answerMs * TIME_UNITS_PER_MS),
      Math.round(digest.waitMs * TIME_UNITS_PER_MS),
    ]);
}

/** Undefined for what is not in its form. Rows may be longer: a later version may tell more. */
export function parseDigests(value: WireValue): readonly DigestRow[] | undefined {
  if (!Array.isArray(value) || value.length > MAX_ROWS) return undefined;
  const rows = value.map(parseRow).filter((row) => row !== undefined);
  return rows.length === value.length ? rows : undefined;
}

function parseRow(value: unknown): DigestRow | undefined {
  if (!Array.isArray(value) || value.length < ROW_LENGTH) return undefined;
  const numbers: unknown[] = value.slice(0, ROW_LENGTH);
  if (!numbers.every((number) => Number.isSafeInteger(number))) return undefined;
  const [key, ageMs, observers, answered, refused, failed, answerTime, waitTime] =
    numbers as number[];
  return {
    ...{ key: key ?? 0, ageMs: ageMs ?? 0, observers: observers ?? 0 },
    ...{ answered: answered ?? 0, refused: refused ?? 0, failed: failed ?? 0 },
    answerMs: (answerTime ?? 0) / TIME_UNITS_PER_MS,
    waitMs: (waitTime ?? 0) / TIME_UNITS_PER_MS,
  };
}
