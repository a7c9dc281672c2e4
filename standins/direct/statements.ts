/** Parser of the statements of the line protocol. */
import type { LogPosition } from './member.js';

export interface Prepared {
  readonly kind: 'read' | 'write';
  readonly shape: string;
}

/** Statements that use a slot. */
export type WorkStatement =
  | {
      readonly type: 'work';
      readonly kind: 'read' | 'write';
      readonly key: string;
      readonly data: string;
    }
  | {
      readonly type: 'execute';
      readonly name: string;
      readonly key: string;
      readonly data: string;
    }
  | { readonly type: 'commit' };

/** Statements about the instance's role in its group. */
export type ControlStatement =
  | { readonly type: 'status' | 'resume' }
  | { readonly type: 'pause' | 'demote'; readonly term: number };

export type Statement =
  | WorkStatement
  | ControlStatement
  | { readonly type: 'begin'; readonly isRead: boolean }
  | { readonly type: 'rollback' | 'reset' }
  | { readonly type: 'set'; readonly name: string; readonly value: string }
  | { readonly type: 'prepare'; readonly name: string; readonly prepared: Prepared }
  | { readonly type: 'deallocate'; readonly name: string };

export interface ParsedText {
  /** The text without a leading `AFTER`. */
  readonly text: string;
  readonly after: LogPosition | undefined;
  readonly statement: Statement | undefined;
}

/** Splits a line into at most `count` fields; the last one extends to the end of the line. */
export function splitFields(line: string, count: number): string[] {
  const fields: string[] = [];
  let rest = line;
  while (fields.length < count - 1) {
    const blank = rest.indexOf(' ');
    if (blank < 0) break;
    fields.push(rest.slice(0, blank));
    rest = rest.slice(blank + 1);
  }
  return [...fields, rest];
}

const AFTER = /^AFTER (\d+)\.(\d+) (.*)$/;

export function parseText(fullText: string): ParsedText {
  const [, term, number, rest] = AFTER.exec(fullText) ?? [];
  if (rest === undefined) return { text: fullText, after: undefined, statement: parse(fullText) };
  const after = { term: Number(term), number: Number(number) };
  return { text: rest, after, statement: parse(rest) };
}

function parse(text: string): Statement | undefined {
  const [word = '', ...others] = splitFields(text, 3);
  const [first, second] = others;
  if (first === undefined) return parseWithoutArguments(word);
  if (word === 'BEGIN') return text === 'BEGIN READ' ? { type: 'begin', isRead: true } : undefined;
  if (word === 'EXECUTE') return { type: 'execute', name: first, ...parseKeyAndData(second) };
  if (second === undefined) return parseOneArgument(word, first);
  if (word === 'WRITE') return { type: 'work', kind: 'write', key: first, data: second };
  if (word === 'SET') return { type: 'set', name: first, value: second };
  if (word === 'PREPARE') return parsePrepare(first, second);
  return undefined;
}

function parseWithoutArguments(word: string): Statement | undefined {
  if (word === 'BEGIN') return { type: 'begin', isRead: false };
  if (word === 'COMMIT') return { type: 'commit' };
  if (word === 'ROLLBACK') return { type: 'rollback' };
  if (word === 'RESET') return { type: 'reset' };
  if (word === 'STATUS') return { type: 'status' };
  return word === 'RESUME' ? { type: 'resume' } : undefined;
}

function parseOneArgument(word: string, first: string): Statement | undefined {
  if (word === 'READ') return { type: 'work', kind: 'read', key: first, data: '' };
  if (word === 'DEALLOCATE') return { type: 'deallocate', name: first };
  if (word === 'PAUSE') return { type: 'pause', term: Number(first) };
  return word === 'DEMOTE' ? { type: 'demote', term: Number(first) } : undefined;
}

function parsePrepare(name: string, rest: string): Statement | undefined {
  const [kind, shape] = splitFields(rest, 2);
  if (shape === undefined || (kind !== 'READ' && kind !== 'WRITE')) return undefined;
  return { type: 'prepare', name, prepared: { kind: kind === 'READ' ? 'read' : 'write', shape } };
}

function parseKeyAndData(rest: string | undefined): {
  readonly key: string;
  readonly data: string;
} {
  const [key = '', data = ''] = splitFields(rest ?? '', 2);
  return { key, data };
}
