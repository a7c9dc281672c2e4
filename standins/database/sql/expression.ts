/** Compiles expressions of the syntax tree to functions over an evaluation context. */
import type { DataTypeDef, Expr, ExprBinary, ExprCase, ExprRef } from 'pgsql-ast-parser';
import { ServerError, ServerSqlState, unsupportedError } from '../errors.js';
import { compileCall, compileKeyword } from './calls.js';
import type { CompiledExpression, EvaluationContext, Scope } from './evaluation.js';
import * as operators from './operators.js';
import { compileAny, compileBetween, compileIn } from './predicates.js';
import {
  castValue,
  isNumericType,
  parseValue,
  type TypeName,
  typeByName,
  type Value,
} from './types.js';

const INT4_MAX = 2_147_483_647;

/** `hint`: the type that the context expects, for parameters and untyped literals. */
export function compileExpression(node: Expr, scope: Scope, hint?: TypeName): CompiledExpression {
  switch (node.type) {
    case 'integer':
      return constant(Math.abs(node.value) > INT4_MAX ? 'int8' : 'int4', node.value);
    case 'numeric':
      return constant('numeric', node.value);
    case 'boolean':
      return constant('bool', node.value);
    case 'null':
      return constant(hint ?? 'text', null);
    case 'string':
      return constant(
        hint ?? 'text',
        hint === undefined ? node.value : parseValue(hint, node.value),
      );
    case 'parameter':
      return compileParameter(node.name, scope, hint);
    case 'ref':
      return compileReference(node, scope);
    case 'cast':
      return compileCast(node.operand, typeByName(castTargetName(node.to)), scope);
    case 'unary':
      return compileUnary(node.op, node.operand, scope, hint);
    case 'binary':
      return compileBinary(node, scope, hint);
    case 'ternary':
      return compileBetween(node, scope);
    case 'case':
      return compileCase(node, scope, hint);
    case 'call':
      return compileCall(node, scope, hint);
    case 'keyword':
      return compileKeyword(node.keyword);
    case 'select':
      return scope.compileSubselect(node, scope.parameters);
    case 'list':
      if (node.expressions.length === 1 && node.expressions[0] !== undefined) {
        return compileExpression(node.expressions[0], scope, hint);
      }
      throw unsupportedError('row constructors');
    default:
      throw unsupportedError(`expressions of kind ${node.type}`);
  }
}

/** A constant expression. */
export function constant(type: TypeName, value: Value): CompiledExpression {
  return { type, evaluate: () => value };
}

function castTargetName(to: DataTypeDef): string {
  if (to.kind === 'array' || !('name' in to)) throw unsupportedError('array types');
  return to.name;
}

function compileParameter(
  name: string,
  scope: Scope,
  hint: TypeName | undefined,
): CompiledExpression {
  const number = Number(name.slice(1));
  if (!Number.isInteger(number) || number < 1) {
    throw new ServerError(ServerSqlState.UNDEFINED_PARAMETER, `there is no parameter ${name}`);
  }
  const index = number - 1;
  const type = scope.parameters.resolve(index, hint);
  return { type, evaluate: (context) => context.parameters[index] ?? null };
}

function compileReference(node: ExprRef, scope: Scope): CompiledExpression {
  const table = node.table?.name;
  if (table === 'excluded' && scope.excludedColumns !== undefined) {
    const position = scope.excludedColumns.findIndex((column) => column.name === node.name);
    const column = scope.excludedColumns[position];
    if (column === undefined) throw undefinedColumn(node.name);
    return { type: column.type, evaluate: (context) => context.excluded[position] ?? null };
  }
  if (table !== undefined && table !== scope.sourceName) {
    const message = `missing FROM-clause entry for table "${table}"`;
    throw new ServerError(ServerSqlState.UNDEFINED_TABLE, message);
  }
  const position = scope.columns.findIndex((column) => column.name === node.name);
  const column = scope.columns[position];
  if (column === undefined) throw undefinedColumn(node.name);
  return { type: column.type, evaluate: (context) => context.row[position] ?? null };
}

function undefinedColumn(name: string): ServerError {
  return new ServerError(ServerSqlState.UNDEFINED_COLUMN, `column "${name}" does not exist`);
}

function compileCast(operand: Expr, type: TypeName, scope: Scope): CompiledExpression {
  const untyped = operand.type === 'parameter' || operand.type === 'string';
  return castTo(compileExpression(operand, scope, untyped ? type : undefined), type);
}

/** The expression converted to `type`. */
export function castTo(expression: CompiledExpression, type: TypeName): CompiledExpression {
  const { evaluate, type: from } = expression;
  if (from === type) return expression;
  return { type, evaluate: (context) => castValue(evaluate(context), from, type) };
}

function compileUnary(
  operator: string,
  operandNode: Expr,
  scope: Scope,
  hint: TypeName | undefined,
): CompiledExpression {
  const logical = operator !== '-' && operator !== '+';
  const operand = compileExpression(operandNode, scope, logical ? undefined : hint);
  const apply = unaryFunction(operator);
  const type = logical ? 'bool' : operand.type;
  return { type, evaluate: (context) => apply(operand.evaluate(context)) };
}

