/**
 * Finds features that transaction pooling can't support, because their state belongs to one back-end
 * connection and outlives a transaction. It searches the words, so that it also finds them in statements
 * that the parser doesn't know.
 */
import { type Token, TokenKind } from './lexer.js';

/** A feature that is refused, always or outside a transaction block. */
export interface UnsupportedFeature {
  readonly name: string;
  /** True if it is only refused outside a transaction block. */
  readonly outsideTransactionOnly: boolean;
}

const FEATURES_BY_FIRST_WORD: ReadonlyMap<string, string> = new Map([
  ['COPY', 'COPY'],
  ['LISTEN', 'LISTEN'],
  ['NOTIFY', 'NOTIFY'],
  ['UNLISTEN', 'UNLISTEN'],
  ['LOAD', 'LOAD'],
  ['DISCARD', 'DISCARD'],
  ['EXECUTE', 'SQL-level EXECUTE'],
  ['DEALLOCATE', 'SQL-level DEALLOCATE'],
]);

const FEATURES_BY_FUNCTION: ReadonlyMap<string, string> = new Map([
  ['pg_advisory_lock', 'session advisory lock'],
  ['pg_advisory_lock_shared', 'session advisory lock'],
  ['pg_try_advisory_lock', 'session advisory lock'],
  ['pg_try_advisory_lock_shared', 'session advisory lock'],
  ['pg_advisory_unlock', 'session advisory lock'],
  ['pg_advisory_unlock_shared', 'session advisory lock'],
  ['pg_advisory_unlock_all', 'session advisory lock'],
  ['pg_notify', 'NOTIFY'],
]);

const TEMPORARY_KEYWORDS: ReadonlySet<string> = new Set(['TEMP', 'TEMPORARY']);
/** Words that may stand between CREATE or INTO and TEMPORARY. */
const KEYWORDS_BEFORE_TEMPORARY: ReadonlySet<string> = new Set([
  'OR',
  'REPLACE',
  'LOCAL',
  'GLOBAL',
]);
const TRANSACTION_END_COMMANDS: ReadonlySet<string> = new Set([
  'COMMIT',
  'ROLLBACK',
  'END',
  'ABORT',
]);

/** Finds an unsupported feature of one statement; undefined if it has none. */
export function findUnsupported(tokens: readonly Token[]): UnsupportedFeature | undefined {
  const always =
    findUnicodeIdentifier(tokens) ??
    findByFirstWord(tokens) ??
    findTwoPhaseOrChain(tokens) ??
    findTemporaryObject(tokens) ??
    findByFunctionCall(tokens);
  if (always !== undefined) return { name: always, outsideTransactionOnly: false };
  return findCursor(tokens);
}

function isWord(token: Token | undefined, value: string): boolean {
  return token?.kind === TokenKind.WORD && token.value === value;
}

function hasWordSequence(tokens: readonly Token[], ...words: readonly string[]): boolean {
  return tokens.some((_, index) =>
    words.every((word, offset) => isWord(tokens[index + offset], word)),
  );
}

/** Refuses `U&"…"`: its escapes could spell any of the names searched for here. */
function findUnicodeIdentifier(tokens: readonly Token[]): string | undefined {
  const found = tokens.some(
    ({ kind, value }) => kind === TokenKind.QUOTED_IDENTIFIER && /^u&"/i.test(value),
  );
  return found ? 'U& identifier' : undefined;
}

function findByFirstWord(tokens: readonly Token[]): string | undefined {
  const [first, second] = tokens;
  if (first?.kind !== TokenKind.WORD) return undefined;
  if (first.value === 'PREPARE') {
    return isWord(second, 'TRANSACTION') ? 'two-phase commit' : 'SQL-level PREPARE';
  }
  return FEATURES_BY_FIRST_WORD.get(first.value);
}

function findTwoPhaseOrChain(tokens: readonly Token[]): string | undefined {
  const first = tokens[0]?.value ?? '';
  if (!TRANSACTION_END_COMMANDS.has(first)) return undefined;
  if (isWord(tokens[1], 'PREPARED')) return 'two-phase commit';
  const chains = hasWordSequence(tokens, 'AND', 'CHAIN');
  return chains ? `${first} AND CHAIN` : undefined;
}

/** Finds CREATE TEMP …, SELECT … INTO TEMP …, and the schema pg_temp. */
function findTemporaryObject(tokens: readonly Token[]): string | undefined {
  const names = tokens.some(
    (token) => isIdentifier(token) && /^pg_temp(_\d+)?$/i.test(token.value),
  );
  const isTemporary =
    names || tokens.some((token, index) => isTemporaryPrefix(tokens, token, index));
  return isTemporary ? 'temporary table' : undefined;
}

function isTemporaryPrefix(tokens: readonly Token[], token: Token, index: number): boolean {
  const isCreate = index === 0 && isWord(token, 'CREATE');
  if (!isCreate && !isWord(token, 'INTO')) return false;
  let next = index + 1;
  while (KEYWORDS_BEFORE_TEMPORARY.has(tokens[next]?.value ?? '')) next += 1;
  return tokens[next]?.kind === TokenKind.WORD && TEMPORARY_KEYWORDS.has(tokens[next]?.value ?? '');
}

function isIdentifier(token: Token): boolean {
  return token.kind === TokenKind.WORD || token.kind === TokenKind.QUOTED_IDENTIFIER;
}

function findByFunctionCall(tokens: readonly Token[]): string | undefined {
  for (const [index, token] of tokens.entries()) {
    if (!isIdentifier(token) || tokens[index + 1]?.value !== '(') continue;
    const name = token.value.toLowerCase();
    const feature = FEATURES_BY_FUNCTION.get(name);
    if (feature !== undefined) return feature;
    if (name === 'set_config' && !isSetConfigLocal(tokens, index + 1))
      return 'set_config beyond the transaction';
  }
  return undefined;
}

/** True if the last argument of the set_config call is TRUE: the setting ends with the transaction. */
function isSetConfigLocal(tokens: readonly Token[], parenthesisAt: number): boolean {
  let depth = 0;
  for (let index = parenthesisAt; index < tokens.length; index += 1) {
    const value = tokens[index]?.value;
    if (value === '(') depth += 1;
    if (value === ')') depth -= 1;
    if (depth === 0) return isWord(tokens[index - 1], 'TRUE') && tokens[index - 2]?.value === ',';
  }
  return false;
}

function findCursor(tokens: readonly Token[]): UnsupportedFeature | undefined {
  if (!isWord(tokens[0], 'DECLARE')) return undefined;
  if (hasWordSequence(tokens, 'WITH', 'HOLD'))
    return { name: 'WITH HOLD cursor', outsideTransactionOnly: false };
  return { name: 'DECLARE outside a transaction block', outsideTransactionOnly: true };
}
