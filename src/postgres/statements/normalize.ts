/**
 * The form under which statements that differ only in literals and comments are cached: strings
 * become `'1'`, numbers `1`, parameters `$1`, lists of them one of them, comments and white space
 * one space. The class of a statement depends on its words only, so that it is the same for all
 * texts of one form.
 */
import { Lexer, TokenKind, type TokenKindValue } from './lexer.js';

const STRING_PLACEHOLDER = "'1'";
const NUMBER_PLACEHOLDER = '1';
const PARAMETER_PLACEHOLDER = '$1';

/** What a literal is replaced by; undefined for other tokens. */
function placeholderOf(kind: TokenKindValue): string | undefined {
  if (kind === TokenKind.STRING) return STRING_PLACEHOLDER;
  if (kind === TokenKind.NUMBER) return NUMBER_PLACEHOLDER;
  if (kind === TokenKind.PARAMETER) return PARAMETER_PLACEHOLDER;
  return undefined;
}

/** Normal form of a text; undefined if a string or comment of it doesn't end. */
export function normalize(text: string): string | undefined {
  const lexer = new Lexer(text);
  let normal = '';
  let spaceBefore = false;
  let afterLiteral = false;
  let commaHeld = false;
  while (lexer.next()) {
    const { kind } = lexer;
    if (kind === TokenKind.UNTERMINATED) return undefined;
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
