/**
 * Classifies SET, RESET and SHOW. The gateway itself handles the `meadowstack.*` settings. Any other
 * setting would persist on a pooled connection and affect the connection's next user, so SET is accepted
 * only if it changes nothing or ends with the transaction.
 */
import type { SessionSetting } from '../contract.js';
import { type Token, TokenKind } from './lexer.js';

export const PROJECT_SETTING_PREFIX = 'meadowstack.';

/** How a SET, RESET or SHOW is handled. */
export type SettingClassification =
  | { readonly type: 'gateway'; readonly setting: SessionSetting }
  /** Its effect ends with the transaction, or it only reads a setting. */
  | { readonly type: 'relay' }
  | { readonly type: 'unsupported'; readonly feature: string };

const RELAY: SettingClassification = { type: 'relay' };

/**
 * Values that pooled connections already have, in lower case and without white space. Drivers set them.
 */
const CURRENT_VALUES: ReadonlyMap<string, ReadonlySet<string>> = new Map(
  Object.entries({
    bytea_output: ['hex'],
    client_encoding: ['utf8', 'utf-8', 'unicode'],
    client_min_messages: ['notice', 'warning'],
    datestyle: ['iso', 'iso,mdy'],
    default_transaction_read_only: ['off', 'false'],
    // All values from 1 up give the shortest exact output.
    extra_float_digits: ['1', '2', '3'],
    intervalstyle: ['postgres'],
    names: ['utf8', 'utf-8', 'unicode'],
    standard_conforming_strings: ['on', 'true'],
    statement_timeout: ['0'],
    timezone: ['utc'],
  }).map(([name, values]) => [name, new Set(values)]),
);

/** Parameters that affect no response: any value is accepted, and none is sent to the back end. */
const IGNORED_PARAMETERS: ReadonlySet<string> = new Set(['application_name']);

/** Classifies a statement that begins with SET, RESET or SHOW. */
export function classifySetting(tokens: readonly Token[]): SettingClassification {
  const verb = tokens[0]?.value;
  if (verb === 'SHOW') return classifyShow(tokens);
  if (verb === 'RESET') return classifyReset(tokens);
  return classifySet(tokens);
}

function classifyShow(tokens: readonly Token[]): SettingClassification {
  const { name } = readName(tokens, 1);
  if (!name.startsWith(PROJECT_SETTING_PREFIX)) return RELAY;
  return { type: 'gateway', setting: { action: 'show', name, value: undefined } };
}

/** Nothing is ever set on a pooled connection, so the gateway handles RESET as having no effect there. */
function classifyReset(tokens: readonly Token[]): SettingClassification {
  const { name } = readName(tokens, 1);
  if (name === 'role' || (name === 'session' && tokens.length > 2)) {
    return { type: 'unsupported', feature: `RESET ${name.toUpperCase()}` };
  }
  return { type: 'gateway', setting: { action: 'reset', name, value: undefined } };
}

function classifySet(tokens: readonly Token[]): SettingClassification {
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
  if (hasNoEffect(name, value)) return { type: 'gateway', setting: { action: 'set', name, value } };
  return { type: 'unsupported', feature: `SET ${name} without LOCAL` };
}

function hasNoEffect(name: string, value: string): boolean {
  if (IGNORED_PARAMETERS.has(name)) return true;
  const plain = value.toLowerCase().replaceAll(/\s/g, '');
  return plain === 'default' || CURRENT_VALUES.get(name)?.has(plain) === true;
}

/** Reads the dotted name at `index`, in lower case; `next` is the index of the token after it. */
function readName(tokens: readonly Token[], index: number): { name: string; next: number } {
  let name = tokens[index]?.value.toLowerCase() ?? '';
  let next = index + 1;
  while (tokens[next]?.value === '.') {
    name += `.${tokens[next + 1]?.value.toLowerCase() ?? ''}`;
    next += 2;
  }
  return { name, next };
}

/** Reads the value after `=` or TO: strings without quotes, words in lower case as SQL folds them. */
function readValue(tokens: readonly Token[], index: number): string {
  const sign = tokens[index]?.value;
  const from = sign === '=' || sign === 'TO' ? index + 1 : index;
  return tokens.slice(from).map(unquotedValue).join('');
}

function unquotedValue(token: Token): string {
  if (token.kind === TokenKind.WORD) return token.value.toLowerCase();
  if (token.kind !== TokenKind.STRING || !token.value.startsWith("'")) return token.value;
  return token.value.slice(1, -1).replaceAll("''", "'");
}
