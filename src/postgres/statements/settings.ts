/**
 * SET, RESET and SHOW. Settings of `meadowstack.*` are the gateway's own. Others would stay on a
 * pooled connection and reach its next user, so that only those that change nothing are taken.
 */
import type { SessionSetting } from '../contract.js';
import { type Token, TokenKind } from './lexer.js';

export const PROJECT_SETTING_PREFIX = 'meadowstack.';

/** What a SET, RESET or SHOW is. */
export type SettingClass =
  | { readonly type: 'gateway'; readonly setting: SessionSetting }
  /** Ends with the transaction, or only looks. */
  | { readonly type: 'relay' }
  | { readonly type: 'unsupported'; readonly feature: string };

const RELAY: SettingClass = { type: 'relay' };

/** Values that are in force anyway, lower case and without white space; drivers send them. */
const VALUES_IN_FORCE: ReadonlyMap<string, ReadonlySet<string>> = new Map(
  Object.entries({
    bytea_output: ['hex'],
    client_encoding: ['utf8', 'utf-8', 'unicode'],
    client_min_messages: ['notice', 'warning'],
    datestyle: ['iso', 'iso,mdy'],
    default_transaction_read_only: ['off', 'false'],
    // From 1 on the shortest exact form is used.
    extra_float_digits: ['1', '2', '3'],
    intervalstyle: ['postgres'],
    names: ['utf8', 'utf-8', 'unicode'],
    standard_conforming_strings: ['on', 'true'],
    statement_timeout: ['0'],
    timezone: ['utc'],
  }).map(([name, values]) => [name, new Set(values)]),
);

/** Parameters whose value changes no answer; taken with any value and not passed on. */
const IGNORED: ReadonlySet<string> = new Set(['application_name']);

/** Class of a statement that begins with SET, RESET or SHOW. */
export function classifySetting(tokens: readonly Token[]): SettingClass {
  const verb = tokens[0]?.value;
  if (verb === 'SHOW') return classifyShow(tokens);
  if (verb === 'RESET') return classifyReset(tokens);
  return classifySet(tokens);
}

function classifyShow(tokens: readonly Token[]): SettingClass {
  const { name } = readName(tokens, 1);
  if (!name.startsWith(PROJECT_SETTING_PREFIX)) return RELAY;
  return { type: 'gateway', setting: { action: 'show', name, value: undefined } };
}

/** Nothing was ever set on a pooled connection, so that there is nothing to reset. */
function classifyReset(tokens: readonly Token[]): SettingClass {
  const { name } = readName(tokens, 1);
  if (name === 'role' || (name === 'session' && tokens.length > 2)) {
    return { type: 'unsupported', feature: `RESET ${name.toUpperCase()}` };
  }
  return { type: 'gateway', setting: { action: 'reset', name, value: undefined } };
}

function classifySet(tokens: readonly Token[]): SettingClass {
  const scope = tokens[1]?.value;
  const local = scope === 'LOCAL';
  const nameAt = local || scope === 'SESSION' ? 2 : 1;
  const nameWord = tokens[nameAt]?.value;
  if (scope === 'TRANSACTION' || scope === 'CONSTRAINTS') return RELAY;
  if (nameWord === 'CHARACTERISTICS' || nameWord === 'AUTHORIZATION' || nameWord === 'ROLE') {
    return { type: 'unsupported', feature: `SET ${nameWord}` };
  }
  const { name, next } =
    nameWord === 'TIME' ? { name: 'timezone', next: nameAt + 2 } : readName(tokens, nameAt);
  const value = readValue(tokens, next);
  if (name.startsWith(PROJECT_SETTING_PREFIX)) {
    return { type: 'gateway', setting: { action: 'set', name, value } };
  }
  if (local) return RELAY;
  if (isHarmless(name, value)) return { type: 'gateway', setting: { action: 'set', name, value } };
  return { type: 'unsupported', feature: `SET ${name} without LOCAL` };
}

function isHarmless(name: string, value: string): boolean {
  if (IGNORED.has(name)) return true;
  const plain = value.toLowerCase().replaceAll(/\s/g, '');
  return plain === 'default' || VALUES_IN_FORCE.get(name)?.has(plain) === true;
}

/** Dotted, lower-case name from `index` on, and where the rest begins. */
function readName(tokens: readonly Token[], index: number): { name: string; next: number } {
  let name = tokens[index]?.value.toLowerCase() ?? '';
  let next = index + 1;
  while (tokens[next]?.value === '.') {
    name += `.${tokens[next + 1]?.value.toLowerCase() ?? ''}`;
    next += 2;
  }
  return { name, next };
}

/** What stands behind `=` or TO, strings without their quotes; words in lower case as SQL folds them. */
function readValue(tokens: readonly Token[], index: number): string {
  const sign = tokens[index]?.value;
  const from = sign === '=' || sign === 'TO' ? index + 1 : index;
  return tokens.slice(from).map(plainValue).join('');
}

function plainValue(token: Token): string {
  if (token.kind === TokenKind.WORD) return token.value.toLowerCase();
  if (token.kind !== TokenKind.STRING || !token.value.startsWith("'")) return token.value;
  return token.value.slice(1, -1).replaceAll("''", "'");
}
