/**
 * Classifies statements, with a bounded cache. A statement that isn't provably a read is a write. So is
 * a text that can't be tokenized: the back end then reports the error.
 */
import type { Milliseconds } from '../../core/units.js';
import type { StatementClassification } from '../contract.js';
import { TwoGenerationCache } from '../two-generation-cache.js';
import { splitStatements, type Token, TokenKind, tokenize } from './lexer.js';
import { normalize, TOO_LONG, UNTERMINATED } from './normalize.js';
import { ParseBudget } from './parse-budget.js';
import { isProvablyRead } from './read-proof.js';
import { classifySetting } from './settings.js';
import { findUnsupported } from './unsupported.js';

const MAXIMUM_CACHE_ENTRIES = 20_000;
const MAXIMUM_CACHE_CHARACTERS = 8 * 1024 * 1024;
/** Longer normal forms are neither cached nor parsed. */
const MAXIMUM_CACHEABLE_CHARACTERS = 8 * 1024;

/** Longer normal forms are refused: examining them would delay other callers. */
const MAXIMUM_NORMAL_FORM_CHARACTERS = 128 * 1024;

/** Classifications of one text outside and inside a transaction block. */
interface ClassificationPair {
  readonly outside: StatementClassification;
  readonly inside: StatementClassification;
}

const WRITE: StatementClassification = {
  access: 'write',
  transactionControl: 'none',
  unsupportedFeature: undefined,
  sessionSetting: undefined,
};
const READ: StatementClassification = { ...WRITE, access: 'read' };
const TOO_LONG_CLASSIFICATION: StatementClassification = {
  ...WRITE,
  unsupportedFeature: `statement with more than ${MAXIMUM_NORMAL_FORM_CHARACTERS} characters besides literals`,
};
const WRITE_PAIR = sameInAndOutside(WRITE);

/** Commands whose classification depends on literals, which the normal form doesn't contain. */
const SETTING_COMMANDS: ReadonlySet<string> = new Set(['SET', 'RESET', 'SHOW']);
/** Commands that change only the state of the transaction itself. */
const READ_COMMANDS: ReadonlySet<string> = new Set(['SAVEPOINT', 'RELEASE', 'CLOSE']);

const EXPLAIN_OPTIONS: ReadonlySet<string> = new Set(['ANALYZE', 'ANALYSE', 'VERBOSE']);

export interface ClassifierOptions {
  /** Monotonic clock; default `performance.now`. */
  readonly now?: () => Milliseconds;
}

/** Classifies statements and caches the results by normal form. */
export class StatementClassifier {
  private readonly cache = new TwoGenerationCache<ClassificationPair>(
    MAXIMUM_CACHE_ENTRIES,
    MAXIMUM_CACHE_CHARACTERS,
  );
  private readonly budget: ParseBudget;

  constructor(options: ClassifierOptions = {}) {
    this.budget = new ParseBudget(options.now ?? (() => performance.now()));
  }

  /** Classifies a statement, or a string of several; one write among them makes the string a write. */
  classify(text: string, inTransaction = false): StatementClassification {
    const normal = normalize(text);
    if (normal === UNTERMINATED) return WRITE;
    if (normal === TOO_LONG || normal.length > MAXIMUM_NORMAL_FORM_CHARACTERS)
      return TOO_LONG_CLASSIFICATION;
    const pair = this.cache.get(normal) ?? this.computePair(normal, text);
    return inTransaction ? pair.inside : pair.outside;
  }

  private computePair(normal: string, text: string): ClassificationPair {
    const statements = splitStatements(tokenize(normal) ?? []);
    if (statements.some(isSettingStatement)) return classifyWithValues(text);
    if (normal.length > MAXIMUM_CACHEABLE_CHARACTERS)
      return combine(statements.map(classifyWithoutParsing));
    let complete = true;
    const classes = statements.map((tokens) => {
      const byKeywords = classifyByKeywords(tokens);
      if (byKeywords !== undefined) return byKeywords;
      const explained = stripExplain(tokens);
      const isRead = this.budget.tryRun(() =>
        isProvablyRead(explained, sourceTextOf(explained, normal)),
      );
      if (isRead === undefined) complete = false;
      return sameInAndOutside(isRead === true ? READ : WRITE);
    });
    const pair = combine(classes);
    if (complete) this.cache.set(normal, pair);
    return pair;
  }
}

const sharedClassifier = new StatementClassifier();

/** Classifies with the classifier that the process shares. `inTransaction`: inside a transaction block. */
export function classify(text: string, inTransaction = false): StatementClassification {
  return sharedClassifier.classify(text, inTransaction);
}

function sameInAndOutside(statementClass: StatementClassification): ClassificationPair {
  return { outside: statementClass, inside: statementClass };
}

