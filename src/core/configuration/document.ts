/**
 * YAML documents with source locations: every value can be traced to its line and column, so that a
 * problem found by a schema names the file, line, column and field.
 */
import { type Document, isMap, isScalar, isSeq, LineCounter, parseAllDocuments } from 'yaml';
import type { z } from 'zod';

/** A path into a document: map keys and sequence indexes, from the root. */
export type FieldPath = readonly (string | number)[];

/** Position of a value in its source. Lines and columns count from 1. */
export interface SourceLocation {
  /** File name, or another name of the source such as an environment variable. */
  readonly source: string;
  readonly line: number | undefined;
  readonly column: number | undefined;
}

/** One problem of a document. */
export interface DocumentProblem {
  readonly location: SourceLocation;
  /** Dotted path of the field, such as `limits.maxConnections`; empty for the whole document. */
  readonly field: string;
  /** Describes the expected value. Never contains the actual value, which may be a secret. */
  readonly expected: string;
}

/** One YAML document of a file, as a plain value, with the locations of its nodes. */
export interface LocatedDocument {
  readonly source: string;
  /** A plain value that no schema has checked yet. */
  readonly value: unknown;
  /** Location of the deepest node on the path that exists. */
  locate(path: FieldPath): SourceLocation;
}

/** The documents of a file that could be parsed, and the problems of the others. */
export interface ParsedFile {
  readonly documents: readonly LocatedDocument[];
  readonly problems: readonly DocumentProblem[];
}

/** Parses every YAML document of a file; leaves out empty documents. */
export function parseYaml(text: string, source: string): ParsedFile {
  const lineCounter = new LineCounter();
  const parsed = parseAllDocuments(text, { lineCounter, prettyErrors: false });
  const documents: LocatedDocument[] = [];
  const problems: DocumentProblem[] = [];
  for (const document of Array.isArray(parsed) ? parsed : []) {
    const syntaxProblems = document.errors.map((error) => ({
      location: locationAt(source, lineCounter, error.pos[0]),
      field: '',
      expected: `valid YAML: ${error.message}`,
    }));
    problems.push(...syntaxProblems);
    if (syntaxProblems.length > 0 || document.contents === null) continue;
    const located = createLocatedDocument(document, source, lineCounter);
    if (located.value !== null) documents.push(located);
  }
  return { documents, problems };
}

/** Converts the issues that a zod schema reported for a document. */
export function toDocumentProblems(
  issues: readonly z.core.$ZodIssue[],
  locate: (path: FieldPath) => SourceLocation,
): DocumentProblem[] {
  return issues.flatMap((issue) => convertIssue(issue, locate));
}

/** Formats a path, such as `databases[0].group`. */
export function formatFieldPath(path: FieldPath): string {
  return path
    .map((step) => (typeof step === 'number' ? `[${step}]` : `.${step}`))
    .join('')
    .replace(/^\./, '');
}

/** Formats a problem as one line: `file:line:column: field: expected …`. */
export function formatProblem(problem: DocumentProblem): string {
  const { source, line, column } = problem.location;
  const position = line === undefined ? source : `${source}:${line}:${column ?? 1}`;
  const field = problem.field === '' ? '' : `${problem.field}: `;
  return `${position}: ${field}expected ${problem.expected}`;
}

function createLocatedDocument(
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

/** Offset of the deepest node on the path that exists; for a map entry, that of its key. */
function offsetOf(root: unknown, path: FieldPath): number {
  let node: unknown = root;
  let offset = startOffsetOf(root) ?? 0;
  for (const step of path) {
    const next = childOf(node, step);
    if (next === undefined) break;
    offset = startOffsetOf(next.locationNode) ?? offset;
    node = next.value;
  }
  return offset;
}

interface ChildNode {
  /** The node whose location is reported: the key of a map entry, or the item of a sequence. */
  readonly locationNode: unknown;
  readonly value: unknown;
}

function childOf(node: unknown, step: string | number): ChildNode | undefined {
  if (isMap(node)) {
    const pair = node.items.find(
      (item) => isScalar(item.key) && String(item.key.value) === String(step),
    );
    return pair === undefined ? undefined : { locationNode: pair.key, value: pair.value };
  }
  if (isSeq(node) && typeof step === 'number') {
    const item = node.items[step];
    return item === undefined ? undefined : { locationNode: item, value: item };
  }
  return undefined;
}

function startOffsetOf(node: unknown): number | undefined {
  if (typeof node !== 'object' || node === null || !('range' in node)) return undefined;
  const { range } = node;
  return Array.isArray(range) && typeof range[0] === 'number' ? range[0] : undefined;
}

function convertIssue(
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
      expected: extractExpectation(issue.message),
    },
  ];
}

/** zod's messages name types, never values: `Invalid input: expected number, received string`. */
function extractExpectation(message: string): string {
  const match = /expected (.*)$/.exec(message);
  return (match?.[1] ?? message).replace(/, received undefined$/, ', but it is missing');
}
