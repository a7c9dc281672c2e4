/** The SQL of each operation, within the subset that the stand-ins serve, and what its answer shows. */
import type { Deployment, Operation, RequestKind } from '../deployments.js';

/** One statement with its parameters. */
export interface Statement {
  readonly text: string;
  readonly values: readonly (string | number)[];
  /** Table whose rows come back, with columns `key` and `version`; undefined: no such rows. */
  readonly table: string | undefined;
  /** The rows tell versions that this statement made, not versions that it found. */
  readonly writes: boolean;
  /** Rows of a whole answer; undefined if that can't be told beforehand. */
  readonly expectedRows: number | undefined;
  /** Key asked for by a point read: an answer without rows means version 0. */
  readonly pointKey: string | undefined;
}

/** What one attempt runs: one statement, or several between BEGIN and COMMIT. */
export interface AttemptPlan {
  readonly transaction: boolean;
  /** What is left of the caller's time; not sent if there is nothing left. */
  readonly remainingMs: number;
  /** Markers of BEGIN. */
  readonly markers: string;
  readonly statements: readonly Statement[];
  /** Rows that are there exactly if the attempt ran. */
  readonly effectRows: readonly string[];
}

export interface AttemptContext {
  readonly deployment: Deployment;
  readonly kind: RequestKind;
  readonly attemptId: string;
  /** Key for at-most-once; the same for all attempts of a request. */
  readonly onceKey: string;
  readonly keyRank: number;
  /** What is left of the caller's time, in milliseconds. */
  readonly remainingMs: number;
  /** Row that the session wrote last (`<table>/<key>`), if it is to be read. */
  readonly ownRow: string | undefined;
}

export const GLOSSARY_RANGE = 20;
export const DOCK_RANGE = 10;

/** Tables of a group; `meadowstack_once` is made by the proxies. */
export const TABLES: readonly string[] = [
  'CREATE TABLE IF NOT EXISTS orders (order_id text PRIMARY KEY, document int, version int)',
  'CREATE TABLE IF NOT EXISTS documents (document int PRIMARY KEY, status text, version int)',
  'CREATE TABLE IF NOT EXISTS revisions (revision_id text PRIMARY KEY, document int, version int)',
  'CREATE TABLE IF NOT EXISTS glossary (term int PRIMARY KEY, translation text, version int)',
  'CREATE TABLE IF NOT EXISTS unlocks (unlock_id text PRIMARY KEY, dock int, version int)',
  'CREATE TABLE IF NOT EXISTS hires (hire_id text PRIMARY KEY, dock int, version int)',
  'CREATE TABLE IF NOT EXISTS docks (dock int PRIMARY KEY, hires int, version int)',
  'CREATE TABLE IF NOT EXISTS audit (entry_id text PRIMARY KEY, version int)',
];

/** Name of each table's key column. */
const KEY_COLUMNS: Readonly<Record<string, string>> = {
  orders: 'order_id',
  documents: 'document',
  revisions: 'revision_id',
  audit: 'entry_id',
  glossary: 'term',
  unlocks: 'unlock_id',
  hires: 'hire_id',
  docks: 'dock',
};

const PLANNERS: Readonly<Record<Operation, (context: AttemptContext) => AttemptPlan>> = {
  'insert-order': (context) => insertOnce(context, 'orders', 'document'),
  'insert-unlock': (context) => insertOnce(context, 'unlocks', 'dock'),
  'revise-document': (context) =>
    changeInTransaction(context, 'documents', 'document', 'revisions', 'revision_id'),
  'insert-hire': (context) => changeInTransaction(context, 'docks', 'dock', 'hires', 'hire_id'),
  'read-glossary': (context) => readRange(context, 'glossary', GLOSSARY_RANGE),
  'read-status': (context) =>
    readOwnRow(context) ?? readPoint(context, 'documents', keyOf(context)),
  'read-docks': (context) => readOwnRow(context) ?? readRange(context, 'docks', DOCK_RANGE),
};

export function planAttempt(context: AttemptContext): AttemptPlan {
  return PLANNERS[context.kind.operation](context);
}

/** Deadlines are rounded up to this, so that the texts of statements stay few. */
const DEADLINE_STEP_MS = 50;

/** Markers in sqlcommenter form, to be put behind a statement. */
export function markersOf(
  kind: RequestKind,
  remainingMs: number,
  onceKey: string | undefined,
): string {
  const deadlineMs = Math.ceil(remainingMs / DEADLINE_STEP_MS) * DEADLINE_STEP_MS;
  const markers = [`meadowstack_kind='${kind.kind}'`, `meadowstack_deadline_ms='${deadlineMs}'`];
  if (kind.stalenessBoundMs > 0) markers.push(`meadowstack_stale_ms='${kind.stalenessBoundMs}'`);
  if (onceKey !== undefined) markers.push(`meadowstack_once='${onceKey}'`);
  return ` /*${markers.join(',')}*/`;
}

