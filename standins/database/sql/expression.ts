/** Compiles expressions of the syntax tree to functions over an evaluation context. */
import type { DataTypeDef, Expr, ExprBinary, ExprCall, ExprCase, ExprRef } from 'pgsql-ast-parser';
import { ServerError, ServerSqlState, unsupported } from '../errors.js';
import type { CompiledExpression, EvaluationContext, Scope } from './evaluation.js';
import { SCALAR_FUNCTIONS } from './functions.js';
import * as operators from './operators.js';
import {
  castValue,
  isNumericType,
  parseValue,
  type TypeName,
  typeByName,
  type Value,
} from './types.js';

const AGGREGATES: ReadonlySet<string> = new Set(['count', 'sum', 'min', 'max', 'avg']);
const INT4_MAX = 2_147_483_647;

/** `hint`: the type that the surroundings expect, for parameters and untyped literals. */
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
      throw unsupported('row constructors');
    default:
      throw unsupported(`expressions of kind ${node.type}`);
  }
}

function constant(type: TypeName, value: Value): CompiledExpression {
  return { type, evaluate: () => value };
}

function castTargetName(to: DataTypeDef): string {
  if (to.kind === 'array' || !('name' in to)) throw unsupported('array types');
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
      return (value) => (value === null ? null : value !== true);
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
      throw unsupported(`operator ${operator}`);
  }
}

function isUntyped(node: Expr): boolean {
  return node.type === 'parameter' || node.type === 'string' || node.type === 'null';
}

/** Compiles two operands so that an untyped one takes the other's type. */
function compilePair(
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
  throw unsupported(`operator ${op}`);
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

function apply(
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

function compileBetween(
  node: { value: Expr; lo: Expr; hi: Expr; op: string },
  scope: Scope,
): CompiledExpression {
  const [value, low] = compilePair(node.value, node.lo, scope);
  const high = compileExpression(node.hi, scope, value.type);
  const atLeast = apply(value, low, 'bool', operators.comparison('>='));
  const atMost = apply(value, high, 'bool', operators.comparison('<='));
  const within = apply(atLeast, atMost, 'bool', operators.and);
  if (node.op === 'BETWEEN') return within;
  const negate = unaryFunction('NOT');
  return { type: 'bool', evaluate: (context) => negate(within.evaluate(context)) };
}

function compileIn(node: ExprBinary, scope: Scope): CompiledExpression {
  if (node.right.type !== 'list') throw unsupported('IN with a subselect');
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

/** `value = ANY(array)`, the array in PostgreSQL's text form without nested quotes. */
function compileAny(leftNode: Expr, call: ExprCall, scope: Scope): CompiledExpression {
  const [arrayNode] = call.args;
  if (arrayNode === undefined) throw unsupported('ANY without an argument');
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

function compileCall(node: ExprCall, scope: Scope, hint: TypeName | undefined): CompiledExpression {
  const name = node.function.name.toLowerCase();
  if (AGGREGATES.has(name)) return compileAggregate(name, node, scope);
  const definition = Object.hasOwn(SCALAR_FUNCTIONS, name) ? SCALAR_FUNCTIONS[name] : undefined;
  const count = node.args.length;
  if (!definition || count < definition.minArguments || count > definition.maxArguments) {
    const message = `function ${name} with ${count} arguments does not exist`;
    throw new ServerError(ServerSqlState.UNDEFINED_FUNCTION, message);
  }
  const generic = definition.type === 'of-first-argument';
  const hints = generic ? hint : ARGUMENT_HINTS[name];
  const values = compileArguments(node.args, scope, hints);
  const type = definition.type === 'of-first-argument' ? firstType(values) : definition.type;
  const { call, strict } = definition;
  const evaluate = (context: EvaluationContext): Value => {
    const evaluated = values.map((value) => value.evaluate(context));
    return strict && evaluated.includes(null) ? null : call(evaluated, context);
  };
  return { type, evaluate };
}

const ARGUMENT_HINTS: Readonly<Record<string, TypeName>> = { pg_sleep: 'float8' };

function compileArguments(
  nodes: readonly Expr[],
  scope: Scope,
  hint: TypeName | undefined,
): CompiledExpression[] {
  const typed = nodes.find((node) => !isUntyped(node));
  const type = hint ?? (typed === undefined ? undefined : compileExpression(typed, scope).type);
  return nodes.map((node) =>
    compileExpression(node, scope, node.type === 'parameter' ? type : undefined),
  );
}

function firstType(values: readonly CompiledExpression[]): TypeName {
  return values[0]?.type ?? 'text';
}

function compileAggregate(name: string, node: ExprCall, scope: Scope): CompiledExpression {
  if (scope.aggregates === undefined) throw unsupported('aggregates here');
  const [argumentNode] = node.args;
  const all =
    argumentNode === undefined || (argumentNode.type === 'ref' && argumentNode.name === '*');
  const inner: Scope = { ...scope, aggregates: undefined };
  const argument = all ? undefined : compileExpression(argumentNode, inner);
  const distinct = node.distinct === 'distinct';
  const position = scope.aggregates.push({ functionName: name, argument, distinct }) - 1;
  const type = aggregateType(name, argument?.type ?? 'int8');
  return { type, evaluate: (context) => context.aggregates[position] ?? null };
}

function aggregateType(name: string, argument: TypeName): TypeName {
  if (name === 'count') return 'int8';
  if (name === 'avg') return 'numeric';
  if (name === 'sum' && (argument === 'int4' || argument === 'int2')) return 'int8';
  if (name === 'sum' && argument === 'int8') return 'numeric';
  return argument;
}

function compileKeyword(keyword: string): CompiledExpression {
  const name = keyword === 'current_timestamp' ? 'now' : undefined;
  const definition = name === undefined ? undefined : SCALAR_FUNCTIONS[name];
  if (definition !== undefined) {
    return { type: 'timestamptz', evaluate: (context) => definition.call([], context) };
  }
  if (keyword === 'current_user' || keyword === 'session_user' || keyword === 'user') {
    return { type: 'text', evaluate: (context) => context.instance.userName() };
  }
  if (keyword === 'current_catalog') {
    return { type: 'text', evaluate: (context) => context.instance.databaseName() };
  }
  if (keyword === 'current_schema') return constant('text', 'public');
  throw unsupported(`keyword ${keyword}`);
}
