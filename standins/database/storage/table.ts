/**
 * A table in memory. Each row has a committed version and at most one pending version, of the one
 * transaction that locked it (READ COMMITTED with row locks). Versions are never modified in place,
 * so that a reader may keep them.
 */
import { ServerError, ServerSqlState } from '../errors.js';
import type { Row } from '../sql/types.js';
import type { TableDefinition } from './schema.js';
import { RowLockedSignal, type Transaction } from './transaction.js';
import { type IndexKey, UniqueIndex } from './unique-index.js';

export interface StoredRow {
  /** Identity of the row in replication; unique within its table. */
  readonly id: number;
  committed: Row | undefined;
  /** Undefined: unchanged; null: deleted by the lock's holder. */
  pending: Row | null | undefined;
  lock: Transaction | undefined;
}

export class Table {
  readonly rows = new Map<number, StoredRow>();
  readonly indexes: readonly UniqueIndex<StoredRow>[];
  private nextRowId = 1;
  private readonly nextSerials: number[];

  constructor(readonly definition: TableDefinition) {
    this.indexes = definition.uniqueConstraints.map((constraint) => new UniqueIndex(constraint));
    this.nextSerials = definition.columns.map(() => 1);
  }

  get primaryIndex(): UniqueIndex<StoredRow> | undefined {
    return this.indexes.find((index) => index.constraint.primary);
  }

  /** The version visible to `transaction`; undefined if the row does not exist for it. */
  visible(row: StoredRow, transaction: Transaction | undefined): Row | undefined {
    if (row.pending === undefined || row.lock !== transaction) return row.committed;
    return row.pending ?? undefined;
  }

  nextSerial(column: number): number {
    const next = this.nextSerials[column] ?? 1;
    this.nextSerials[column] = next + 1;
    return next;
  }

  /** Locks a row until the transaction ends. @throws RowLockedSignal if another one holds the lock. */
  lock(row: StoredRow, transaction: Transaction): void {
    if (row.lock === transaction) return;
    if (row.lock !== undefined) throw new RowLockedSignal(row.lock);
    row.lock = transaction;
    transaction.touchedRows.set(row, this);
    transaction.onUndo(() => this.unlock(row, transaction));
  }

  private unlock(row: StoredRow, transaction: Transaction): void {
    row.lock = undefined;
    transaction.touchedRows.delete(row);
    if (row.committed === undefined) this.rows.delete(row.id);
  }

  /** The row that an insert of `values` collides with, and the constraint; undefined if none. */
  findConflict(
    values: Row,
    transaction: Transaction,
    except?: StoredRow,
  ): { row: StoredRow; index: UniqueIndex<StoredRow> } | undefined {
    for (const index of this.indexes) {
      const key = index.keyOf(values);
      const row = key === undefined ? undefined : index.get(key);
      if (key === undefined || row === undefined || row === except) continue;
      if (this.hasConflict(row, index, key, transaction)) return { row, index };
    }
    return undefined;
  }

  private hasConflict(
    row: StoredRow,
    index: UniqueIndex<StoredRow>,
    key: IndexKey,
    transaction: Transaction,
  ): boolean {
    const hasKey = (version: Row | null | undefined): boolean =>
      version !== null && version !== undefined && index.keyOf(version) === key;
    if (row.lock === undefined || row.lock === transaction) {
      return hasKey(this.visible(row, transaction));
    }
    const hasKeyNow = hasKey(row.committed);
    const hasKeyAfterCommit = row.pending === undefined ? hasKeyNow : hasKey(row.pending);
    if (hasKeyNow !== hasKeyAfterCommit) throw new RowLockedSignal(row.lock);
    return hasKeyNow;
  }

  /** Inserts a row. @throws ServerError 23505, or RowLockedSignal if it depends on another transaction. */
  insert(values: Row, transaction: Transaction): void {
    const conflict = this.findConflict(values, transaction);
    if (conflict !== undefined) throw this.uniqueViolation(values, conflict.index);
    const row: StoredRow = {
      id: this.nextRowId,
      committed: undefined,
      pending: undefined,
      lock: undefined,
    };
    this.nextRowId += 1;
    this.rows.set(row.id, row);
    this.lock(row, transaction);
    this.setPending(row, values, transaction);
  }

  update(row: StoredRow, values: Row, transaction: Transaction): void {
    this.lock(row, transaction);
    const conflict = this.findConflict(values, transaction, row);
    if (conflict !== undefined) throw this.uniqueViolation(values, conflict.index);
    this.setPending(row, values, transaction);
  }

