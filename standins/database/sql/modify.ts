/** Compiles UPDATE and DELETE. */
import type { DeleteStatement, Expr, SelectedColumn, UpdateStatement } from 'pgsql-ast-parser';
import { unsupportedError } from '../errors.js';
import type { Catalog } from '../storage/catalog.js';
import type { StoredRow, Table } from '../storage/table.js';
import { chooseAccessPath } from './access-path.js';
import { compileAssignments, compileReturning, tableScope, updateRow } from './assignment.js';
import type { ParameterTypes, Scope } from './evaluation.js';
import { compileExpression } from './expression.js';
import type { ExecutionContext, Plan, StatementResult } from './plan.js';
import { project } from './projection.js';
import type { Row } from './types.js';

/** Locks and collects the rows that a WHERE clause selects, before any of them is changed. */
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
  if (node.from) throw unsupportedError('UPDATE with FROM');
  const table = catalog.get(node.table.name);
  const scope = tableScope(table, node.table.alias, catalog, parameters);
  const assignments = compileAssignments(node.sets, table, scope);
  const targets = compileTargets(table, node.where ?? undefined, scope);
  return compileModification(node.returning, 'UPDATE', scope, targets, (row, context) => {
    const current = table.visible(row, context.transaction);
    if (current === undefined) return undefined;
    context.row = current;
    return updateRow(table, row, current, assignments, context);
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
  return compileModification(node.returning, 'DELETE', scope, targets, (row, context) => {
    const current = table.visible(row, context.transaction);
    table.delete(row, context.transaction);
    return current;
  });
}

function compileModification(
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
