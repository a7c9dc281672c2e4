/** Wire format of instance digests: short rows of integers, a bounded number of them per message. */

import { countObservations, type InstanceDigest } from '../../core/fleet/instance-digest.js';
import { instanceKey } from '../../core/fleet/instance-key.js';
import type { WireValue } from '../../peer/contract.js';

/** Maximum rows per message, about 20 bytes each. */
const MAX_ROWS = 18;
/** Times are sent in tenths of a millisecond. */
const TIME_UNITS_PER_MS = 10;
const ROW_LENGTH = 8;

/** A digest that identifies its instance by `instanceKey`. */
export interface DigestRow extends Omit<InstanceDigest, 'service' | 'instanceId'> {
  readonly key: number;
}

/** Encodes the digests with the most observations, so that the message size is bounded however many instances there are. */
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

/** Undefined if malformed. Rows may be longer: a later version may append fields. */
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
