/** Field-by-field differences of two declarations, for dry runs and conflicts. */
import { formatFieldPath } from './document.js';

/** One field that differs. */
export interface FieldDifference {
  /** Dotted path, such as `parameters.maxConnections`. */
  readonly field: string;
  /** Undefined if the field is new. */
  readonly before: unknown;
  /** Undefined if the field was removed. */
  readonly after: unknown;
}

/** Returns the fields whose values differ, sorted by path. Arrays are compared item by item. */
export function findDifferences(before: unknown, after: unknown): FieldDifference[] {
  return compare(before, after, []).sort((left, right) => (left.field < right.field ? -1 : 1));
}

function compare(before: unknown, after: unknown, path: (string | number)[]): FieldDifference[] {
  if (Object.is(before, after)) return [];
  const left = childrenOf(before);
  const right = childrenOf(after);
  if (!isComparedByField(before, left, after, right)) {
    return [{ field: formatFieldPath(path), before, after }];
  }
  const keys = new Set([...(left?.keys() ?? []), ...(right?.keys() ?? [])]);
  return [...keys].flatMap((key) => compare(left?.get(key), right?.get(key), [...path, key]));
}

type Children = ReadonlyMap<string | number, unknown>;

/** True for two containers of one kind, or a non-empty container and an absent value. */
function isComparedByField(
  before: unknown,
  left: Children | undefined,
  after: unknown,
  right: Children | undefined,
): boolean {
  if (left !== undefined && right !== undefined) {
    return Array.isArray(before) === Array.isArray(after);
  }
  const absent = left === undefined ? before : after;
  return absent === undefined && ((left ?? right)?.size ?? 0) > 0;
}

function childrenOf(value: unknown): Children | undefined {
  if (Array.isArray(value)) return new Map(value.map((item, index) => [index, item]));
  if (typeof value !== 'object' || value === null) return undefined;
  return new Map(Object.entries(value));
}
