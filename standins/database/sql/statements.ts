/**
 * Splits SQL text into statements and parses each. Statements that control the session are parsed
 * here, since the parser library supports only some of them; others become its syntax tree.
 */
import { parse, type Statement } from 'pgsql-ast-parser';
import { ServerError, ServerSqlState } from '../errors.js';
import { parameterize } from './literals.js';
import type { TypeName } from './types.js';

export interface BeginStatement {
  readonly kind: 'begin';
  readonly readOnly: boolean;
  readonly tag: 'BEGIN' | 'START TRANSACTION';
}
export interface SavepointStatement {
  readonly kind: 'savepoint' | 'release' | 'rollback-to';
  readonly name: string;
}
export interface SettingStatement {
  readonly kind: 'set';
  readonly name: string;
  /** Undefined: reset to the default. */
  readonly value: string | undefined;
  readonly tag: 'SET' | 'RESET';
  /** SET LOCAL: until the end of the transaction. */
  readonly local: boolean;
}
export interface ShowStatement {
  readonly kind: 'show';
  readonly name: string;
}
export interface DeallocateStatement {
  readonly kind: 'deallocate';
  /** Undefined: all. */
  readonly name: string | undefined;
}
export interface PlainStatement {
  readonly kind: 'commit' | 'rollback' | 'reset-all' | 'discard-all';
}
export interface QueryStatement {
  readonly kind: 'query';
  readonly text: string;
  readonly syntaxTree: Statement;
}

export type ParsedStatement =
  | BeginStatement
  | SavepointStatement
  | SettingStatement
  | ShowStatement
  | DeallocateStatement
  | PlainStatement
  | QueryStatement;

const MAX_CACHED_TEXTS = 2_000;
/** Longer texts (large inline values) are parsed each time instead of cached. */
const MAX_CACHED_TEXT_LENGTH = 8_192;
const cache = new Map<string, ParsedStatement>();

/** A statement of a simple query, with its literals replaced by parameters where possible. */
export interface SimpleStatement {
  readonly statement: ParsedStatement;
  readonly types: readonly (TypeName | undefined)[];
  readonly values: readonly string[];
}

/** Tokens that matter for splitting: strings, quoted names, comments, dollar quotes, semicolons. */
const TOKENS =
  /'(?:[^']|'')*'|"(?:[^"]|"")*"|--[^\n]*|\/\*[\s\S]*?\*\/|\$([A-Za-z_]\w*)?\$[\s\S]*?\$\1\$|;/g;

/** The statements of a text, with comments and empty statements removed. */
export function splitStatements(text: string): string[] {
  const statements: string[] = [];
  let current = '';
  let offset = 0;
  for (const match of text.matchAll(TOKENS)) {
    const token = match[0];
    current += text.slice(offset, match.index);
    offset = match.index + token.length;
    if (token === ';') {
      statements.push(current);
      current = '';
    } else {
      current += token.startsWith('--') || token.startsWith('/*') ? ' ' : token;
    }
  }
  statements.push(current + text.slice(offset));
  return statements.map((statement) => statement.trim()).filter((statement) => statement !== '');
}

/** Parses a text of any number of statements, with a bounded cache. @throws ServerError 42601. */
export function parseStatements(text: string): readonly ParsedStatement[] {
  return splitStatements(text).map(parseCached);
}

/** Parses the text of a simple query. @throws ServerError 42601. */
export function parseSimpleQuery(text: string): readonly SimpleStatement[] {
  return splitStatements(text).map((statement) => {
    const parameterized = cache.has(statement) ? undefined : parameterize(statement);
    if (parameterized === undefined) return parseWithoutParameters(statement);
    try {
      const { types, values } = parameterized;
      return { statement: parseCached(parameterized.text), types, values };
    } catch {
      // Either the grammar allows a literal but no parameter here, or the text itself is invalid.
      return parseWithoutParameters(statement);
    }
  });
}

function parseWithoutParameters(text: string): SimpleStatement {
  return { statement: parseCached(text), types: [], values: [] };
}

function parseCached(text: string): ParsedStatement {
  const cached = cache.get(text);
  if (cached !== undefined) return cached;
  const parsed = parseSessionStatement(text) ?? parseQuery(text);
  if (text.length > MAX_CACHED_TEXT_LENGTH) return parsed;
  if (cache.size >= MAX_CACHED_TEXTS) {
    const oldest = cache.keys().next();
    if (!oldest.done) cache.delete(oldest.value);
  }
  cache.set(text, parsed);
  return parsed;
}

function parseQuery(text: string): QueryStatement {
  return { kind: 'query', text, syntaxTree: parseTree(text) };
}

function parseTree(text: string): Statement {
  let trees: Statement[];
  try {
    trees = parse(text);
  } catch (error) {
    throw syntaxError(text, error);
  }
  const [tree] = trees;
  if (tree === undefined) throw syntaxError(text, undefined);
  return tree;
}

function syntaxError(text: string, cause: unknown): ServerError {
  const reason = cause instanceof Error ? (cause.message.split('\n')[0] ?? '') : 'no statement';
  const shown = text.slice(0, 80);
  return new ServerError(ServerSqlState.SYNTAX_ERROR, `syntax error in "${shown}": ${reason}`);
}

