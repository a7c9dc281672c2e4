/**
 * Classes of statements, behind a bounded cache. What isn't surely a read is a write; a text that
 * can't be read at all is a write, and the back end finds the fault.
 */
import type { Milliseconds } from '../../core/units.js';
import type { StatementClassification } from '../contract.js';
import { TwoGenerationCache } from '../two-generation-cache.js';
import { splitStatements, type Token, TokenKind, tokenize } from './lexer.js';
import { normalize, TOO_LONG, UNTERMINATED } from './normalize.js';
import { ParseBudget } from './parse-budget.js';
import { isSurelyRead } from './read-proof.js';
import { classifySetting } from './settings.js';
import { findUnsupported } from './unsupported.js';

const MAXIMUM_CACHE_ENTRIES = 20_000;
const MAXIMUM_CACHE_CHARACTERS = 8 * 1024 * 1024;
/** Longer normal forms are not cached and not parsed. */
const MAXIMUM_CACHED_CHARACTERS = 8 * 1024;

/** Longer normal forms are refused: looking them through would hold up other callers. */
const MAXIMUM_NORMAL_CHARACTERS = 128 * 1024;

/** Classes of one text, by where it stands. */
interface ClassPair {
  readonly outside: StatementClassification;
  /** Inside a transaction block. */
  readonly inside: StatementClassification;
}

const WRITE: StatementClassification = {
  access: 'write',
  transactionControl: 'none',
  unsupportedFeature: undefined,
  sessionSetting: undefined,
};
const READ: StatementClassification = { ...WRITE, access: 'read' };
const TOO_LONG_CLASS: StatementClassification = {
  ...WRITE,
  unsupportedFeature: `statement with more than ${MAXIMUM_NORMAL_CHARACTERS} characters besides literals`,
};
const WRITE_PAIR = samePair(WRITE);

/** SET, RESET, SHOW: their class depends on literals, which the normal form doesn't have. */
const SETTING_WORDS: ReadonlySet<string> = new Set(['SET', 'RESET', 'SHOW']);
/** Statements that change nothing but the transaction's own state. */
const READING_COMMANDS: ReadonlySet<string> = new Set(['SAVEPOINT', 'RELEASE', 'CLOSE']);

const EXPLAIN_OPTIONS: ReadonlySet<string> = new Set(['ANALYZE', 'ANALYSE', 'VERBOSE']);

export interface ClassifierOptions {
  /** Monotonic clock; default `performance.now`. */
  readonly now?: () => Milliseconds;
}

/** Classifier with a cache of its own. */
export class StatementClassifier {
  private readonly cache = new TwoGenerationCache<ClassPair>(
    MAXIMUM_CACHE_ENTRIES,
    MAXIMUM_CACHE_CHARACTERS,
  );
  private readonly budget: ParseBudget;

  constructor(options: ClassifierOptions = {}) {
    this.budget = new ParseBudget(options.now ?? (() => performance.now()));
  }

  /** Class of a statement, or the strongest class of a string with several. */
  classify(text: string, inTransaction = false): StatementClassification {
    const normal = normalize(text);
    if (normal === UNTERMINATED) return WRITE;
    if (normal === TOO_LONG || normal.length > MAXIMUM_NORMAL_CHARACTERS) return TOO_LONG_CLASS;
    const pair = this.cache.get(normal) ?? this.derive(normal, text);
    return inTransaction ? pair.inside : pair.outside;
  }

  private derive(normal: string, text: string): ClassPair {
    const statements = splitStatements(tokenize(normal) ?? []);
    if (statements.some(isSetting)) return classifyWithValues(text);
    if (normal.length > MAXIMUM_CACHED_CHARACTERS) return combine(statements.map(withoutParsing));
    let complete = true;
    const classes = statements.map((tokens) => {
      const known = byWords(tokens);
      if (known !== undefined) return known;
      const explained = withoutExplain(tokens);
      const isRead = this.budget.spend(() => isSurelyRead(explained, textOf(explained, normal)));
      if (isRead === undefined) complete = false;
      return samePair(isRead === true ? READ : WRITE);
    });
    const pair = combine(classes);
    if (complete) this.cache.set(normal, pair);
    return pair;
  }
}