  delete(row: StoredRow, transaction: Transaction): void {
    this.lock(row, transaction);
    this.setPending(row, null, transaction);
  }

  private setPending(row: StoredRow, next: Row | null, transaction: Transaction): void {
    const previous = row.pending;
    row.pending = next;
    for (const index of this.indexes) this.indexPending(index, row, previous, transaction);
    transaction.onUndo(() => {
      row.pending = previous;
    });
  }

  /** Points the index at the new pending key; keys of the committed version stay until commit. */
  private indexPending(
    index: UniqueIndex<StoredRow>,
    row: StoredRow,
    previous: Row | null | undefined,
    transaction: Transaction,
  ): void {
    const committedKey = row.committed === undefined ? undefined : index.keyOf(row.committed);
    const previousKey = previous ? index.keyOf(previous) : undefined;
    const nextKey = row.pending ? index.keyOf(row.pending) : undefined;
    if (previousKey !== undefined && previousKey !== nextKey && previousKey !== committedKey) {
      this.replaceEntry(index, previousKey, row, undefined, transaction);
    }
    if (nextKey !== undefined && index.get(nextKey) !== row) {
      this.replaceEntry(index, nextKey, index.get(nextKey), row, transaction);
    }
  }

  private replaceEntry(
    index: UniqueIndex<StoredRow>,
    key: IndexKey,
    expected: StoredRow | undefined,
    next: StoredRow | undefined,
    transaction: Transaction,
  ): void {
    const previous = index.get(key);
    if (previous !== expected) return;
    setOrDelete(index, key, next);
    transaction.onUndo(() => setOrDelete(index, key, previous));
  }

  /** Makes the pending version of a row the committed one and unlocks it. */
  commitRow(row: StoredRow): void {
    const { committed, pending } = row;
    row.lock = undefined;
    row.pending = undefined;
    if (pending !== undefined) this.replaceCommitted(row, committed, pending);
    else if (committed === undefined) this.rows.delete(row.id);
  }

  private replaceCommitted(row: StoredRow, before: Row | undefined, after: Row | null): void {
    row.committed = after ?? undefined;
    for (const index of this.indexes) {
      const beforeKey = before === undefined ? undefined : index.keyOf(before);
      const afterKey = after === null ? undefined : index.keyOf(after);
      if (beforeKey !== undefined && beforeKey !== afterKey && index.get(beforeKey) === row) {
        index.delete(beforeKey);
      }
      if (afterKey !== undefined) index.set(afterKey, row);
    }
    if (after === null) this.rows.delete(row.id);
  }

  /** Replay of a committed version on a replica; null removes the row. */
  applyVersion(rowId: number, values: Row | null): void {
    let row = this.rows.get(rowId);
    if (row === undefined) {
      if (values === null) return;
      row = { id: rowId, committed: undefined, pending: undefined, lock: undefined };
      this.rows.set(rowId, row);
    }
    this.replaceCommitted(row, row.committed, values);
    this.nextRowId = Math.max(this.nextRowId, rowId + 1);
    if (values !== null) this.advanceSerials(values);
  }

  private advanceSerials(values: Row): void {
    this.definition.columns.forEach((column, position) => {
      const value = values[position];
      const next = this.nextSerials[position] ?? 1;
      if (column.serial && typeof value === 'number' && value >= next) {
        this.nextSerials[position] = value + 1;
      }
    });
  }

  /** Text that identifies a row in the commit log: its primary key, otherwise its row id. */
  describeKey(rowId: number, values: Row | undefined): string {
    const key = values === undefined ? undefined : this.primaryIndex?.keyOf(values);
    return key === undefined ? `#${rowId}` : String(key);
  }

  private uniqueViolation(values: Row, index: UniqueIndex<StoredRow>): ServerError {
    const { name, columns } = index.constraint;
    const names = columns.map((column) => this.definition.columns[column]?.name).join(', ');
    const shown = columns.map((column) => String(values[column])).join(', ');
    return new ServerError(
      ServerSqlState.UNIQUE_VIOLATION,
      `duplicate key value violates unique constraint "${name}"`,
      `Key (${names})=(${shown.slice(0, 200)}) already exists.`,
    );
  }
}

function setOrDelete(
  index: UniqueIndex<StoredRow>,
  key: IndexKey,
  row: StoredRow | undefined,
): void {
  if (row === undefined) index.delete(key);
  else index.set(key, row);
}
