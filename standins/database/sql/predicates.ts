/** Compiles BETWEEN, IN and ANY. */
import type { Expr, ExprBinary, ExprCall } from 'pgsql-ast-parser';
import { unsupportedError } from '../errors.js';
import type { CompiledExpression, EvaluationContext, Scope } from './evaluation.js';
import { apply, compileExpression, compilePair } from './expression.js';
import * as operators from './operators.js';
import { parseValue, type Value } from './types.js';

export function compileBetween(
  node: { value: Expr; lo: Expr; hi: Expr; op: string },
  scope: Scope,
): CompiledExpression {
  const [value, low] = compilePair(node.value, node.lo, scope);
  const high = compileExpression(node.hi, scope, value.type);
  const atLeast = apply(value, low, 'bool', operators.comparison('>='));
  const atMost = apply(value, high, 'bool', operators.comparison('<='));
  const within = apply(atLeast, atMost, 'bool', operators.and);
  if (node.op === 'BETWEEN') return within;
  return { type: 'bool', evaluate: (context) => operators.not(within.evaluate(context)) };
}

export function compileIn(node: ExprBinary, scope: Scope): CompiledExpression {
  if (node.right.type !== 'list') throw unsupportedError('IN with a subselect');
  const left = compileExpression(node.left, scope);
  const members = node.right.expressions.map((member) =>
    compileExpression(member, scope, left.type),
  );
  const equals = operators.comparison('=');
  const negate = node.op === 'NOT IN';
  const evaluate = (context: EvaluationContext): Value => {
    const value = left.evaluate(context);
    let found: Value = false;
    for (const member of members)
      found = operators.or(found, equals(value, member.evaluate(context)));
    return negate && found !== null ? !found : found;
  };
  return { type: 'bool', evaluate };
}

/** Compiles `value = ANY(array)`, with the array in PostgreSQL's text form without nested quotes. */
export function compileAny(leftNode: Expr, call: ExprCall, scope: Scope): CompiledExpression {
  const [arrayNode] = call.args;
  if (arrayNode === undefined) throw unsupportedError('ANY without an argument');
  const left = compileExpression(leftNode, scope);
  const array = compileExpression(arrayNode.type === 'cast' ? arrayNode.operand : arrayNode, scope);
  const evaluate = (context: EvaluationContext): Value => {
    const value = left.evaluate(context);
    const elements = array.evaluate(context);
    if (value === null || typeof elements !== 'string') return null;
    return parseArray(elements).some((element) => parseValue(left.type, element) === value);
  };
  return { type: 'bool', evaluate };
}

function parseArray(text: string): string[] {
  const inner = text.slice(1, -1);
  if (inner === '') return [];
  const elements = inner.match(/"(?:\\.|[^"])*"|[^,]+/g) ?? [];
  return elements.map((element) =>
    element.startsWith('"') ? element.slice(1, -1).replace(/\\(.)/g, '$1') : element,
  );
}
