/** The texts of the line protocol, as an instance reads them. */
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
      readonly thing: string;
      readonly data: string;
    }
  | {
      readonly type: 'execute';
      readonly name: string;
      readonly thing: string;
      readonly data: string;
    }
  | { readonly type: 'commit' };

/** Statements about the instance's place in its group. */
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

/** The first `count` fields of a line; the last of them goes on to its end. */
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

export function parseText(whole: string): ParsedText {
  const [, term, number, rest] = AFTER.exec(whole) ?? [];
  if (rest === undefined) return { text: whole, after: undefined, statement: parse(whole) };
  const after = { term: Number(term), number: Number(number) };
  return { text: rest, after, statement: parse(rest) };
}

function parse(text: string): Statement | undefined {
  const [word = '', ...others] = splitFields(text, 3);
  const [first, second] = others;
  if (first === undefined) return parseBare(word);
  if (word === 'BEGIN') return text === 'BEGIN READ' ? { type: 'begin', isRead: true } : undefined;
  if (word === 'EXECUTE') return { type: 'execute', name: first, ...splitData(second) };
  if (second === undefined) return parseShort(word, first);
  if (word === 'WRITE') return { type: 'work', kind: 'write', thing: first, data: second };
  if (word === 'SET') return { type: 'set', name: first, value: second };
  if (word === 'PREPARE') return parsePrepare(first, second);
  return undefined;
}

function parseBare(word: string): Statement | undefined {
  if (word === 'BEGIN') return { type: 'begin', isRead: false };
  if (word === 'COMMIT') return { type: 'commit' };
  if (word === 'ROLLBACK') return { type: 'rollback' };
  if (word === 'RESET') return { type: 'reset' };
  if (word === 'STATUS') return { type: 'status' };
  return word === 'RESUME' ? { type: 'resume' } : undefined;
}

function parseShort(word: string, first: string): Statement | undefined {
  if (word === 'READ') return { type: 'work', kind: 'read', thing: first, data: '' };
  if (word === 'DEALLOCATE') return { type: 'deallocate', name: first };
  if (word === 'PAUSE') return { type: 'pause', term: Number(first) };
  return word === 'DEMOTE' ? { type: 'demote', term: Number(first) } : undefined;
}

function parsePrepare(name: string, rest: string): Statement | undefined {
  const [kind, shape] = splitFields(rest, 2);
  if (shape === undefined || (kind !== 'READ' && kind !== 'WRITE')) return undefined;
  return { type: 'prepare', name, prepared: { kind: kind === 'READ' ? 'read' : 'write', shape } };
}

function splitData(rest: string | undefined): { readonly thing: string; readonly data: string } {
  const [thing = '', data = ''] = splitFields(rest ?? '', 2);
  return { thing, data };
}
