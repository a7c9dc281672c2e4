/** Shared by INSERT and UPDATE: target columns, defaults, new row versions. */
import type { SelectedColumn, SetStatement } from 'pgsql-ast-parser';
import { ServerError, ServerSqlState } from '../errors.js';
import type { Catalog } from '../storage/catalog.js';
import type { StoredRow, Table } from '../storage/table.js';
import type { CompiledExpression, ParameterTypes, Scope } from './evaluation.js';
import { castTo, compileExpression } from './expression.js';
import type { ExecutionContext } from './plan.js';
import { compileProjection, type Projection } from './projection.js';
import { subselectCompiler } from './subselect.js';
import type { Row } from './types.js';

export interface Assignment {
  readonly position: number;
  readonly value: CompiledExpression;
}

export function tableScope(
  table: Table,
  alias: string | undefined,
  catalog: Catalog,
  parameters: ParameterTypes,
): Scope {
  return {
    columns: table.definition.columns,
    sourceName: alias ?? table.definition.name,
    excludedColumns: undefined,
    parameters,
    aggregates: undefined,
    compileSubselect: subselectCompiler(catalog),
  };
}

export function columnPosition(table: Table, name: string): number {
  const position = table.definition.columns.findIndex((column) => column.name === name);
  if (position >= 0) return position;
  const message = `column "${name}" of relation "${table.definition.name}" does not exist`;
  throw new ServerError(ServerSqlState.UNDEFINED_COLUMN, message);
}

export function compileReturning(
  returning: readonly SelectedColumn[] | null | undefined,
  scope: Scope,
): Projection | undefined {
  return returning ? compileProjection(returning, scope) : undefined;
}

export function checkNotNull(table: Table, row: Row): void {
  table.definition.columns.forEach((column, position) => {
    if (!column.notNull || (row[position] ?? null) !== null) return;
    const message = `null value in column "${column.name}" of relation "${table.definition.name}" violates not-null constraint`;
    throw new ServerError(ServerSqlState.NOT_NULL_VIOLATION, message);
  });
}

export function compileAssignments(
  sets: readonly SetStatement[],
  table: Table,
  scope: Scope,
): Assignment[] {
  return sets.map((set) => {
    const position = columnPosition(table, set.column.name);
    const type = table.definition.columns[position]?.type ?? 'text';
    const defaults = set.value.type === 'default' ? compileDefaults(table, scope) : [];
    const value = defaults[position] ?? castTo(compileExpression(set.value, scope, type), type);
    return { position, value };
  });
}

export function updateRow(
  table: Table,
  row: StoredRow,
  current: Row,
  assignments: readonly Assignment[],
  context: ExecutionContext,
): Row {
  const next = [...current];
  for (const { position, value } of assignments) next[position] = value.evaluate(context);
  checkNotNull(table, next);
  table.update(row, next, context.transaction);
  return next;
}

export function compileDefaults(table: Table, scope: Scope): CompiledExpression[] {
  return table.definition.columns.map((column, position) => {
    const { type, serial, defaultExpression } = column;
    if (serial) return { type, evaluate: () => table.nextSerial(position) };
    if (defaultExpression === null) return { type, evaluate: () => null };
    return castTo(compileExpression(defaultExpression, scope, type), type);
  });
}