const sharedClassifier = new StatementClassifier();

/** Class by the classifier that the whole process shares. `inTransaction`: inside a block. */
export function classify(text: string, inTransaction = false): StatementClassification {
  return sharedClassifier.classify(text, inTransaction);
}

function samePair(statementClass: StatementClassification): ClassPair {
  return { outside: statementClass, inside: statementClass };
}

function isSetting(tokens: readonly Token[]): boolean {
  const [first] = tokens;
  return first?.kind === TokenKind.WORD && SETTING_WORDS.has(first.value);
}

function textOf(tokens: readonly Token[], text: string): string {
  return text.slice(tokens[0]?.start, tokens.at(-1)?.end);
}

function withoutParsing(tokens: readonly Token[]): ClassPair {
  return byWords(tokens) ?? WRITE_PAIR;
}

/** Class that the words alone decide; undefined if the statement may be a read. */
function byWords(tokens: readonly Token[]): ClassPair | undefined {
  const feature = findUnsupported(tokens);
  if (feature !== undefined) {
    const refused = { ...WRITE, unsupportedFeature: feature.name };
    return { outside: refused, inside: feature.outsideTransactionOnly ? WRITE : refused };
  }
  return transactionControl(tokens);
}

function transactionControl(tokens: readonly Token[]): ClassPair | undefined {
  const [first, second] = tokens;
  if (first?.kind !== TokenKind.WORD) return undefined;
  const access = readOnlyMode(tokens) ? 'read' : 'write';
  switch (first.value) {
    case 'BEGIN':
      return samePair({ ...WRITE, access, transactionControl: 'begin' });
    case 'START':
      return second?.value === 'TRANSACTION'
        ? samePair({ ...WRITE, access, transactionControl: 'begin' })
        : undefined;
    case 'COMMIT':
    case 'END':
      return samePair({ ...WRITE, transactionControl: 'commit' });
    case 'ROLLBACK':
    case 'ABORT': {
      const toSavepoint = tokens.some((token) => token.value === 'TO');
      return samePair(toSavepoint ? READ : { ...READ, transactionControl: 'rollback' });
    }
    default:
      return READING_COMMANDS.has(first.value) ? samePair(READ) : undefined;
  }
}

/** READ ONLY among the modes of BEGIN, and no READ WRITE. */
function readOnlyMode(tokens: readonly Token[]): boolean {
  const follows = (word: string): boolean =>
    tokens.some((token, index) => token.value === 'READ' && tokens[index + 1]?.value === word);
  return follows('ONLY') && !follows('WRITE');
}

/** The statement behind EXPLAIN and its options; planning may already run its functions. */
function withoutExplain(tokens: readonly Token[]): readonly Token[] {
  if (tokens[0]?.value !== 'EXPLAIN') return tokens;
  let start = 1;
  if (tokens[start]?.value === '(') start = tokens.findIndex(({ value }) => value === ')') + 1;
  while (EXPLAIN_OPTIONS.has(tokens[start]?.value ?? '')) start += 1;
  return tokens.slice(start);
}

function classifyWithValues(text: string): ClassPair {
  const statements = splitStatements(tokenize(text) ?? []);
  return combine(
    statements.map((tokens) => (isSetting(tokens) ? settingClass(tokens) : withoutParsing(tokens))),
  );
}

function settingClass(tokens: readonly Token[]): ClassPair {
  const found = classifySetting(tokens);
  if (found.type === 'gateway') return samePair({ ...READ, sessionSetting: found.setting });
  if (found.type === 'unsupported')
    return samePair({ ...WRITE, unsupportedFeature: found.feature });
  return samePair(READ);
}

function combine(pairs: readonly ClassPair[]): ClassPair {
  const [first] = pairs;
  if (first === undefined) return samePair(READ);
  if (pairs.length === 1) return first;
  return {
    outside: strongest(pairs.map((pair) => pair.outside)),
    inside: strongest(pairs.map((pair) => pair.inside)),
  };
}

/** Class of a string with several statements. */
function strongest(classes: readonly StatementClassification[]): StatementClassification {
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
