/**
 * Splits SQL text into tokens by PostgreSQL's lexical rules with standard_conforming_strings on.
 * Source: PostgreSQL manual, "Lexical Structure". The grammar is not checked.
 */

export const TokenKind = {
  WHITESPACE: 0,
  COMMENT: 1,
  /** Keyword or identifier without quotes. */
  WORD: 2,
  QUOTED_IDENTIFIER: 3,
  /** Any string constant: plain, escape, bit, national, dollar-quoted. */
  STRING: 4,
  NUMBER: 5,
  /** `$1` */
  PARAMETER: 6,
  /** One character of an operator or of punctuation. */
  PUNCTUATION: 7,
  /** A string, quoted identifier or comment that doesn't end. */
  UNTERMINATED: 8,
} as const;

export type TokenKindValue = (typeof TokenKind)[keyof typeof TokenKind];

const QUOTE = 0x27;
const DOUBLE_QUOTE = 0x22;
const DOLLAR = 0x24;
const AMPERSAND = 0x26;
const ASTERISK = 0x2a;
const HYPHEN = 0x2d;
const PERIOD = 0x2e;
const SLASH = 0x2f;
const BACKSLASH = 0x5c;
const UNDERSCORE = 0x5f;
const FIRST_NON_ASCII = 0x80;
const LOWER_CASE_BIT = 0x20;
/** Prefix letters directly before a quote: bit (b), escape (e), national (n) and hex (x) strings. */
const STRING_PREFIXES = 'benx';
const LOWER_U = 0x75;
const LOWER_E = 0x65;

function isDigit(code: number): boolean {
  return code >= 0x30 && code <= 0x39;
}

function isWordStart(code: number): boolean {
  const lower = code | LOWER_CASE_BIT;
  return (lower >= 0x61 && lower <= 0x7a) || code === UNDERSCORE || code >= FIRST_NON_ASCII;
}

function isWordPart(code: number): boolean {
  return isWordStart(code) || isDigit(code) || code === DOLLAR;
}

/** Space, tab, line feed, carriage return, form feed, vertical tab. */
function isWhitespace(code: number): boolean {
  return code === 0x20 || (code >= 0x09 && code <= 0x0d);
}

/** Iterates over the tokens of a text: call `next`, then read `kind`, `start` and `end`. */
export class Lexer {
  kind: TokenKindValue = TokenKind.WHITESPACE;
  start = 0;
  end = 0;

  constructor(readonly text: string) {}

  /** Advances to the next token; false at the end of the text. */
  next(): boolean {
    this.start = this.end;
    if (this.start >= this.text.length) return false;
    this.read(this.text.charCodeAt(this.start));
    return true;
  }

  /** Text of the current token. */
  get token(): string {
    return this.text.slice(this.start, this.end);
  }

  private read(code: number): void {
    if (isWordStart(code)) this.readWord(code);
    else if (isWhitespace(code)) this.readWhitespace();
    else if (isDigit(code)) this.readNumber(this.start);
    else if (code === QUOTE) this.readQuoted(this.start + 1, QUOTE, false);
    else if (code === DOUBLE_QUOTE) this.readQuoted(this.start + 1, DOUBLE_QUOTE, false);
    else if (code === DOLLAR) this.readDollar();
    else this.readCommentOrPunctuation(code);
  }

  private set(kind: TokenKindValue, end: number): void {
    this.kind = kind;
    this.end = end;
  }

  /** Character code at an offset of the text; NaN past the end, which no comparison matches. */
  private codeAt(index: number): number {
    return this.text.charCodeAt(index);
  }

  private readWord(code: number): void {
    const next = this.codeAt(this.start + 1);
    const lower = code | LOWER_CASE_BIT;
    if (next === QUOTE && STRING_PREFIXES.includes(String.fromCharCode(lower))) {
      this.readQuoted(this.start + 2, QUOTE, lower === LOWER_E);
      return;
    }
    if (next === AMPERSAND && lower === LOWER_U) {
      const quote = this.codeAt(this.start + 2);
      if (quote === QUOTE || quote === DOUBLE_QUOTE) {
        this.readQuoted(this.start + 3, quote, false);
        return;
      }
    }
    this.set(TokenKind.WORD, this.endOfWord(this.start + 1));
  }

  private endOfWord(from: number): number {
    let index = from;
    while (isWordPart(this.codeAt(index))) index += 1;
    return index;
  }

  private readWhitespace(): void {
    let index = this.start + 1;
    while (isWhitespace(this.codeAt(index))) index += 1;
    this.set(TokenKind.WHITESPACE, index);
  }

  /** Digits, fraction, exponent. Letters that directly follow are a separate token. */
  private readNumber(from: number): void {
    let index = this.endOfDigits(from);
    if (this.codeAt(index) === PERIOD) index = this.endOfDigits(index + 1);
    if ((this.codeAt(index) | LOWER_CASE_BIT) === LOWER_E) {
      const sign = /[+-]/.test(this.text.charAt(index + 1)) ? 1 : 0;
      if (isDigit(this.codeAt(index + 1 + sign))) index = this.endOfDigits(index + 1 + sign);
    }
    this.set(TokenKind.NUMBER, index);
  }

