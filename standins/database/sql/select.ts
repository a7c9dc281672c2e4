/** Compiles SELECT over one table, generate_series or no source at all. */
import type { Expr, OrderByStatement, SelectFromStatement } from 'pgsql-ast-parser';
import { unsupportedError } from '../errors.js';
import type { Catalog } from '../storage/catalog.js';
import { chooseAccessPath, type RequestedOrder } from './access-path.js';
import { accumulate } from './aggregate.js';
import type { AggregateCall, CompiledExpression, ParameterTypes, Scope } from './evaluation.js';
import { compileExpression } from './expression.js';
import { compareValues, STATUS_FUNCTIONS } from './functions.js';
import type { ExecutionContext, Plan, StatementResult } from './plan.js';
import { compileProjection, type Projection, project } from './projection.js';
import { compileSource, NO_SOURCE, type Source } from './source.js';
import { subselectCompiler } from './subselect.js';
import type { Row, Value } from './types.js';

interface SortKey {
  readonly expression: CompiledExpression;
  readonly direction: 1 | -1;
  readonly nullsFirst: boolean;
}

export function compileSelect(
  node: SelectFromStatement,
  catalog: Catalog,
  parameters: ParameterTypes,
): Plan {
  if (node.groupBy || node.having) throw unsupportedError('GROUP BY');
  if (node.distinct && node.distinct !== 'all') throw unsupportedError('DISTINCT');
  const aggregates: AggregateCall[] = [];
  const source = compileSource(node.from ?? [], catalog, parameters);
  const scope: Scope = {
    columns: source.columns,
    sourceName: source.name,
    excludedColumns: undefined,
    parameters,
    aggregates,
    compileSubselect: subselectCompiler(catalog),
  };
  const where = node.where ?? undefined;
  const rowScope: Scope = { ...scope, aggregates: undefined };
  const projection = compileProjection(node.columns ?? [], scope);
  const filter = where === undefined ? undefined : compileExpression(where, rowScope);
  const sortKeys = compileSortKeys(node.orderBy ?? [], projection, rowScope);
  const limit = compileOptional(node.limit?.limit, rowScope);
  const offset = compileOptional(node.limit?.offset, rowScope);
  const scan = compileScan(source, where, filter, node, rowScope);
  const needsSort = sortKeys.length > 0 && !scan.ordered;
  const select = (context: ExecutionContext, rows: Iterable<Row>): Iterable<Row> => {
    const first = evaluateOffset(offset, context);
    const end = first + evaluateLimit(limit, context);
    if (aggregates.length > 0) {
      return [aggregateRow(aggregates, rows, projection, context)].slice(first, end);
    }
    if (source.generate !== undefined && !needsSort) {
      return projectRows(rows, first, end, projection, context);
    }
    // Rows of a table are collected before the first is sent, so that the statement reads one state.
    const collected = takeRows(rows, needsSort ? Number.POSITIVE_INFINITY : end);
    if (needsSort) collected.sort((left, right) => compareRows(sortKeys, left, right, context));
    return projectRows(collected, first, end, projection, context);
  };
  const execute = (context: ExecutionContext): StatementResult => {
    const rows = select(context, scan.read(context));
    // Without a source the row is evaluated immediately: its calls may have side effects (pg_sleep).
    return { rows: source === NO_SOURCE ? [...rows] : rows, affected: 0 };
  };
  return {
    columns: projection.columns,
    parameters,
    writes: node.for !== undefined,
    needsSlot: source.table !== undefined || !callsOnlyStatusFunctions(node),
    execute,
    tag: (returned) => `SELECT ${returned}`,
  };
}

function compileOptional(
  node: Expr | null | undefined,
  scope: Scope,
): CompiledExpression | undefined {
  return node ? compileExpression(node, scope, 'int8') : undefined;
}

function evaluateOffset(offset: CompiledExpression | undefined, context: ExecutionContext): number {
  return Math.max(0, Number(offset?.evaluate(context) ?? 0));
}

function evaluateLimit(limit: CompiledExpression | undefined, context: ExecutionContext): number {
  const value = limit?.evaluate(context) ?? null;
  return value === null ? Number.POSITIVE_INFINITY : Math.max(0, Number(value));
}

function compileSortKeys(
  nodes: readonly OrderByStatement[],
  projection: Projection,
  scope: Scope,
): SortKey[] {
  return nodes.map((node) => {
    const descending = node.order === 'DESC';
    const nullsFirst = node.nulls ? node.nulls === 'FIRST' : descending;
    return {
      expression: sortExpression(node.by, projection, scope),
      direction: descending ? -1 : 1,
      nullsFirst,
    };
  });
}