function unaryFunction(operator: string): (value: Value) => Value {
  switch (operator) {
    case 'NOT':
      return operators.not;
    case 'IS NULL':
      return (value) => value === null;
    case 'IS NOT NULL':
      return (value) => value !== null;
    case 'IS TRUE':
      return (value) => value === true;
    case 'IS NOT TRUE':
      return (value) => value !== true;
    case 'IS FALSE':
      return (value) => value === false;
    case 'IS NOT FALSE':
      return (value) => value !== false;
    case '-':
      return (value) => (value === null ? null : -Number(value));
    case '+':
      return (value) => value;
    default:
      throw unsupportedError(`operator ${operator}`);
  }
}

/** True for nodes whose type is inferred from their use. */
export function isUntyped(node: Expr): boolean {
  return node.type === 'parameter' || node.type === 'string' || node.type === 'null';
}

/** Compiles two operands so that an untyped one takes the other's type. */
export function compilePair(
  leftNode: Expr,
  rightNode: Expr,
  scope: Scope,
  hint?: TypeName,
): readonly [CompiledExpression, CompiledExpression] {
  if (isUntyped(leftNode) && !isUntyped(rightNode)) {
    const right = compileExpression(rightNode, scope, hint);
    return [compileExpression(leftNode, scope, right.type), right];
  }
  const left = compileExpression(leftNode, scope, hint);
  return [left, compileExpression(rightNode, scope, left.type)];
}

function compileBinary(
  node: ExprBinary,
  scope: Scope,
  hint: TypeName | undefined,
): CompiledExpression {
  const { op } = node;
  if (op === 'IN' || op === 'NOT IN') return compileIn(node, scope);
  if (node.right.type === 'call' && node.right.function.name === 'any' && op === '=') {
    return compileAny(node.left, node.right, scope);
  }
  if (op === 'AND' || op === 'OR') {
    return combine(node, scope, 'bool', op === 'AND' ? operators.and : operators.or);
  }
  if (op === '||') {
    const left = compileExpression(node.left, scope, untypedHint(node.left, 'text'));
    const right = compileExpression(node.right, scope, untypedHint(node.right, 'text'));
    return apply(left, right, 'text', operators.concatenate);
  }
  if (op.endsWith('LIKE')) {
    const matcher = operators.like(!op.includes('ILIKE'), op.startsWith('NOT'));
    return combine(node, scope, 'bool', matcher);
  }
  if (operators.isComparison(op)) return compileComparison(node, scope);
  if (operators.isArithmetic(op)) {
    const [left, right] = compilePair(node.left, node.right, scope, hint);
    const type = arithmeticType(left.type, right.type);
    return apply(left, right, type, operators.arithmetic(op, type));
  }
  throw unsupportedError(`operator ${op}`);
}

function untypedHint(node: Expr, type: TypeName): TypeName | undefined {
  return isUntyped(node) ? type : undefined;
}

function combine(
  node: ExprBinary,
  scope: Scope,
  type: TypeName,
  operation: operators.BinaryFunction,
): CompiledExpression {
  const [left, right] = compilePair(
    node.left,
    node.right,
    scope,
    type === 'bool' ? undefined : type,
  );
  return apply(left, right, type, operation);
}

/** A binary operation on two compiled operands. */
export function apply(
  left: CompiledExpression,
  right: CompiledExpression,
  type: TypeName,
  operation: operators.BinaryFunction,
): CompiledExpression {
  const evaluate = (context: EvaluationContext): Value =>
    operation(left.evaluate(context), right.evaluate(context));
  return { type, evaluate };
}

function compileComparison(node: ExprBinary, scope: Scope): CompiledExpression {
  const [left, right] = compilePair(node.left, node.right, scope);
  if (isNumericType(left.type) !== isNumericType(right.type)) {
    const message = `operator does not exist: ${left.type} ${node.op} ${right.type}`;
    throw new ServerError(ServerSqlState.UNDEFINED_FUNCTION, message);
  }
  return apply(left, right, 'bool', operators.comparison(node.op));
}

const NUMERIC_RANK: readonly TypeName[] = ['int2', 'int4', 'int8', 'numeric', 'float8'];

function arithmeticType(left: TypeName, right: TypeName): TypeName {
  const rank = Math.max(NUMERIC_RANK.indexOf(left), NUMERIC_RANK.indexOf(right));
  const type = NUMERIC_RANK[rank];
  if (type !== undefined && isNumericType(left) && isNumericType(right)) return type;
  const message = `operator does not exist for types ${left} and ${right}`;
  throw new ServerError(ServerSqlState.UNDEFINED_FUNCTION, message);
}

function compileCase(node: ExprCase, scope: Scope, hint: TypeName | undefined): CompiledExpression {
  const value = node.value ? node.value : undefined;
  const branches = node.whens.map((when) => {
    const test: Expr = value
      ? { type: 'binary', op: '=', left: value, right: when.when }
      : when.when;
    return {
      test: compileExpression(test, scope),
      result: compileExpression(when.value, scope, hint),
    };
  });
  const type = branches[0]?.result.type ?? 'text';
  const otherwise = node.else ? compileExpression(node.else, scope, type) : constant(type, null);
  const evaluate = (context: EvaluationContext): Value => {
    const branch = branches.find(({ test }) => test.evaluate(context) === true);
    return (branch?.result ?? otherwise).evaluate(context);
  };
  return { type, evaluate };
}
