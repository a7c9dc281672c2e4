/**
 * The form under which statements that differ only in literals and comments are cached: strings
 * become `'1'`, numbers `1`, parameters `$1`, lists of them and rows of such lists one of them, comments and
 * white space one space. The class of a statement depends on its words only, so that it is the same for all
 * texts of one form.
 */
import { Lexer, TokenKind, type TokenKindValue } from './lexer.js';

const STRING_PLACEHOLDER = "'1'";
const NUMBER_PLACEHOLDER = '1';
const PARAMETER_PLACEHOLDER = '$1';

/** Bounds the time that one text can take: about 0.1 s (measured). */
const MAXIMUM_TOKENS = 1_000_000;

/** A string or comment of the text doesn't end. */
export const UNTERMINATED = Symbol('unterminated');
/** The text has more tokens than are looked at. */
export const TOO_LONG = Symbol('too long');
export type NormalizeFault = typeof UNTERMINATED | typeof TOO_LONG;

/** `(1), (1), …`: rows of literals, each list already collapsed to one literal. */
const LITERAL_ROWS = /(\((?:'1'|1|\$1)\))(?:, ?\((?:'1'|1|\$1)\))+/g;

/** What a literal is replaced by; undefined for other tokens. */
function placeholderOf(kind: TokenKindValue): string | undefined {
  if (kind === TokenKind.STRING) return STRING_PLACEHOLDER;
  if (kind === TokenKind.NUMBER) return NUMBER_PLACEHOLDER;
  if (kind === TokenKind.PARAMETER) return PARAMETER_PLACEHOLDER;
  return undefined;
}

/** Normal form of a text. */
export function normalize(text: string): string | NormalizeFault {
  const normal = collapseLiterals(text);
  if (typeof normal !== 'string' || !normal.includes('),') || normal.includes('"')) return normal;
  return normal.replace(LITERAL_ROWS, '$1');
}

function collapseLiterals(text: string): string | NormalizeFault {
  const lexer = new Lexer(text);
  let normal = '';
  let spaceBefore = false;
  let afterLiteral = false;
  let commaHeld = false;
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
    if (placeholder !== undefined && commaHeld) {
      commaHeld = false;
      spaceBefore = false;
      continue;
    }
    if (commaHeld) {
      normal += ',';
      commaHeld = false;
      afterLiteral = false;
      spaceBefore = true;
    }
    if (kind === TokenKind.PUNCTUATION && afterLiteral && lexer.token === ',') {
      commaHeld = true;
      continue;
    }
    const needsSpace = spaceBefore || (afterLiteral && kind !== TokenKind.PUNCTUATION);
    if (needsSpace && normal !== '') normal += ' ';
    normal += placeholder ?? lexer.token;
    spaceBefore = false;
    afterLiteral = placeholder !== undefined;
  }
  return commaHeld ? `${normal},` : normal;
}
