/** All tables of an instance. Commits transactions and replays the commits of a primary. */
import { ServerError, ServerSqlState } from '../errors.js';
import type { Change, TableSnapshot } from './commit-record.js';
import type { TableDefinition } from './schema.js';
import { Table } from './table.js';
import { Transaction } from './transaction.js';

export class Catalog {
  private tables = new Map<string, Table>();
  private readonly openTransactionSet = new Set<Transaction>();
  /** Increases with each change of a table definition: a plan is valid for one version only. */
  version = 1;

  get openTransactions(): number {
    return this.openTransactionSet.size;
  }

  find(name: string): Table | undefined {
    return this.tables.get(name);
  }

  /** @throws ServerError 42P01 if there is no such table. */
  get(name: string): Table {
    const table = this.tables.get(name);
    if (table !== undefined) return table;
    throw new ServerError(ServerSqlState.UNDEFINED_TABLE, `relation "${name}" does not exist`);
  }

  begin(): Transaction {
    const transaction = new Transaction();
    this.openTransactionSet.add(transaction);
    return transaction;
  }

  /** Unlike in PostgreSQL, a definition changes for all sessions immediately, before the commit. */
  createTable(definition: TableDefinition, transaction: Transaction): void {
    this.setTable(definition.name, new Table(definition));
    transaction.definitionChanges.push({ kind: 'create-table', definition });
    transaction.onUndo(() => {
      transaction.definitionChanges.pop();
      this.setTable(definition.name, undefined);
    });
  }

  dropTable(name: string, transaction: Transaction): void {
    const table = this.get(name);
    this.setTable(name, undefined);
    transaction.definitionChanges.push({ kind: 'drop-table', table: name });
    transaction.onUndo(() => {
      transaction.definitionChanges.pop();
      this.setTable(name, table);
    });
  }

  private setTable(name: string, table: Table | undefined): void {
    this.version += 1;
    if (table === undefined) this.tables.delete(name);
    else this.tables.set(name, table);
  }

  /** The changes that a commit would make; empty if the transaction wrote nothing. */
  changesOf(transaction: Transaction): Change[] {
    const changes: Change[] = [...transaction.definitionChanges];
    for (const [row, table] of transaction.touchedRows) {
      const { pending, committed } = row;
      const isTransient = pending === null && committed === undefined;
      if (pending === undefined || isTransient) continue;
      const { name } = table.definition;
      if (this.find(name) !== table) continue;
      changes.push({ kind: 'row', table: name, rowId: row.id, values: pending });
    }
    return changes;
  }

  commit(transaction: Transaction): void {
    for (const [row, table] of transaction.touchedRows) table.commitRow(row);
    this.finish(transaction);
  }

  rollback(transaction: Transaction): void {
    transaction.rollbackTo(0);
    this.finish(transaction);
  }

  private finish(transaction: Transaction): void {
    this.openTransactionSet.delete(transaction);
    transaction.end();
  }

  /** Keys of changed rows for the commit log. Must be called before the changes are applied. */
  describeChanges(changes: readonly Change[]): string[] {
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
  applyChanges(changes: readonly Change[]): void {
    for (const change of changes) this.applyChange(change);
  }

  private applyChange(change: Change): void {
    if (change.kind === 'row') {
      this.tables.get(change.table)?.applyVersion(change.rowId, change.values);
    } else if (change.kind === 'create-table') {
      this.setTable(change.definition.name, new Table(change.definition));
    } else {
      this.setTable(change.table, undefined);
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

  /** Replaces all tables. The caller must have rolled back all transactions. */
  restore(snapshot: readonly TableSnapshot[]): void {
    this.tables = new Map();
    this.version += 1;
    for (const { definition, rows } of snapshot) {
      const table = new Table(definition);
      for (const [rowId, values] of rows) table.applyVersion(rowId, values);
      this.setTable(definition.name, table);
    }
  }
}