const BEGIN_PATTERN = /^(begin|start\s+transaction)(?:\s+(?:work|transaction))?\b([\s\S]*)$/i;
const COMMIT_PATTERN = /^(?:commit|end)(?:\s+(?:work|transaction))?$/i;
const ROLLBACK_PATTERN = /^(?:rollback|abort)(?:\s+(?:work|transaction))?$/i;
const ROLLBACK_TO_PATTERN = /^rollback(?:\s+(?:work|transaction))?\s+to\s+(?:savepoint\s+)?(\w+)$/i;
const SAVEPOINT_PATTERN = /^savepoint\s+(\w+)$/i;
const RELEASE_PATTERN = /^release\s+(?:savepoint\s+)?(\w+)$/i;
const SET_TRANSACTION_PATTERN =
  /^set\s+(?:(session)\s+characteristics\s+as\s+|local\s+)?transaction\s+([\s\S]+)$/i;
const SET_PATTERN = /^set\s+(?:(session|local)\s+)?([\w.]+)\s*(?:=|\s+to\s+)\s*([\s\S]+)$/i;
const RESET_PATTERN = /^reset\s+([\w.]+)$/i;
const SHOW_PATTERN = /^show\s+(transaction\s+isolation\s+level|[\w.]+)$/i;
const DEALLOCATE_PATTERN = /^deallocate\s+(?:prepare\s+)?("[^"]+"|\w+)$/i;
const SESSION_START =
  /^(begin|start|commit|end|rollback|abort|savepoint|release|set|reset|show|d)/i;

function parseSessionStatement(text: string): ParsedStatement | undefined {
  if (!SESSION_START.test(text)) return undefined;
  return parseTransactionControl(text) ?? parseSetting(text) ?? parseDeallocate(text);
}

function parseTransactionControl(text: string): ParsedStatement | undefined {
  const begin = BEGIN_PATTERN.exec(text);
  if (begin !== null) {
    const tag = /^begin/i.test(text) ? 'BEGIN' : 'START TRANSACTION';
    return { kind: 'begin', readOnly: /read\s+only/i.test(begin[2] ?? ''), tag };
  }
  if (COMMIT_PATTERN.test(text)) return { kind: 'commit' };
  if (ROLLBACK_PATTERN.test(text)) return { kind: 'rollback' };
  return (
    parseSavepoint('rollback-to', ROLLBACK_TO_PATTERN, text) ??
    parseSavepoint('savepoint', SAVEPOINT_PATTERN, text) ??
    parseSavepoint('release', RELEASE_PATTERN, text)
  );
}

function parseSavepoint(
  kind: SavepointStatement['kind'],
  pattern: RegExp,
  text: string,
): SavepointStatement | undefined {
  const name = pattern.exec(text)?.[1];
  return name === undefined ? undefined : { kind, name: name.toLowerCase() };
}

function parseSetting(text: string): ParsedStatement | undefined {
  const transaction = SET_TRANSACTION_PATTERN.exec(text);
  if (transaction !== null) return parseTransactionSetting(transaction);
  const set = SET_PATTERN.exec(text);
  if (set?.[2] !== undefined && set[3] !== undefined) {
    const value = unquote(set[3]);
    const local = set[1]?.toLowerCase() === 'local';
    return {
      kind: 'set',
      name: set[2].toLowerCase(),
      value: value.toLowerCase() === 'default' ? undefined : value,
      tag: 'SET',
      local,
    };
  }
  const reset = RESET_PATTERN.exec(text)?.[1]?.toLowerCase();
  if (reset === 'all') return { kind: 'reset-all' };
  if (reset !== undefined) {
    return { kind: 'set', name: reset, value: undefined, tag: 'RESET', local: false };
  }
  const show = SHOW_PATTERN.exec(text)?.[1]?.toLowerCase().replace(/\s+/g, '_');
  return show === undefined ? undefined : { kind: 'show', name: show };
}

function parseTransactionSetting(match: RegExpExecArray): SettingStatement {
  const forSession = match[1] !== undefined;
  const name = forSession ? 'default_transaction_read_only' : 'transaction_read_only';
  const value = /read\s+only/i.test(match[2] ?? '') ? 'on' : 'off';
  return { kind: 'set', name, value, tag: 'SET', local: !forSession };
}

function parseDeallocate(text: string): ParsedStatement | undefined {
  if (/^discard\s+all$/i.test(text)) return { kind: 'discard-all' };
  const name = DEALLOCATE_PATTERN.exec(text)?.[1];
  if (name === undefined) return undefined;
  return { kind: 'deallocate', name: name.toLowerCase() === 'all' ? undefined : unquote(name) };
}

function unquote(text: string): string {
  const trimmed = text.trim();
  const quoted = /^'([\s\S]*)'$/.exec(trimmed)?.[1];
  if (quoted !== undefined) return quoted.replaceAll("''", "'");
  return /^"([\s\S]*)"$/.exec(trimmed)?.[1] ?? trimmed;
}
