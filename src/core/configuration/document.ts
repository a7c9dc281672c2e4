/**
 * YAML documents with places: every value can be traced back to a line and column, so that a
 * problem found by a schema names the file, line, column and field that it is about.
 */
import { type Document, isMap, isScalar, isSeq, LineCounter, parseAllDocuments } from 'yaml';
import type { z } from 'zod';

/** A path into a document: map keys and sequence indexes from the root down. */
export type FieldPath = readonly (string | number)[];

/** Where a value stands. Lines and columns count from 1. */
export interface SourceLocation {
  /** File name, or another name of the source such as an environment variable. */
  readonly source: string;
  readonly line: number | undefined;
  readonly column: number | undefined;
}

/** One thing wrong with a document. */
export interface DocumentProblem {
  readonly location: SourceLocation;
  /** Dotted path of the field, such as `limits.maxConnections`; empty for the whole document. */
  readonly field: string;
  /** What was expected there, in words. Never contains the value found: it may be a secret. */
  readonly expected: string;
}

/** One YAML document of a file, as plain values, with the places of its nodes. */
export interface LocatedDocument {
  readonly source: string;
  /** Plain value; anything until a schema has checked it. */
  readonly value: unknown;
  /** Place of the deepest node on the path that exists. */
  locate(path: FieldPath): SourceLocation;
}

/** The documents of a file that could be parsed, and what was wrong with the others. */
export interface ParsedFile {
  readonly documents: readonly LocatedDocument[];
  readonly problems: readonly DocumentProblem[];
}

/** Parses every YAML document of a file; empty documents are left out. */
export function parseYaml(text: string, source: string): ParsedFile {
  const lineCounter = new LineCounter();
  const parsed = parseAllDocuments(text, { lineCounter, prettyErrors: false });
  const documents: LocatedDocument[] = [];
  const problems: DocumentProblem[] = [];
  for (const document of Array.isArray(parsed) ? parsed : []) {
    const faults = document.errors.map((error) => ({
      location: locationAt(source, lineCounter, error.pos[0]),
      field: '',
      expected: `valid YAML: ${error.message}`,
    }));
    problems.push(...faults);
    if (faults.length > 0 || document.contents === null) continue;
    const located = locatedDocument(document, source, lineCounter);
    if (located.value !== null) documents.push(located);
  }
  return { documents, problems };
}

/** The problems that a zod schema found in a document. */
export function problemsOfIssues(
  issues: readonly z.core.$ZodIssue[],
  locate: (path: FieldPath) => SourceLocation,
): DocumentProblem[] {
  return issues.flatMap((issue) => problemsOfIssue(issue, locate));
}

/** Dotted text form of a path: `databases[0].group`. */
export function formatFieldPath(path: FieldPath): string {
  return path
    .map((step) => (typeof step === 'number' ? `[${step}]` : `.${step}`))
    .join('')
    .replace(/^\./, '');
}

/** One line for a person: `file:line:column: field: expected …`. */
export function formatProblem(problem: DocumentProblem): string {
  const { source, line, column } = problem.location;
  const place = line === undefined ? source : `${source}:${line}:${column ?? 1}`;
  const field = problem.field === '' ? '' : `${problem.field}: `;
  return `${place}: ${field}expected ${problem.expected}`;
}

function locatedDocument(
  document: Document,
  source: string,
  lineCounter: LineCounter,
): LocatedDocument {
  return {
    source,
    value: document.toJS({ maxAliasCount: 100 }),
    locate: (path) => locationAt(source, lineCounter, offsetOf(document.contents, path)),
  };
}

function locationAt(source: string, lineCounter: LineCounter, offset: number): SourceLocation {
  const { line, col } = lineCounter.linePos(offset);
  return { source, line: Math.max(line, 1), column: Math.max(col, 1) };
}

/** Offset of the deepest node on the path that exists; for a map's entry, that of its key. */
function offsetOf(root: unknown, path: FieldPath): number {
  let node: unknown = root;
  let offset = startOf(root) ?? 0;
  for (const step of path) {
    const next = childOf(node, step);
    if (next === undefined) break;
    offset = startOf(next.at) ?? offset;
    node = next.value;
  }
  return offset;
}

interface Child {
  /** The node whose place is told. */
  readonly at: unknown;
  readonly value: unknown;
}

function childOf(node: unknown, step: string | number): Child | undefined {
  if (isMap(node)) {
    const pair = node.items.find(
      (item) => isScalar(item.key) && String(item.key.value) === String(step),
    );
    return pair === undefined ? undefined : { at: pair.key, value: pair.value };
  }
  if (isSeq(node) && typeof step === 'number') {
    const item = node.items[step];
    return item === undefined ? undefined : { at: item, value: item };
  }
  return undefined;
}

function startOf(node: unknown): number | undefined {
  if (typeof node !== 'object' || node === null || !('range' in node)) return undefined;
  const { range } = node;
  return Array.isArray(range) && typeof range[0] === 'number' ? range[0] : undefined;
}

function problemsOfIssue(
  issue: z.core.$ZodIssue,
  locate: (path: FieldPath) => SourceLocation,
): DocumentProblem[] {
  const path = issue.path.map((step) => (typeof step === 'symbol' ? String(step) : step));
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      location: locate([...path, key]),
      field: formatFieldPath([...path, key]),
      expected: 'no such field',
    }));
  }
  return [
    {
      location: locate(path),
      field: formatFieldPath(path),
      expected: expectationOf(issue.message),
    },
  ];
}

/** zod says `Invalid input: expected number, received string`: types, never values. */
function expectationOf(message: string): string {
  const match = /expected (.*)$/.exec(message);
  return (match?.[1] ?? message).replace(/, received undefined$/, ', but it is missing');
}
