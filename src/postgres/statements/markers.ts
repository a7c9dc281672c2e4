/**
 * Reads this project's sqlcommenter markers from comments at the start or end of a statement:
 * `/*meadowstack_kind='unlock',meadowstack_deadline_ms='800'*\/`. Keys and values are URL-encoded.
 * Other keys in the comment, such as `traceparent`, are ignored. Source: sqlcommenter
 * specification, "Sql Commenter: comment format".
 */
import { err, ok, type Result } from 'neverthrow';
import { RequestError, SqlState } from '../../core/errors.js';
import type { StatementMarkers } from '../contract.js';
import { Lexer, TokenKind } from './lexer.js';

const SEMICOLON = 0x3b;
const MARKER_PREFIX = 'meadowstack_';
/** A longer comment that contains markers is refused. */
const MAXIMUM_COMMENT_CHARACTERS = 2048;
const MAXIMUM_VALUE_CHARACTERS = 200;
/** One day: a longer duration makes no sense for a request. */
const MAXIMUM_DURATION_MS = 86_400_000;
const PAIR = /^\s*([^=\s]+)\s*=\s*'((?:[^'\\]|\\.)*)'\s*$/;
export const NO_MARKERS: StatementMarkers = {
  once: undefined,
  kind: undefined,
  staleMs: undefined,
  deadlineMs: undefined,
};

/** A marker is invalid. The request isn't run: ignoring the marker could run it twice. */
export class InvalidMarkerError extends RequestError {
  readonly code = 'MS-MARKER';
  readonly outcome = 'not-run';
  readonly sqlState = SqlState.INVALID_PARAMETER_VALUE;

  constructor(
    readonly marker: string,
    reason: string,
  ) {
    super(`marker ${marker}: ${reason}`);
  }
}

/** Reads the markers of a statement. A marker given twice with different values is an error. */
export function readMarkers(text: string): Result<StatementMarkers, InvalidMarkerError> {
  if (!text.includes(MARKER_PREFIX)) return ok(NO_MARKERS);
  let markers = NO_MARKERS;
  for (const comment of outerComments(text)) {
    const read = readComment(comment, markers);
    if (read.isErr()) return err(read.error);
    markers = read.value;
  }
  return ok(markers);
}

/** Bodies of the block comments before the first and after the last token of the statement itself. */
function outerComments(text: string): readonly string[] {
  const leading: string[] = [];
  let trailing: string[] = [];
  let meaningfulSeen = false;
  const lexer = new Lexer(text);
  while (lexer.next()) {
    if (lexer.kind === TokenKind.UNTERMINATED) return leading;
    if (lexer.kind === TokenKind.WHITESPACE || isSemicolon(lexer)) continue;
    if (lexer.kind !== TokenKind.COMMENT) {
      meaningfulSeen = true;
      trailing = [];
    } else if (lexer.token.startsWith('/*')) {
      (meaningfulSeen ? trailing : leading).push(lexer.token.slice(2, -2));
    }
  }
  return [...leading, ...trailing];
}

function isSemicolon(lexer: Lexer): boolean {
  return lexer.kind === TokenKind.PUNCTUATION && lexer.text.charCodeAt(lexer.start) === SEMICOLON;
}

function readComment(
  comment: string,
  before: StatementMarkers,
): Result<StatementMarkers, InvalidMarkerError> {
  if (!comment.includes(MARKER_PREFIX)) return ok(before);
  if (comment.length > MAXIMUM_COMMENT_CHARACTERS) {
    return err(new InvalidMarkerError(`${MARKER_PREFIX}*`, 'the comment is too long'));
  }
  let markers = before;
  for (const pair of splitPairs(comment)) {
    if (!pair.trimStart().startsWith(MARKER_PREFIX)) continue;
    const read = readPair(pair, markers);
    if (read.isErr()) return err(read.error);
    markers = read.value;
  }
  return ok(markers);
}

/** Splits at commas outside quotes, in one pass, so that a hostile comment takes only linear time. */
function splitPairs(comment: string): readonly string[] {
  const pairs: string[] = [];
  let start = 0;
  let quoted = false;
  for (let index = 0; index < comment.length; index += 1) {
    const character = comment[index];
    if (character === '\\') index += 1;
    else if (character === "'") quoted = !quoted;
    else if (character === ',' && !quoted) {
      pairs.push(comment.slice(start, index));
      start = index + 1;
    }
  }
  pairs.push(comment.slice(start));
  return pairs;
}

function readPair(
  pair: string,
  before: StatementMarkers,
): Result<StatementMarkers, InvalidMarkerError> {
  const match = PAIR.exec(pair);
  const name = match?.[1] ?? pair.trim().slice(0, 40);
  const value = decodeValue(match?.[2]);
  if (value === undefined) return err(new InvalidMarkerError(name, "expected name='value'"));
  if (value.length === 0 || value.length > MAXIMUM_VALUE_CHARACTERS) {
    return err(
      new InvalidMarkerError(name, `must have 1 to ${MAXIMUM_VALUE_CHARACTERS} characters`),
    );
  }
  return applyMarker(name, value, before);
}

function applyMarker(
  name: string,
  value: string,
  before: StatementMarkers,
): Result<StatementMarkers, InvalidMarkerError> {
  switch (name) {
    case 'meadowstack_once':
      return rejectConflict(name, before.once, value).map(() => ({ ...before, once: value }));
    case 'meadowstack_kind':
      return rejectConflict(name, before.kind, value).map(() => ({ ...before, kind: value }));
    case 'meadowstack_stale_ms':
      return readDuration(name, value)
        .andThen((staleMs) => rejectConflict(name, before.staleMs, staleMs))
        .map((staleMs) => ({ ...before, staleMs }));
    case 'meadowstack_deadline_ms':
      return readDuration(name, value)
        .andThen((deadlineMs) => rejectConflict(name, before.deadlineMs, deadlineMs))
        .map((deadlineMs) => ({ ...before, deadlineMs }));
    default:
      return err(new InvalidMarkerError(name, 'no marker of this name exists'));
  }
}

function rejectConflict<Value>(
  name: string,
  before: Value | undefined,
  value: Value,
): Result<Value, InvalidMarkerError> {
  if (before === undefined || before === value) return ok(value);
  return err(new InvalidMarkerError(name, 'is given twice with different values'));
}

function readDuration(name: string, value: string): Result<number, InvalidMarkerError> {
  const duration = /^\d{1,8}$/.test(value) ? Number(value) : Number.NaN;
  if (duration <= MAXIMUM_DURATION_MS) return ok(duration);
  return err(new InvalidMarkerError(name, `expected 0 to ${MAXIMUM_DURATION_MS} milliseconds`));
}

/** Decodes URL encoding, and the backslash by which sqlcommenter also escapes quotes. */
function decodeValue(value: string | undefined): string | undefined {
  try {
    return value === undefined ? undefined : decodeURIComponent(value.replaceAll("\\'", "'"));
  } catch {
    return undefined;
  }
}
