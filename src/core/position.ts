/**
 * Positions in the write-ahead log of a database group: PostgreSQL's timeline and log sequence
 * number (LSN). A higher timeline is always later, whatever the LSN.
 */
import { err, ok, type Result } from 'neverthrow';
import { InvalidLsnError } from './errors.js';

/** A position in a group's log. */
export interface Position {
  /** PostgreSQL timeline id; each promotion increments it. */
  readonly timeline: number;
  /** Byte offset in the log, as in the type `pg_lsn`. */
  readonly lsn: bigint;
}

const LSN_PATTERN = /^([0-9A-Fa-f]{1,8})\/([0-9A-Fa-f]{1,8})$/;
const LSN_LOW_BITS = 32n;
const LSN_LOW_MASK = 0xffff_ffffn;

/** The position of an empty log. */
export const ZERO_POSITION: Position = { timeline: 0, lsn: 0n };

/** Negative if `left` is earlier than `right`, zero if equal, positive if later. */
export function comparePositions(left: Position, right: Position): number {
  if (left.timeline !== right.timeline) return left.timeline - right.timeline;
  if (left.lsn === right.lsn) return 0;
  return left.lsn < right.lsn ? -1 : 1;
}

/** The later of two positions. */
export function laterPosition(left: Position, right: Position): Position {
  return comparePositions(left, right) >= 0 ? left : right;
}

/** Parses an LSN in PostgreSQL's text format, such as `0/16B3748`. */
export function parseLsn(text: string): Result<bigint, InvalidLsnError> {
  const match = LSN_PATTERN.exec(text);
  const [, high, low] = match ?? [];
  if (high === undefined || low === undefined) return err(new InvalidLsnError(text));
  return ok((BigInt(`0x${high}`) << LSN_LOW_BITS) | BigInt(`0x${low}`));
}

/** Formats an LSN in PostgreSQL's text format. */
export function formatLsn(lsn: bigint): string {
  const high = (lsn >> LSN_LOW_BITS).toString(16).toUpperCase();
  const low = (lsn & LSN_LOW_MASK).toString(16).toUpperCase();
  return `${high}/${low}`;
}
