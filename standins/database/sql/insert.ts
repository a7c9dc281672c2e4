/** Compiles INSERT with its ON CONFLICT clause. */
import type { Expr, InsertStatement, OnConflictAction } from 'pgsql-ast-parser';
import { ServerError, ServerSqlState, unsupportedError } from '../errors.js';
import type { Catalog } from '../storage/catalog.js';
import type { StoredRow, Table } from '../storage/table.js';
import {
  checkNotNull,
  columnPosition,
  compileAssignments,
  compileDefaults,
  compileReturning,
  tableScope,
  updateRow,
} from './assignment.js';
import type { CompiledExpression, ParameterTypes, Scope } from './evaluation.js';
import { castTo, compileExpression } from './expression.js';
import type { ExecutionContext, Plan, StatementResult } from './plan.js';
import { project } from './projection.js';
import { compileSelect } from './select.js';
import { castValue, type Row, type Value } from './types.js';

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
  const resolveConflict = compileConflict(node.onConflict ?? undefined, table, scope);
  const returning = compileReturning(node.returning, scope);
  const execute = (context: ExecutionContext): StatementResult => {
    const returned: Row[] = [];
    let affected = 0;
    for (const proposal of proposals(context)) {
      checkNotNull(table, proposal);
      const stored = insertRow(table, proposal, resolveConflict, context);
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

function insertRow(
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
    return updateRow(table, row, current, assignments, context);
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
  if (insert.type !== 'select') throw unsupportedError(`INSERT from ${insert.type}`);
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
