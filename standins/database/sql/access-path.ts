/** Chooses how a table is read: by unique key, by a key range, or by a full scan. */
import type { Expr } from 'pgsql-ast-parser';
import type { StoredRow, Table } from '../storage/table.js';
import type { IndexKey, UniqueIndex } from '../storage/unique-index.js';
import type { CompiledExpression, EvaluationContext, Scope } from './evaluation.js';
import { compileExpression } from './expression.js';
import { isNumericType, type TypeName, type Value } from './types.js';

/** Row order that the statement needs. */
export interface RequestedOrder {
  readonly column: number;
  readonly descending: boolean;
}

export interface AccessPath {
  /** True if rows are returned in the requested order. */
  readonly ordered: boolean;
  readonly candidates: (context: EvaluationContext) => Iterable<StoredRow>;
}

interface Bound {
  readonly operator: string;
  readonly value: CompiledExpression;
}

/** Candidates may include rows that the WHERE clause does not select: the reader filters them. */
export function chooseAccessPath(
  table: Table,
  where: Expr | undefined,
  scope: Scope,
  order: RequestedOrder | undefined,
): AccessPath {
  const conditions = where === undefined ? [] : conjuncts(where);
  const indexes = table.indexes.filter((index) => index.column !== undefined);
  for (const index of indexes) {
    const path = pointPath(index, conditions, scope);
    if (path !== undefined) return path;
  }
  const ordering = indexes.find(
    (index) => index.column === order?.column && containsAllRows(table, index),
  );
  if (order !== undefined && ordering !== undefined) {
    return rangePath(ordering, boundsOf(ordering, conditions, scope), order.descending, true);
  }
  for (const index of indexes) {
    const bounds = boundsOf(index, conditions, scope);
    if (bounds.length > 0) return rangePath(index, bounds, false, false);
  }
  return { ordered: false, candidates: () => table.rows.values() };
}

/** An index on a column without nulls contains every row, so that it can replace a full scan. */
function containsAllRows(table: Table, index: UniqueIndex<StoredRow>): boolean {
  const column = index.column === undefined ? undefined : table.definition.columns[index.column];
  return column?.notNull === true;
}

function conjuncts(node: Expr): Expr[] {
  if (node.type !== 'binary' || node.op !== 'AND') return [node];
  return [...conjuncts(node.left), ...conjuncts(node.right)];
}

function columnOf(node: Expr, scope: Scope): number | undefined {
  if (node.type !== 'ref') return undefined;
  const position = scope.columns.findIndex((column) => column.name === node.name);
  return position < 0 ? undefined : position;
}

function isFreeOfColumns(node: Expr): boolean {
  if (node.type === 'ref' || node.type === 'select') return false;
  if (node.type === 'binary') return isFreeOfColumns(node.left) && isFreeOfColumns(node.right);
  if (node.type === 'cast' || node.type === 'unary') return isFreeOfColumns(node.operand);
  // ANY denotes the elements of an array, not one value.
  if (node.type === 'call') {
    return node.function.name !== 'any' && node.args.every(isFreeOfColumns);
  }
  return ['parameter', 'integer', 'string', 'numeric', 'boolean'].includes(node.type);
}

/** The compiled value if it can be a key of the column without conversion to another kind of type. */
function keyValue(node: Expr, column: number, scope: Scope): CompiledExpression | undefined {
  const type = scope.columns[column]?.type;
  if (type === undefined || !isFreeOfColumns(node)) return undefined;
  const value = compileExpression(node, scope, type);
  return isSameKind(value.type, type) ? value : undefined;
}

function isSameKind(left: TypeName, right: TypeName): boolean {
  return isNumericType(left) === isNumericType(right) && (left === 'bool') === (right === 'bool');
}

function pointPath(
  index: UniqueIndex<StoredRow>,
  conditions: readonly Expr[],
  scope: Scope,
): AccessPath | undefined {
  for (const condition of conditions) {
    const values = pointValues(index.column, condition, scope);
    if (values !== undefined) return { ordered: false, candidates: lookup(index, values) };
  }
  return undefined;
}

function pointValues(
  column: number | undefined,
  node: Expr,
  scope: Scope,
): CompiledExpression[] | undefined {
  if (node.type !== 'binary' || column === undefined) return undefined;
  const isLeftColumn = columnOf(node.left, scope) === column;
  if (node.op === '=' && columnOf(node.right, scope) === column) {
    return allDefined([keyValue(node.left, column, scope)]);
  }
  if (!isLeftColumn) return undefined;
  if (node.op === '=') return allDefined([keyValue(node.right, column, scope)]);
  if (node.op !== 'IN' || node.right.type !== 'list') return undefined;
  return allDefined(node.right.expressions.map((member) => keyValue(member, column, scope)));
}

function allDefined<T>(values: readonly (T | undefined)[]): T[] | undefined {
  const defined = values.filter((value): value is T => value !== undefined);
  return defined.length === values.length ? defined : undefined;
}

function lookup(
  index: UniqueIndex<StoredRow>,
  values: readonly CompiledExpression[],
): AccessPath['candidates'] {
  const [only] = values;
  if (values.length === 1 && only !== undefined) {
    return (context) => {
      const row = find(index, only.evaluate(context));
      return row === undefined ? [] : [row];
    };
  }
  return (context) => {
    const keys = new Set(values.map((value) => value.evaluate(context)));
    return [...keys].flatMap((key) => find(index, key) ?? []);
  };
}

function find(index: UniqueIndex<StoredRow>, key: Value): StoredRow | undefined {
  return key === null ? undefined : index.get(key);
}

function boundsOf(
  index: UniqueIndex<StoredRow>,
  conditions: readonly Expr[],
  scope: Scope,
): Bound[] {
  const { column } = index;
  return column === undefined ? [] : conditions.flatMap((node) => bounds(column, node, scope));
}

const MIRRORED: Readonly<Record<string, string>> = { '<': '>', '<=': '>=', '>': '<', '>=': '<=' };

function bounds(column: number, node: Expr, scope: Scope): Bound[] {
  if (node.type === 'ternary' && node.op === 'BETWEEN' && columnOf(node.value, scope) === column) {
    return [...bound('>=', node.lo, column, scope), ...bound('<=', node.hi, column, scope)];
  }
  if (node.type !== 'binary' || !Object.hasOwn(MIRRORED, node.op)) return [];
  if (columnOf(node.left, scope) === column) return bound(node.op, node.right, column, scope);
  const mirrored = MIRRORED[node.op];
  if (mirrored === undefined || columnOf(node.right, scope) !== column) return [];
  return bound(mirrored, node.left, column, scope);
}

function bound(operator: string, node: Expr, column: number, scope: Scope): Bound[] {
  const value = keyValue(node, column, scope);
  return value === undefined ? [] : [{ operator, value }];
}

function rangePath(
  index: UniqueIndex<StoredRow>,
  limits: readonly Bound[],
  descending: boolean,
  ordered: boolean,
): AccessPath {
  const candidates = (context: EvaluationContext): Iterable<StoredRow> => {
    let from: IndexKey | undefined;
    let to: IndexKey | undefined;
    for (const { operator, value } of limits) {
      const key = value.evaluate(context);
      if (key === null) return [];
      if (operator.startsWith('>')) from = from === undefined || key > from ? key : from;
      else to = to === undefined || key < to ? key : to;
    }
    return index.scan({ from, to }, descending);
  };
  return { ordered, candidates };
}