function isSettingStatement(tokens: readonly Token[]): boolean {
  const [first] = tokens;
  return first?.kind === TokenKind.WORD && SETTING_COMMANDS.has(first.value);
}

function sourceTextOf(tokens: readonly Token[], text: string): string {
  return text.slice(tokens[0]?.start, tokens.at(-1)?.end);
}

function classifyWithoutParsing(tokens: readonly Token[]): ClassificationPair {
  return classifyByKeywords(tokens) ?? WRITE_PAIR;
}

/** Classifies by keywords alone; undefined if the statement may be a read and has to be parsed. */
function classifyByKeywords(tokens: readonly Token[]): ClassificationPair | undefined {
  const feature = findUnsupported(tokens);
  if (feature !== undefined) {
    const refused = { ...WRITE, unsupportedFeature: feature.name };
    return { outside: refused, inside: feature.outsideTransactionOnly ? WRITE : refused };
  }
  return classifyTransactionControl(tokens);
}

function classifyTransactionControl(tokens: readonly Token[]): ClassificationPair | undefined {
  const [first, second] = tokens;
  if (first?.kind !== TokenKind.WORD) return undefined;
  const access = hasReadOnlyMode(tokens) ? 'read' : 'write';
  switch (first.value) {
    case 'BEGIN':
      return sameInAndOutside({ ...WRITE, access, transactionControl: 'begin' });
    case 'START':
      return second?.value === 'TRANSACTION'
        ? sameInAndOutside({ ...WRITE, access, transactionControl: 'begin' })
        : undefined;
    case 'COMMIT':
    case 'END':
      return sameInAndOutside({ ...WRITE, transactionControl: 'commit' });
    case 'ROLLBACK':
    case 'ABORT': {
      const toSavepoint = tokens.some((token) => token.value === 'TO');
      return sameInAndOutside(toSavepoint ? READ : { ...READ, transactionControl: 'rollback' });
    }
    default:
      return READ_COMMANDS.has(first.value) ? sameInAndOutside(READ) : undefined;
  }
}

/** True if the modes of BEGIN contain READ ONLY and not READ WRITE. */
function hasReadOnlyMode(tokens: readonly Token[]): boolean {
  const follows = (word: string): boolean =>
    tokens.some((token, index) => token.value === 'READ' && tokens[index + 1]?.value === word);
  return follows('ONLY') && !follows('WRITE');
}

/**
 * Returns the statement that follows EXPLAIN and its options. It is classified even without ANALYZE:
 * planning may already run its functions.
 */
function stripExplain(tokens: readonly Token[]): readonly Token[] {
  if (tokens[0]?.value !== 'EXPLAIN') return tokens;
  let start = 1;
  if (tokens[start]?.value === '(') start = tokens.findIndex(({ value }) => value === ')') + 1;
  while (EXPLAIN_OPTIONS.has(tokens[start]?.value ?? '')) start += 1;
  return tokens.slice(start);
}

function classifyWithValues(text: string): ClassificationPair {
  const statements = splitStatements(tokenize(text) ?? []);
  return combine(
    statements.map((tokens) =>
      isSettingStatement(tokens)
        ? classifySettingStatement(tokens)
        : classifyWithoutParsing(tokens),
    ),
  );
}

function classifySettingStatement(tokens: readonly Token[]): ClassificationPair {
  const found = classifySetting(tokens);
  if (found.type === 'gateway') return sameInAndOutside({ ...READ, sessionSetting: found.setting });
  if (found.type === 'unsupported')
    return sameInAndOutside({ ...WRITE, unsupportedFeature: found.feature });
  return sameInAndOutside(READ);
}

function combine(pairs: readonly ClassificationPair[]): ClassificationPair {
  const [first] = pairs;
  if (first === undefined) return sameInAndOutside(READ);
  if (pairs.length === 1) return first;
  return {
    outside: mergeClassifications(pairs.map((pair) => pair.outside)),
    inside: mergeClassifications(pairs.map((pair) => pair.inside)),
  };
}

/** Classification of a string with several statements. */
function mergeClassifications(
  classes: readonly StatementClassification[],
): StatementClassification {
  const unsupported = classes.map(unsupportedAmongSeveral).find((name) => name !== undefined);
  const writes = classes.some(({ access }) => access === 'write');
  return { ...WRITE, access: writes ? 'write' : 'read', unsupportedFeature: unsupported };
}

function unsupportedAmongSeveral(statementClass: StatementClassification): string | undefined {
  if (statementClass.unsupportedFeature !== undefined) return statementClass.unsupportedFeature;
  if (statementClass.transactionControl !== 'none') {
    return 'transaction control in a multi-statement string';
  }
  if (statementClass.sessionSetting !== undefined) return 'SET in a multi-statement string';
  return undefined;
}