function insertOnce(context: AttemptContext, table: string, keyColumn: string): AttemptPlan {
  const idColumn = KEY_COLUMNS[table] ?? '';
  const text =
    `INSERT INTO ${table} (${idColumn}, ${keyColumn}, version) VALUES ($1, $2, 1) ` +
    `RETURNING ${idColumn} AS "key", version, ${idColumn} AS echo`;
  const statement: Statement = {
    text: text + markersOf(context.kind, context.remainingMs, context.onceKey),
    values: [context.attemptId, keyOf(context)],
    table,
    writes: true,
    expectedRows: 1,
    pointKey: undefined,
  };
  return {
    transaction: false,
    remainingMs: context.remainingMs,
    markers: '',
    statements: [statement],
    effectRows: [`${table}/${context.attemptId}`],
  };
}

/** Two rows of its own around a change of a shared row, so that mixing and splitting would show. */
function changeInTransaction(
  context: AttemptContext,
  sharedTable: string,
  sharedKey: string,
  ownTable: string,
  ownKey: string,
): AttemptPlan {
  const { attemptId } = context;
  const markers = markersOf(context.kind, context.remainingMs, undefined);
  const own: Statement = {
    text: `INSERT INTO ${ownTable} (${ownKey}, ${sharedKey}, version) VALUES ($1, $2, 1)${markers}`,
    values: [attemptId, keyOf(context)],
    table: undefined,
    writes: true,
    expectedRows: undefined,
    pointKey: undefined,
  };
  const shared: Statement = {
    text:
      `UPDATE ${sharedTable} SET version = version + 1 WHERE ${sharedKey} = $1 ` +
      `RETURNING ${sharedKey} AS "key", version, $2::text AS echo${markers}`,
    values: [keyOf(context), attemptId],
    table: sharedTable,
    writes: true,
    expectedRows: 1,
    pointKey: undefined,
  };
  const audit: Statement = {
    ...own,
    text: `INSERT INTO audit (entry_id, version) VALUES ($1, 1)${markers}`,
    values: [attemptId],
  };
  return {
    transaction: true,
    remainingMs: context.remainingMs,
    markers,
    statements: [own, shared, audit],
    effectRows: [`${ownTable}/${attemptId}`, `audit/${attemptId}`],
  };
}

function readOwnRow(context: AttemptContext): AttemptPlan | undefined {
  const separator = context.ownRow?.indexOf('/') ?? -1;
  if (context.ownRow === undefined || separator < 0) return undefined;
  const table = context.ownRow.slice(0, separator);
  return readPoint(context, table, context.ownRow.slice(separator + 1));
}

function readPoint(context: AttemptContext, table: string, key: string | number): AttemptPlan {
  const column = KEY_COLUMNS[table] ?? '';
  const text = `SELECT ${readColumns(column)} FROM ${table} WHERE ${column} = $1`;
  return read(context, table, text, [key, context.attemptId], undefined, `${table}/${key}`);
}

function readRange(context: AttemptContext, table: string, length: number): AttemptPlan {
  const column = KEY_COLUMNS[table] ?? '';
  const first = Math.min(keyOf(context), rowsOf(context) - length + 1);
  const text = `SELECT ${readColumns(column)} FROM ${table} WHERE ${column} BETWEEN $1 AND $3`;
  const values = [first, context.attemptId, first + length - 1];
  return read(context, table, text, values, length, undefined);
}

function readColumns(keyColumn: string): string {
  return `${keyColumn} AS "key", version, $2::text AS echo, pg_is_in_recovery() AS on_replica`;
}

function read(
  context: AttemptContext,
  table: string,
  text: string,
  values: readonly (string | number)[],
  expectedRows: number | undefined,
  pointKey: string | undefined,
): AttemptPlan {
  const marked = text + markersOf(context.kind, context.remainingMs, undefined);
  const statement = { text: marked, values, table, writes: false, expectedRows, pointKey };
  return {
    transaction: false,
    remainingMs: context.remainingMs,
    markers: '',
    statements: [statement],
    effectRows: [],
  };
}

/** Rows that the operation's shared table starts with; keys are 1 … rows. */
function rowsOf({ deployment, kind }: AttemptContext): number {
  const { initialRows } = deployment;
  if (kind.operation === 'read-glossary') return initialRows.terms;
  return deployment.name === 'bureau' ? initialRows.documents : initialRows.docks;
}

function keyOf(context: AttemptContext): number {
  return 1 + (context.keyRank % rowsOf(context));
}
