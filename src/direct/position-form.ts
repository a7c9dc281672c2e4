/** Format of a log position in messages between nodes. */
import type { Position } from '../core/position.js';
import type { WireValue } from '../peer/contract.js';

const WHOLE_NUMBER = /^\d+$/;

/** Encodes the LSN as text, since a double can't represent every 64-bit number. */
export function encodePosition({ timeline, lsn }: Position): WireValue {
  return { timeline, lsn: lsn.toString() };
}

/** Undefined if the value is no valid position. */
export function parsePosition(value: WireValue): Position | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { timeline, lsn } = value as Readonly<Record<string, unknown>>;
  if (!Number.isSafeInteger(timeline)) return undefined;
  if (typeof lsn !== 'string' || !WHOLE_NUMBER.test(lsn)) return undefined;
  return { timeline: timeline as number, lsn: BigInt(lsn) };
}
