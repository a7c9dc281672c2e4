/**
 * Proves that a statement changes nothing. Two checks must agree: one of its words, which is cheap and
 * rules out most writes at once, and one of its syntax tree. A statement with anything that a check
 * doesn't know is not a read.
 */
import { parse } from 'pgsql-ast-parser';
import { type Token, TokenKind } from './lexer.js';
import { PURE_FUNCTIONS } from './pure-functions.js';

/** The parser takes about 0.1 ms per token, so longer statements are not parsed. */
const MAXIMUM_TOKENS = 300;

const READ_FIRST_KEYWORDS: ReadonlySet<string> = new Set(['SELECT', 'WITH', 'VALUES']);

/** Keywords that never occur unquoted in a read-only statement. */
const WRITE_KEYWORDS: ReadonlySet<string> = new Set([
  'INTO',
  'INSERT',
  'UPDATE',
  'DELETE',
  'MERGE',
  'TRUNCATE',
  'CREATE',
  'DROP',
  'ALTER',
  'GRANT',
  'REVOKE',
  'SHARE',
  'EXECUTE',
  'CALL',
  'COPY',
]);

/** Keywords that may precede a parenthesis without being a function call. */
const KEYWORDS_BEFORE_PARENTHESIS: ReadonlySet<string> = new Set([
  'ALL',
  'AND',
  'ANY',
  'ARRAY',
  'AS',
  'BETWEEN',
  'BY',
  'CASE',
  'CAST',
  'DISTINCT',
  'ELSE',
  'EXCEPT',
  'EXISTS',
  'EXTRACT',
  'FILTER',
  'FROM',
  'GROUP',
  'HAVING',
  'ILIKE',
  'IN',
  'INTERSECT',
  'IS',
  'JOIN',
  'LATERAL',
  'LIKE',
  'LIMIT',
  'MATERIALIZED',
  'NOT',
  'NULLIF',
  'OFFSET',
  'ON',
  'OR',
  'OVER',
  'OVERLAY',
  'POSITION',
  'RETURNING',
  'ROW',
  'SELECT',
  'SOME',
  'SUBSTRING',
  'THEN',
  'TRIM',
  'UNION',
  'USING',
  'VALUES',
  'WHEN',
  'WHERE',
  'WITH',
  // Type names that take a length or precision.
  'BIT',
  'CHAR',
  'CHARACTER',
  'DECIMAL',
  'NUMERIC',
  'TIME',
  'TIMESTAMP',
  'VARCHAR',
  'VARYING',
]);

/** Types of syntax tree nodes that only read; for `call` the function is checked as well. */
const READ_ONLY_NODE_TYPES: ReadonlySet<string> = new Set([
  'select',
  'union',
  'union all',
  'values',
  'with',
  'with recursive',
  'table',
  'statement',
  'ref',
  'integer',
  'numeric',
  'string',
  'boolean',
  'null',
  'parameter',
  'constant',
  'call',
  'binary',
  'unary',
  'ternary',
  'cast',
  'list',
  'array',
  'array select',
  'case',
  'member',
  'arrayIndex',
  'extract',
  'substring',
  'overlay',
  'keyword',
  'interval',
  'default',
  'INNER JOIN',
  'LEFT JOIN',
  'RIGHT JOIN',
  'FULL JOIN',
  'CROSS JOIN',
]);

/** True if the statement provably only reads. `text` is exactly the source of `tokens`. */
export function isProvablyRead(tokens: readonly Token[], text: string): boolean {
  const first = firstWord(tokens);
  if (first === undefined || !READ_FIRST_KEYWORDS.has(first)) return false;
  if (tokens.length > MAXIMUM_TOKENS) return false;
  return areWordsReadOnly(tokens) && isSyntaxTreeReadOnly(text);
}

/** First word after any opening parentheses. */
function firstWord(tokens: readonly Token[]): string | undefined {
  const first = tokens.find((token) => token.value !== '(');
  return first?.kind === TokenKind.WORD ? first.value : undefined;
}

function areWordsReadOnly(tokens: readonly Token[]): boolean {
  return tokens.every((token, index) => {
    const isWord = token.kind === TokenKind.WORD;
    if (isWord && WRITE_KEYWORDS.has(token.value)) return false;
    if (tokens[index + 1]?.value !== '(') return true;
    if (token.kind === TokenKind.QUOTED_IDENTIFIER) return PURE_FUNCTIONS.has(token.value);
    return !isWord || KEYWORDS_BEFORE_PARENTHESIS.has(token.value) || isPureFunction(token.value);
  });
}

function isPureFunction(name: string): boolean {
  return PURE_FUNCTIONS.has(name.toLowerCase());
}

function isSyntaxTreeReadOnly(text: string): boolean {
  try {
    const statements = parse(text);
    return statements.length === 1 && isNodeReadOnly(statements[0]);
  } catch {
    return false;
  }
}

function isNodeReadOnly(node: unknown): boolean {
  if (Array.isArray(node)) return node.every(isNodeReadOnly);
  if (typeof node !== 'object' || node === null) return true;
  if ('type' in node) {
    if (typeof node.type !== 'string' || !READ_ONLY_NODE_TYPES.has(node.type)) return false;
    if (node.type === 'select' && 'for' in node) return false;
    if (node.type === 'call' && 'function' in node && !callsPureFunction(node.function))
      return false;
  }
  return Object.values(node).every(isNodeReadOnly);
}

function callsPureFunction(name: unknown): boolean {
  if (typeof name !== 'object' || name === null || !('name' in name)) return false;
  if (typeof name.name !== 'string' || !isPureFunction(name.name)) return false;
  return !('schema' in name) || name.schema === undefined || name.schema === 'pg_catalog';
}
