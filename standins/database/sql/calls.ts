/** Compiles calls of functions and aggregates, and keywords that are equivalent to calls. */
import type { Expr, ExprCall } from 'pgsql-ast-parser';
import { ServerError, ServerSqlState, unsupportedError } from '../errors.js';
import type { CompiledExpression, EvaluationContext, Scope } from './evaluation.js';
import { compileExpression, constant, isUntyped } from './expression.js';
import { SCALAR_FUNCTIONS } from './functions.js';
import type { TypeName, Value } from './types.js';

const AGGREGATES: ReadonlySet<string> = new Set(['count', 'sum', 'min', 'max', 'avg']);

export function compileCall(
  node: ExprCall,
  scope: Scope,
  hint: TypeName | undefined,
): CompiledExpression {
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
  if (scope.aggregates === undefined) throw unsupportedError('aggregates here');
  const [argumentNode] = node.args;
  const isCountAll =
    argumentNode === undefined || (argumentNode.type === 'ref' && argumentNode.name === '*');
  const inner: Scope = { ...scope, aggregates: undefined };
  const argument = isCountAll ? undefined : compileExpression(argumentNode, inner);
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

export function compileKeyword(keyword: string): CompiledExpression {
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
  throw unsupportedError(`keyword ${keyword}`);
}
