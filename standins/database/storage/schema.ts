/** Table definitions: plain data, so that replication messages can contain them. */
import type { Expr } from 'pgsql-ast-parser';
import type { TypeName } from '../sql/types.js';

export interface ColumnDefinition {
  readonly name: string;
  readonly type: TypeName;
  readonly notNull: boolean;
  /** Takes the next number of the column's own sequence when no value is given. */
  readonly serial: boolean;
  /** Syntax tree of the DEFAULT expression; null for none. */
  readonly defaultExpression: Expr | null;
}

export interface UniqueConstraint {
  readonly name: string;
  readonly primary: boolean;
  /** Indexes into the table's columns. */
  readonly columns: readonly number[];
}

export interface TableDefinition {
  readonly name: string;
  readonly columns: readonly ColumnDefinition[];
  readonly uniqueConstraints: readonly UniqueConstraint[];
}