  private endOfDigits(from: number): number {
    let index = from;
    while (isDigit(this.codeAt(index))) index += 1;
    return index;
  }

  /** `from` is the offset after the opening quote; a doubled quote stands for one quote character. */
  private readQuoted(from: number, quote: number, backslashEscapes: boolean): void {
    const kind = quote === QUOTE ? TokenKind.STRING : TokenKind.QUOTED_IDENTIFIER;
    const close = backslashEscapes ? this.endOfEscapeString(from) : this.endOfQuoted(from, quote);
    if (close === -1) this.set(TokenKind.UNTERMINATED, this.text.length);
    else this.set(kind, close + 1);
  }

  /** Offset of the closing quote; -1 if there is none. */
  private endOfQuoted(from: number, quote: number): number {
    const character = String.fromCharCode(quote);
    let close = this.text.indexOf(character, from);
    while (close !== -1 && this.codeAt(close + 1) === quote) {
      close = this.text.indexOf(character, close + 2);
    }
    return close;
  }

  private endOfEscapeString(from: number): number {
    for (let index = from; index < this.text.length; index += 1) {
      const code = this.codeAt(index);
      if (code === BACKSLASH) index += 1;
      else if (code === QUOTE && this.codeAt(index + 1) === QUOTE) index += 1;
      else if (code === QUOTE) return index;
    }
    return -1;
  }

  /** `$1`, `$$…$$`, `$tag$…$tag$`, or a lone dollar sign. */
  private readDollar(): void {
    const first = this.codeAt(this.start + 1);
    if (isDigit(first)) {
      this.set(TokenKind.PARAMETER, this.endOfDigits(this.start + 1));
      return;
    }
    let tagEnd = this.start + 1;
    if (isWordStart(first)) {
      while (isWordPart(this.codeAt(tagEnd)) && this.codeAt(tagEnd) !== DOLLAR) tagEnd += 1;
    }
    if (this.codeAt(tagEnd) !== DOLLAR) {
      this.set(TokenKind.PUNCTUATION, this.start + 1);
      return;
    }
    const delimiter = this.text.slice(this.start, tagEnd + 1);
    const close = this.text.indexOf(delimiter, tagEnd + 1);
    if (close === -1) this.set(TokenKind.UNTERMINATED, this.text.length);
    else this.set(TokenKind.STRING, close + delimiter.length);
  }

  private readCommentOrPunctuation(code: number): void {
    const next = this.codeAt(this.start + 1);
    if (code === HYPHEN && next === HYPHEN) this.readLineComment();
    else if (code === SLASH && next === ASTERISK) this.readBlockComment();
    else if (code === PERIOD && isDigit(next)) this.readNumber(this.start);
    else this.set(TokenKind.PUNCTUATION, this.start + 1);
  }

  private readLineComment(): void {
    let index = this.start + 2;
    while (index < this.text.length && this.codeAt(index) !== 0x0a && this.codeAt(index) !== 0x0d) {
      index += 1;
    }
    this.set(TokenKind.COMMENT, index);
  }

  /** Block comments nest. */
  private readBlockComment(): void {
    let depth = 1;
    let index = this.start + 2;
    while (index < this.text.length && depth > 0) {
      const code = this.codeAt(index);
      const next = this.codeAt(index + 1);
      const opens = code === SLASH && next === ASTERISK;
      const closes = code === ASTERISK && next === SLASH;
      if (opens) depth += 1;
      if (closes) depth -= 1;
      index += opens || closes ? 2 : 1;
    }
    this.set(depth === 0 ? TokenKind.COMMENT : TokenKind.UNTERMINATED, index);
  }
}

/** A token that is neither white space nor a comment. */
export interface Token {
  readonly kind: TokenKindValue;
  /** Words in upper case, `"…"` without its quotes, all else as written, including `U&"…"`. */
  readonly value: string;
  readonly start: number;
  readonly end: number;
}

/** Tokens of a text without white space and comments; undefined if one is unterminated. */
export function tokenize(text: string): readonly Token[] | undefined {
  const tokens: Token[] = [];
  const lexer = new Lexer(text);
  while (lexer.next()) {
    const { kind, start, end } = lexer;
    if (kind === TokenKind.UNTERMINATED) return undefined;
    if (kind === TokenKind.WHITESPACE || kind === TokenKind.COMMENT) continue;
    tokens.push({ kind, value: tokenValue(kind, lexer.token), start, end });
  }
  return tokens;
}

function tokenValue(kind: TokenKindValue, text: string): string {
  if (kind === TokenKind.WORD) return text.toUpperCase();
  if (kind !== TokenKind.QUOTED_IDENTIFIER || !text.startsWith('"')) return text;
  return text.slice(1, -1).replaceAll('""', '"');
}

/** Splits tokens into statements at semicolons; empty statements are omitted. */
export function splitStatements(tokens: readonly Token[]): readonly (readonly Token[])[] {
  const statements: Token[][] = [[]];
  for (const token of tokens) {
    if (token.value === ';' && token.kind === TokenKind.PUNCTUATION) statements.push([]);
    else statements.at(-1)?.push(token);
  }
  return statements.filter((statement) => statement.length > 0);
}
