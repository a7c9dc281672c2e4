/** Operators of the SQL subset over values, with SQL's three-valued logic. */
import { ServerError, ServerSqlState, unsupportedError } from '../errors.js';
import { compareValues } from './functions.js';
import { formatValue, isIntegerType, type TypeName, type Value } from './types.js';

export type BinaryFunction = (left: Value, right: Value) => Value;

const COMPARISONS: Readonly<Record<string, (order: number) => boolean>> = {
  '=': (order) => order === 0,
  '!=': (order) => order !== 0,
  '<>': (order) => order !== 0,
  '<': (order) => order < 0,
  '<=': (order) => order <= 0,
  '>': (order) => order > 0,
  '>=': (order) => order >= 0,
};

const ARITHMETIC: ReadonlySet<string> = new Set(['+', '-', '*', '/', '%']);

export function isComparison(operator: string): boolean {
  return Object.hasOwn(COMPARISONS, operator);
}

export function isArithmetic(operator: string): boolean {
  return ARITHMETIC.has(operator);
}

export function comparison(operator: string): BinaryFunction {
  const isSatisfied = COMPARISONS[operator];
  if (isSatisfied === undefined) throw unsupportedError(`operator ${operator}`);
  if (operator === '=') {
    return (left, right) => (left === null || right === null ? null : left === right);
  }
  return (left, right) =>
    left === null || right === null ? null : isSatisfied(compareValues(left, right));
}

export function not(value: Value): Value {
  return value === null ? null : value !== true;
}

export function and(left: Value, right: Value): Value {
  if (left === false || right === false) return false;
  return left === null || right === null ? null : true;
}

export function or(left: Value, right: Value): Value {
  if (left === true || right === true) return true;
  return left === null || right === null ? null : false;
}

export function concatenate(left: Value, right: Value): Value {
  if (left === null || right === null) return null;
  return textOf(left) + textOf(right);
}

function textOf(value: string | number | boolean): string {
  return typeof value === 'boolean' ? String(value) : formatValue(value);
}

/** Arithmetic in the result type; integers truncate and are checked against their limits. */
export function arithmetic(operator: string, type: TypeName): BinaryFunction {
  const whole = isIntegerType(type);
  return (left, right) => {
    if (left === null || right === null) return null;
    const result = calculate(operator, Number(left), Number(right));
    return whole ? checkRange(Math.trunc(result), type) : result;
  };
}

function calculate(operator: string, left: number, right: number): number {
  if (operator === '+') return left + right;
  if (operator === '-') return left - right;
  if (operator === '*') return left * right;
  if (right === 0) throw new ServerError(ServerSqlState.DIVISION_BY_ZERO, 'division by zero');
  return operator === '/' ? left / right : left % right;
}

const LIMITS: Readonly<Partial<Record<TypeName, number>>> = { int2: 32_767, int4: 2_147_483_647 };

function checkRange(value: number, type: TypeName): number {
  const limit = LIMITS[type] ?? Number.MAX_SAFE_INTEGER;
  if (Math.abs(value) <= limit) return value;
  throw new ServerError(ServerSqlState.NUMERIC_OUT_OF_RANGE, `${type} out of range`);
}

/** LIKE with `%`, `_` and backslash as escape. */
export function like(caseSensitive: boolean, negated: boolean): BinaryFunction {
  let lastPattern: string | undefined;
  let expression = /^/;
  return (left, right) => {
    if (left === null || right === null) return null;
    const pattern = formatValue(right);
    if (pattern !== lastPattern) {
      expression = likeExpression(pattern, caseSensitive);
      lastPattern = pattern;
    }
    return expression.test(formatValue(left)) !== negated;
  };
}

function likeExpression(pattern: string, caseSensitive: boolean): RegExp {
  const source = pattern.replace(/\\([\s\S])|[\s\S]/g, (unit, escaped?: string) => {
    if (escaped !== undefined) return quote(escaped);
    if (unit === '%') return '[\\s\\S]*';
    return unit === '_' ? '[\\s\\S]' : quote(unit);
  });
  return new RegExp(`^${source}$`, caseSensitive ? 'u' : 'iu');
}

function quote(character: string): string {
  return /[$()*+.?[\\\]^{|}/]/.test(character) ? `\\${character}` : character;
}
