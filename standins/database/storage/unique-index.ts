/** Index of a unique constraint: hash lookup, and sorted keys if it has only one column. */
import type { Row, Value } from '../sql/types.js';
import type { UniqueConstraint } from './schema.js';

/** Value of the only column, or a JSON text of several columns. */
export type IndexKey = string | number | boolean;

/** Inclusive bounds of a range scan; undefined means unbounded. */
export interface KeyRange {
  readonly from: IndexKey | undefined;
  readonly to: IndexKey | undefined;
}

export class UniqueIndex<Entry> {
  private readonly entries = new Map<IndexKey, Entry>();
  private readonly sortedKeys: IndexKey[] | undefined;
  private readonly onlyColumn: number | undefined;

  constructor(readonly constraint: UniqueConstraint) {
    this.onlyColumn = constraint.columns.length === 1 ? constraint.columns[0] : undefined;
    this.sortedKeys = this.onlyColumn === undefined ? undefined : [];
  }

  /** The column of a one-column index. */
  get column(): number | undefined {
    return this.onlyColumn;
  }

  keyOf(row: Row): IndexKey | undefined {
    if (this.onlyColumn !== undefined) return row[this.onlyColumn] ?? undefined;
    const parts: Value[] = this.constraint.columns.map((column) => row[column] ?? null);
    return parts.includes(null) ? undefined : JSON.stringify(parts);
  }

  get(key: IndexKey): Entry | undefined {
    return this.entries.get(key);
  }

  set(key: IndexKey, entry: Entry): void {
    if (this.sortedKeys !== undefined && !this.entries.has(key)) this.insertSorted(key);
    this.entries.set(key, entry);
  }

  delete(key: IndexKey): void {
    if (!this.entries.delete(key) || this.sortedKeys === undefined) return;
    const position = this.firstAtLeast(key);
    if (this.sortedKeys[position] === key) this.sortedKeys.splice(position, 1);
  }

  /** Entries within inclusive bounds, in key order. The index must not change during the scan. */
  *scan(range: KeyRange, descending: boolean): Generator<Entry> {
    const keys = this.sortedKeys ?? [];
    const first = range.from === undefined ? 0 : this.firstAtLeast(range.from);
    const end = range.to === undefined ? keys.length : this.firstAbove(range.to);
    for (let offset = 0; offset < end - first; offset += 1) {
      const key = keys[descending ? end - 1 - offset : first + offset];
      const entry = key === undefined ? undefined : this.entries.get(key);
      if (entry !== undefined) yield entry;
    }
  }

  private insertSorted(key: IndexKey): void {
    const keys = this.sortedKeys ?? [];
    const last = keys[keys.length - 1];
    if (last === undefined || last < key) keys.push(key);
    else keys.splice(this.firstAtLeast(key), 0, key);
  }

  private firstAtLeast(key: IndexKey): number {
    return this.partition((candidate) => candidate < key);
  }

  private firstAbove(key: IndexKey): number {
    return this.partition((candidate) => candidate <= key);
  }

  /** First position for which `before` is false; `before` is true for a prefix of the keys. */
  private partition(before: (candidate: IndexKey) => boolean): number {
    const keys = this.sortedKeys ?? [];
    let low = 0;
    let high = keys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const candidate = keys[middle];
      if (candidate !== undefined && before(candidate)) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
