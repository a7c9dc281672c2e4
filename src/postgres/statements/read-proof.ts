/**
 * Shows of a statement that it surely changes nothing. Two proofs must agree: one over its words,
 * which is cheap and lets most writes go at once, and one over its syntax tree. What neither knows
 * is no read.
 */
import { parse } from 'pgsql-ast-parser';
import { type Token, TokenKind } from './lexer.js';
import { PURE_FUNCTIONS } from './pure-functions.js';

/** The parser takes about 0.1 ms a token (measured), so that long statements are not parsed. */
const MAXIMUM_TOKENS = 300;

const FIRST_WORDS: ReadonlySet<string> = new Set(['SELECT', 'WITH', 'VALUES']);

/** Words that never stand in a statement that only reads, unless quoted. */
const WRITING_WORDS: ReadonlySet<string> = new Set([
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

/** Words that may stand before a parenthesis without calling a function. */
const WORDS_BEFORE_PARENTHESIS: ReadonlySet<string> = new Set([
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
  // Type names with a length or precision.
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

/** Nodes of a syntax tree that read only; `call` is looked at besides. */
const READING_NODES: ReadonlySet<string> = new Set([
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

/** True if the statement surely reads only. `text` holds exactly the statement of `tokens`. */
export function isSurelyRead(tokens: readonly Token[], text: string): boolean {
  const first = firstWord(tokens);
  if (first === undefined || !FIRST_WORDS.has(first)) return false;
  if (tokens.length > MAXIMUM_TOKENS) return false;
  return wordsOnlyRead(tokens) && treeOnlyReads(text);
}

/** First word, past opening parentheses. */
function firstWord(tokens: readonly Token[]): string | undefined {
  const first = tokens.find((token) => token.value !== '(');
  return first?.kind === TokenKind.WORD ? first.value : undefined;
}

function wordsOnlyRead(tokens: readonly Token[]): boolean {
  return tokens.every((token, index) => {
    const isWord = token.kind === TokenKind.WORD;
    if (isWord && WRITING_WORDS.has(token.value)) return false;
    if (tokens[index + 1]?.value !== '(') return true;
    if (token.kind === TokenKind.QUOTED_IDENTIFIER) return PURE_FUNCTIONS.has(token.value);
    return !isWord || WORDS_BEFORE_PARENTHESIS.has(token.value) || isPureFunction(token.value);
  });
}

function isPureFunction(name: string): boolean {
  return PURE_FUNCTIONS.has(name.toLowerCase());
}

function treeOnlyReads(text: string): boolean {
  try {
    const statements = parse(text);
    return statements.length === 1 && nodeOnlyReads(statements[0]);
  } catch {
    return false;
  }
}

function nodeOnlyReads(node: unknown): boolean {
  if (Array.isArray(node)) return node.every(nodeOnlyReads);
  if (typeof node !== 'object' || node === null) return true;
  if ('type' in node) {
    if (typeof node.type !== 'string' || !READING_NODES.has(node.type)) return false;
    if (node.type === 'select' && 'for' in node) return false;
    if (node.type === 'call' && 'function' in node && !callsPureFunction(node.function))
      return false;
  }
  return Object.values(node).every(nodeOnlyReads);
}

function callsPureFunction(name: unknown): boolean {
  if (typeof name !== 'object' || name === null || !('name' in name)) return false;
  if (typeof name.name !== 'string' || !isPureFunction(name.name)) return false;
  return !('schema' in name) || name.schema === undefined || name.schema === 'pg_catalog';
}
