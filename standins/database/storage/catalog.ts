/** All tables of an instance; commits transactions and replays those of a primary. */
import { ServerError, ServerSqlState } from '../errors.js';
import type { Change, TableSnapshot } from './commit-record.js';
import type { TableDefinition } from './schema.js';
import { Table } from './table.js';
import { Transaction } from './transaction.js';

export class Catalog {
  private tables = new Map<string, Table>();
  private readonly open = new Set<Transaction>();
  /** Grows with every change of definitions: a plan is good for one version only. */
  version = 1;

  get openTransactions(): number {
    return this.open.size;
  }

  find(name: string): Table | undefined {
    return this.tables.get(name);
  }

  /** Throws 42P01. */
  get(name: string): Table {
    const table = this.tables.get(name);
    if (table !== undefined) return table;
    throw new ServerError(ServerSqlState.UNDEFINED_TABLE, `relation "${name}" does not exist`);
  }

  begin(): Transaction {
    const transaction = new Transaction();
    this.open.add(transaction);
    return transaction;
  }

  /** Definitions change for all sessions at once, also before the commit: a known shortcut. */
  createTable(definition: TableDefinition, transaction: Transaction): void {
    this.put(definition.name, new Table(definition));
    transaction.definitionChanges.push({ kind: 'create-table', definition });
    transaction.onUndo(() => {
      transaction.definitionChanges.pop();
      this.put(definition.name, undefined);
    });
  }

  dropTable(name: string, transaction: Transaction): void {
    const table = this.get(name);
    this.put(name, undefined);
    transaction.definitionChanges.push({ kind: 'drop-table', table: name });
    transaction.onUndo(() => {
      transaction.definitionChanges.pop();
      this.put(name, table);
    });
  }

  private put(name: string, table: Table | undefined): void {
    this.version += 1;
    if (table === undefined) this.tables.delete(name);
    else this.tables.set(name, table);
  }

  /** The changes that a commit would make; none if the transaction wrote nothing. */
  changesOf(transaction: Transaction): Change[] {
    const changes: Change[] = [...transaction.definitionChanges];
    for (const [row, table] of transaction.touched) {
      const { pending, committed } = row;
      const vanished = pending === null && committed === undefined;
      if (pending === undefined || vanished) continue;
      const { name } = table.definition;
      if (this.find(name) !== table) continue;
      changes.push({ kind: 'row', table: name, rowId: row.id, values: pending });
    }
    return changes;
  }

  commit(transaction: Transaction): void {
    for (const [row, table] of transaction.touched) table.commitRow(row);
    this.finish(transaction);
  }

  rollback(transaction: Transaction): void {
    transaction.rollbackTo(0);
    this.finish(transaction);
  }

  private finish(transaction: Transaction): void {
    this.open.delete(transaction);
    transaction.end();
  }

  /** Keys of changed rows for the log of commits; asked before the changes are applied. */
  describe(changes: readonly Change[]): string[] {
    return changes.map((change) => {
      if (change.kind === 'create-table') return `${change.definition.name} create`;
      if (change.kind === 'drop-table') return `${change.table} drop`;
      const table = this.tables.get(change.table);
      const values = change.values ?? table?.rows.get(change.rowId)?.committed;
      const key = table?.describeKey(change.rowId, values) ?? `#${change.rowId}`;
      return `${change.table}/${key} ${change.values === null ? 'delete' : 'put'}`;
    });
  }

  /** Replays the changes of one commit. */
  apply(changes: readonly Change[]): void {
    for (const change of changes) this.applyChange(change);
  }

  private applyChange(change: Change): void {
    if (change.kind === 'row') {
      this.tables.get(change.table)?.applyVersion(change.rowId, change.values);
    } else if (change.kind === 'create-table') {
      this.put(change.definition.name, new Table(change.definition));
    } else {
      this.put(change.table, undefined);
    }
  }

  snapshot(): TableSnapshot[] {
    return [...this.tables.values()].map((table) => ({
      definition: table.definition,
      rows: [...table.rows.values()].flatMap((row) =>
        row.committed === undefined ? [] : [[row.id, row.committed] as const],
      ),
    }));
  }

  /** Replaces everything; the caller has rolled back its transactions before. */
  restore(snapshot: readonly TableSnapshot[]): void {
    this.tables = new Map();
    this.version += 1;
    for (const { definition, rows } of snapshot) {
      const table = new Table(definition);
      for (const [rowId, values] of rows) table.applyVersion(rowId, values);
      this.put(definition.name, table);
    }
  }
}