function sortExpression(node: Expr, projection: Projection, scope: Scope): CompiledExpression {
  const name = node.type === 'ref' ? node.name : undefined;
  const position =
    node.type === 'integer'
      ? node.value - 1
      : projection.columns.findIndex((column) => column.name === name);
  return projection.expressions[position] ?? compileExpression(node, scope);
}

interface Scan {
  /** True if its rows need no further sort. */
  readonly ordered: boolean;
  readonly read: (context: ExecutionContext) => Iterable<Row>;
}

function compileScan(
  source: Source,
  where: Expr | undefined,
  filter: CompiledExpression | undefined,
  node: SelectFromStatement,
  scope: Scope,
): Scan {
  const { table, generate } = source;
  const orderBy = node.orderBy ?? [];
  if (table === undefined) {
    const read = (context: ExecutionContext): Iterable<Row> =>
      filterRows(generate?.(context) ?? [], filter, context);
    return { ordered: orderBy.length === 0, read };
  }
  const path = chooseAccessPath(table, where, scope, requestedOrder(orderBy, scope));
  const locks = node.for !== undefined;
  const read = function* (context: ExecutionContext): Generator<Row> {
    for (const stored of path.candidates(context)) {
      const row = table.visible(stored, context.transaction);
      if (row === undefined) continue;
      context.row = row;
      if (filter !== undefined && filter.evaluate(context) !== true) continue;
      if (locks) table.lock(stored, context.transaction);
      yield row;
    }
  };
  return { ordered: path.ordered || orderBy.length === 0, read };
}

function requestedOrder(
  orderBy: readonly OrderByStatement[],
  scope: Scope,
): RequestedOrder | undefined {
  const [first] = orderBy;
  if (first?.by.type !== 'ref') return undefined;
  const name = first.by.name;
  const column = scope.columns.findIndex((candidate) => candidate.name === name);
  return column < 0 ? undefined : { column, descending: first.order === 'DESC' };
}

function* filterRows(
  rows: Iterable<Row>,
  filter: CompiledExpression | undefined,
  context: ExecutionContext,
): Generator<Row> {
  for (const row of rows) {
    context.row = row;
    if (filter === undefined || filter.evaluate(context) === true) yield row;
  }
}

function takeRows(rows: Iterable<Row>, count: number): Row[] {
  const taken: Row[] = [];
  if (count <= 0) return taken;
  for (const row of rows) {
    taken.push(row);
    if (taken.length >= count) break;
  }
  return taken;
}

function* projectRows(
  rows: Iterable<Row>,
  first: number,
  end: number,
  projection: Projection,
  context: ExecutionContext,
): Generator<Row> {
  let position = 0;
  if (end <= first) return;
  for (const row of rows) {
    if (position >= first) {
      context.row = row;
      yield project(projection, context);
    }
    position += 1;
    if (position >= end) return;
  }
}

function aggregateRow(
  aggregates: readonly AggregateCall[],
  rows: Iterable<Row>,
  projection: Projection,
  context: ExecutionContext,
): Row {
  context.aggregates = accumulate(aggregates, rows, context);
  context.row = [];
  return project(projection, context);
}

function compareRows(
  keys: readonly SortKey[],
  left: Row,
  right: Row,
  context: ExecutionContext,
): number {
  for (const key of keys) {
    context.row = left;
    const leftValue = key.expression.evaluate(context);
    context.row = right;
    const order = compareWithNulls(leftValue, key.expression.evaluate(context), key);
    if (order !== 0) return order;
  }
  return 0;
}

function compareWithNulls(left: Value, right: Value, key: SortKey): number {
  if (left === null || right === null) {
    if (left === right) return 0;
    return (left === null) === key.nullsFirst ? -1 : 1;
  }
  return compareValues(left, right) * key.direction;
}

/** True if a tree calls at least one function, and only status functions. */
function callsOnlyStatusFunctions(node: SelectFromStatement): boolean {
  const names: string[] = [];
  JSON.stringify(node, (key, value: unknown) => {
    if (key === 'function' && typeof value === 'object' && value !== null && 'name' in value) {
      names.push(String(value.name));
    }
    return value;
  });
  return names.length > 0 && names.every((name) => STATUS_FUNCTIONS.has(name));
}
