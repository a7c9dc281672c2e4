/** Select lists: column names, types and the values of each row. */
import type { DataTypeDef, Expr, SelectedColumn } from 'pgsql-ast-parser';
import type { CompiledExpression, EvaluationContext, Scope } from './evaluation.js';
import { compileExpression } from './expression.js';
import type { ResultColumn } from './plan.js';
import type { Row } from './types.js';

export interface Projection {
  readonly columns: readonly ResultColumn[];
  readonly expressions: readonly CompiledExpression[];
}

export function compileProjection(selected: readonly SelectedColumn[], scope: Scope): Projection {
  const columns: ResultColumn[] = [];
  const expressions: CompiledExpression[] = [];
  const add = (name: string, expression: CompiledExpression): void => {
    columns.push({ name, type: expression.type });
    expressions.push(expression);
  };
  for (const { expr, alias } of selected) {
    if (expr.type === 'ref' && expr.name === '*') {
      scope.columns.forEach((column, position) => {
        add(column.name, columnAt(column.type, position));
      });
    } else {
      add(alias?.name ?? outputName(expr), compileExpression(expr, scope));
    }
  }
  return { columns, expressions };
}

function columnAt(type: CompiledExpression['type'], position: number): CompiledExpression {
  return { type, evaluate: (context) => context.row[position] ?? null };
}

/** The name that PostgreSQL gives to an unnamed output column. */
function outputName(node: Expr): string {
  if (node.type === 'ref') return node.name;
  if (node.type === 'call') return node.function.name;
  if (node.type === 'case') return 'case';
  if (node.type === 'cast') {
    const inner = outputName(node.operand);
    return inner === '?column?' ? castName(node.to) : inner;
  }
  if (node.type === 'keyword') return node.keyword;
  const [column] = node.type === 'select' ? (node.columns ?? []) : [];
  return column === undefined ? '?column?' : (column.alias?.name ?? outputName(column.expr));
}

const CATALOGUE_NAMES: Readonly<Record<string, string>> = {
  int: 'int4',
  integer: 'int4',
  bigint: 'int8',
  smallint: 'int2',
  boolean: 'bool',
};

function castName(target: DataTypeDef): string {
  const name = 'name' in target ? target.name : '?column?';
  return CATALOGUE_NAMES[name] ?? name;
}

export function project(projection: Projection, context: EvaluationContext): Row {
  return projection.expressions.map((expression) => expression.evaluate(context));
}
