/** Compiles INSERT, UPDATE and DELETE. */
import type {
  DeleteStatement,
  Expr,
  InsertStatement,
  OnConflictAction,
  SelectedColumn,
  SetStatement,
  UpdateStatement,
} from 'pgsql-ast-parser';
import { ServerError, ServerSqlState, unsupported } from '../errors.js';
import type { Catalog } from '../storage/catalog.js';
import type { StoredRow, Table } from '../storage/table.js';
import { chooseAccessPath } from './access-path.js';
import type { CompiledExpression, ParameterTypes, Scope } from './evaluation.js';
import { castTo, compileExpression } from './expression.js';
import type { ExecutionContext, Plan, StatementResult } from './plan.js';
import { compileProjection, type Projection, project } from './projection.js';
import { compileSelect } from './select.js';
import { subselectCompiler } from './subselect.js';
import { castValue, type Row, type Value } from './types.js';

interface Assignment {
  readonly position: number;
  readonly value: CompiledExpression;
}

function tableScope(
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

function columnPosition(table: Table, name: string): number {
  const position = table.definition.columns.findIndex((column) => column.name === name);
  if (position >= 0) return position;
  const message = `column "${name}" of relation "${table.definition.name}" does not exist`;
  throw new ServerError(ServerSqlState.UNDEFINED_COLUMN, message);
}

function compileReturning(
  returning: readonly SelectedColumn[] | null | undefined,
  scope: Scope,
): Projection | undefined {
  return returning ? compileProjection(returning, scope) : undefined;
}

function checkNotNull(table: Table, row: Row): void {
  table.definition.columns.forEach((column, position) => {
    if (!column.notNull || (row[position] ?? null) !== null) return;
    const message = `null value in column "${column.name}" of relation "${table.definition.name}" violates not-null constraint`;
    throw new ServerError(ServerSqlState.NOT_NULL_VIOLATION, message);
  });
}

export function compileInsert(
  node: InsertStatement,
  catalog: Catalog,
  parameters: ParameterTypes,
): Plan {
  const table = catalog.get(node.into.name);
  const scope = tableScope(table, node.into.alias, catalog, parameters);
  const targets = node.columns
    ? node.columns.map((column) => columnPosition(table, column.name))
    : table.definition.columns.map((_, position) => position);
  const proposals = compileProposals(node, table, targets, scope, catalog);
  const resolve = compileConflict(node.onConflict ?? undefined, table, scope);
  const returning = compileReturning(node.returning, scope);
  const execute = (context: ExecutionContext): StatementResult => {
    const returned: Row[] = [];
    let affected = 0;
    for (const proposal of proposals(context)) {
      checkNotNull(table, proposal);
      const stored = insertOne(table, proposal, resolve, context);
      if (stored === undefined) continue;
      affected += 1;
      context.row = stored;
      if (returning !== undefined) returned.push(project(returning, context));
    }
    return { rows: returned, affected };
  };
  return {
    columns: returning?.columns,
    parameters,
    writes: true,
    needsSlot: true,
    execute,
    tag: (_, affected) => `INSERT 0 ${affected}`,
  };
}

type ConflictResolution = (
  row: StoredRow,
  proposal: Row,
  context: ExecutionContext,
) => Row | undefined;

function insertOne(
  table: Table,
  proposal: Row,
  resolve: ConflictResolution | undefined,
  context: ExecutionContext,
): Row | undefined {
  const conflict =
    resolve === undefined ? undefined : table.findConflict(proposal, context.transaction);
  if (resolve !== undefined && conflict !== undefined) {
    return resolve(conflict.row, proposal, context);
  }
  table.insert(proposal, context.transaction);
  return proposal;
}

function compileConflict(
  action: OnConflictAction | undefined,
  table: Table,
  scope: Scope,
): ConflictResolution | undefined {
  if (action === undefined) return undefined;
  checkConflictTarget(action, table);
  if (action.do === 'do nothing') return () => undefined;
  const updateScope: Scope = { ...scope, excludedColumns: table.definition.columns };
  const assignments = compileAssignments(action.do.sets, table, updateScope);
  const where = action.where ? compileExpression(action.where, updateScope) : undefined;
  return (row, proposal, context) => {
    table.lock(row, context.transaction);
    const current = table.visible(row, context.transaction);
    if (current === undefined) return undefined;
    context.row = current;
    context.excluded = proposal;
    if (where !== undefined && where.evaluate(context) !== true) return undefined;
    return updateOne(table, row, current, assignments, context);
  };
}

/** ON CONFLICT (columns) must name a unique constraint. */
function checkConflictTarget(action: OnConflictAction, table: Table): void {
  if (action.on?.type !== 'on expr') return;
  const names = action.on.exprs.map((expr) => (expr.type === 'ref' ? expr.name : ''));
  const positions = names.map((name) => columnPosition(table, name)).sort();
  const matches = table.definition.uniqueConstraints.some(
    ({ columns }) => [...columns].sort().join() === positions.join(),
  );
  if (matches) return;
  const message =
    'there is no unique or exclusion constraint matching the ON CONFLICT specification';
  throw new ServerError(ServerSqlState.INVALID_COLUMN_REFERENCE, message);
}

function compileProposals(
  node: InsertStatement,
  table: Table,
  targets: readonly number[],
  scope: Scope,
  catalog: Catalog,
): (context: ExecutionContext) => Iterable<Row> {
  const { insert } = node;
  const defaults = compileDefaults(table, scope);
  if (insert.type === 'values') {
    const compiled = insert.values.map((values) => {
      return compileValueRow(values, table, targets, scope, defaults);
    });
    return (context) => compiled.map((row) => row.map((value) => value.evaluate(context)));
  }
  if (insert.type !== 'select') throw unsupported(`INSERT from ${insert.type}`);
  const plan = compileSelect(insert, catalog, scope.parameters);
  return function* (context) {
    const inner: ExecutionContext = { ...context };
    for (const selected of [...plan.execute(inner).rows]) {
      const row: Value[] = defaults.map((value) => value.evaluate(context));
      targets.forEach((target, position) => {
        const from = plan.columns?.[position]?.type ?? 'text';
        const to = table.definition.columns[target]?.type ?? 'text';
        row[target] = castValue(selected[position] ?? null, from, to);
      });
      yield row;
    }
  };
}

function compileDefaults(table: Table, scope: Scope): CompiledExpression[] {
  return table.definition.columns.map((column, position) => {
    const { type, serial, defaultExpression } = column;
    if (serial) return { type, evaluate: () => table.nextSerial(position) };
    if (defaultExpression === null) return { type, evaluate: () => null };
    return castTo(compileExpression(defaultExpression, scope, type), type);
  });
}

function compileValueRow(
  values: readonly Expr[],
  table: Table,
  targets: readonly number[],
  scope: Scope,
  defaults: readonly CompiledExpression[],
): CompiledExpression[] {
  if (values.length > targets.length) {
    const message = 'INSERT has more expressions than target columns';
    throw new ServerError(ServerSqlState.SYNTAX_ERROR, message);
  }
  const noColumns: Scope = { ...scope, columns: [] };
  const row = [...defaults];
  values.forEach((value, position) => {
    const target = targets[position] ?? 0;
    if (value.type === 'default') return;
    const type = table.definition.columns[target]?.type ?? 'text';
    row[target] = castTo(compileExpression(value, noColumns, type), type);
  });
  return row;
}

function compileAssignments(
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

function updateOne(
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

/** Locks and collects the rows a WHERE clause selects, before any of them is changed. */
function compileTargets(
  table: Table,
  where: Expr | undefined,
  scope: Scope,
): (context: ExecutionContext) => StoredRow[] {
  const filter = where === undefined ? undefined : compileExpression(where, scope);
  const path = chooseAccessPath(table, where, scope, undefined);
  return (context) => {
    const targets: StoredRow[] = [];
    for (const stored of path.candidates(context)) {
      const row = table.visible(stored, context.transaction);
      if (row === undefined) continue;
      context.row = row;
      if (filter !== undefined && filter.evaluate(context) !== true) continue;
      table.lock(stored, context.transaction);
      targets.push(stored);
    }
    return targets;
  };
}

export function compileUpdate(
  node: UpdateStatement,
  catalog: Catalog,
  parameters: ParameterTypes,
): Plan {
  if (node.from) throw unsupported('UPDATE with FROM');
  const table = catalog.get(node.table.name);
  const scope = tableScope(table, node.table.alias, catalog, parameters);
  const assignments = compileAssignments(node.sets, table, scope);
  const targets = compileTargets(table, node.where ?? undefined, scope);
  return modification(node.returning, 'UPDATE', scope, targets, (row, context) => {
    const current = table.visible(row, context.transaction);
    if (current === undefined) return undefined;
    context.row = current;
    return updateOne(table, row, current, assignments, context);
  });
}

export function compileDelete(
  node: DeleteStatement,
  catalog: Catalog,
  parameters: ParameterTypes,
): Plan {
  const table = catalog.get(node.from.name);
  const scope = tableScope(table, node.from.alias, catalog, parameters);
  const targets = compileTargets(table, node.where ?? undefined, scope);
  return modification(node.returning, 'DELETE', scope, targets, (row, context) => {
    const current = table.visible(row, context.transaction);
    table.delete(row, context.transaction);
    return current;
  });
}

function modification(
  selected: readonly SelectedColumn[] | null | undefined,
  command: 'UPDATE' | 'DELETE',
  scope: Scope,
  targets: (context: ExecutionContext) => StoredRow[],
  change: (row: StoredRow, context: ExecutionContext) => Row | undefined,
): Plan {
  const returning = compileReturning(selected, scope);
  const execute = (context: ExecutionContext): StatementResult => {
    const returned: Row[] = [];
    const stored = targets(context);
    for (const row of stored) {
      const changed = change(row, context);
      if (returning === undefined || changed === undefined) continue;
      context.row = changed;
      returned.push(project(returning, context));
    }
    return { rows: returned, affected: stored.length };
  };
  return {
    columns: returning?.columns,
    parameters: scope.parameters,
    writes: true,
    needsSlot: true,
    execute,
    tag: (_, affected) => `${command} ${affected}`,
  };
}
