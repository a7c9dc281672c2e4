/**
 * Computes the normal form of a statement, the key under which its classification is cached. Strings
 * become `'1'`, numbers `1`, parameters `$1`; a list of literals becomes one literal, rows of such lists
 * become one row, and comments and white space one space. Texts with the same normal form have the same
 * classification, as that depends on the words of a statement only.
 */
import { Lexer, TokenKind, type TokenKindValue } from './lexer.js';

const STRING_PLACEHOLDER = "'1'";
const NUMBER_PLACEHOLDER = '1';
const PARAMETER_PLACEHOLDER = '$1';

/** Bounds the time spent on one text to about 0.1 s. */
const MAXIMUM_TOKENS = 1_000_000;

/** The text has an unterminated string, quoted identifier or comment. */
export const UNTERMINATED = Symbol('unterminated');
/** The text has more than MAXIMUM_TOKENS tokens. */
export const TOO_LONG = Symbol('too long');
export type NormalizationFailure = typeof UNTERMINATED | typeof TOO_LONG;

/** Matches `(1), (1), …`: rows of literals, each list already collapsed to one literal. */
const LITERAL_ROWS = /(\((?:'1'|1|\$1)\))(?:, ?\((?:'1'|1|\$1)\))+/g;

/** Placeholder of a literal or parameter; undefined for other tokens. */
function placeholderOf(kind: TokenKindValue): string | undefined {
  if (kind === TokenKind.STRING) return STRING_PLACEHOLDER;
  if (kind === TokenKind.NUMBER) return NUMBER_PLACEHOLDER;
  if (kind === TokenKind.PARAMETER) return PARAMETER_PLACEHOLDER;
  return undefined;
}

/** Returns the normal form of a text, or why it has none. */
export function normalize(text: string): string | NormalizationFailure {
  const normal = collapseLiterals(text);
  if (typeof normal !== 'string' || !normal.includes('),') || normal.includes('"')) return normal;
  return normal.replace(LITERAL_ROWS, '$1');
}

function collapseLiterals(text: string): string | NormalizationFailure {
  const lexer = new Lexer(text);
  let normal = '';
  let spaceBefore = false;
  let afterLiteral = false;
  let isCommaPending = false;
  let tokenCount = 0;
  while (lexer.next()) {
    const { kind } = lexer;
    tokenCount += 1;
    if (kind === TokenKind.UNTERMINATED) return UNTERMINATED;
    if (tokenCount > MAXIMUM_TOKENS) return TOO_LONG;
    if (kind === TokenKind.WHITESPACE || kind === TokenKind.COMMENT) {
      spaceBefore = true;
      continue;
    }
    const placeholder = placeholderOf(kind);
    if (placeholder !== undefined && isCommaPending) {
      isCommaPending = false;
      spaceBefore = false;
      continue;
    }
    if (isCommaPending) {
      normal += ',';
      isCommaPending = false;
      afterLiteral = false;
      spaceBefore = true;
    }
    if (kind === TokenKind.PUNCTUATION && afterLiteral && lexer.token === ',') {
      isCommaPending = true;
      continue;
    }
    const needsSpace = spaceBefore || (afterLiteral && kind !== TokenKind.PUNCTUATION);
    if (needsSpace && normal !== '') normal += ' ';
    normal += placeholder ?? lexer.token;
    spaceBefore = false;
    afterLiteral = placeholder !== undefined;
  }
  return isCommaPending ? `${normal},` : normal;
}
