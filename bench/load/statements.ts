/** The SQL of each operation, within the subset that the stand-ins support, and how to read its results. */
import type { Deployment, Operation, RequestKind } from '../deployments.js';

/** One statement with its parameters. */
export interface Statement {
  readonly text: string;
  readonly values: readonly (string | number)[];
  /** Table whose rows are returned with the columns `key` and `version`; undefined if none are. */
  readonly table: string | undefined;
  /** True if the returned versions were written by this statement; false if it only read them. */
  readonly isWrite: boolean;
  /** Number of rows of a complete result; undefined if it isn't known in advance. */
  readonly expectedRows: number | undefined;
  /** Key of a point read: a result without rows means version 0. */
  readonly pointKey: string | undefined;
}

/** The statements of one attempt: a single one, or several between BEGIN and COMMIT. */
export interface AttemptPlan {
  readonly isTransaction: boolean;
  /** Time until the request's deadline; an attempt without time left is not sent. */
  readonly remainingMs: number;
  /** Comment with markers, appended to BEGIN. */
  readonly markers: string;
  readonly statements: readonly Statement[];
  /** Keys of the rows that exist if and only if the attempt ran. */
  readonly effectRows: readonly string[];
}

export interface AttemptContext {
  readonly deployment: Deployment;
  readonly kind: RequestKind;
  readonly attemptId: string;
  /** Idempotency key; the same for all attempts of a request. */
  readonly onceKey: string;
  readonly keyRank: number;
  /** Time until the request's deadline. */
  readonly remainingMs: number;
  /** Row that the session wrote recently (`<table>/<key>`), if this attempt reads it. */
  readonly ownRow: string | undefined;
}

export const GLOSSARY_RANGE_ROWS = 20;
export const DOCK_RANGE_ROWS = 10;

/** Tables of a group; the proxies create `meadowstack_once` themselves. */
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
  'insert-order': (context) => planInsertOnce(context, 'orders', 'document'),
  'insert-unlock': (context) => planInsertOnce(context, 'unlocks', 'dock'),
  'revise-document': (context) =>
    planTransaction(context, 'documents', 'document', 'revisions', 'revision_id'),
  'insert-hire': (context) => planTransaction(context, 'docks', 'dock', 'hires', 'hire_id'),
  'read-glossary': (context) => planRangeRead(context, 'glossary', GLOSSARY_RANGE_ROWS),
  'read-status': (context) =>
    planOwnRowRead(context) ?? planPointRead(context, 'documents', keyFromRank(context)),
  'read-docks': (context) =>
    planOwnRowRead(context) ?? planRangeRead(context, 'docks', DOCK_RANGE_ROWS),
};

export function planAttempt(context: AttemptContext): AttemptPlan {
  return PLANNERS[context.kind.operation](context);
}

/** Deadlines are rounded up to a multiple of this, so that there are few distinct statement texts. */
const DEADLINE_STEP_MS = 50;

/** Formats markers as a sqlcommenter comment that is appended to a statement. */
export function formatMarkers(
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

function planInsertOnce(context: AttemptContext, table: string, keyColumn: string): AttemptPlan {
  const idColumn = KEY_COLUMNS[table] ?? '';
  const text =
    `INSERT INTO ${table} (${idColumn}, ${keyColumn}, version) VALUES ($1, $2, 1) ` +
    `RETURNING ${idColumn} AS "key", version, ${idColumn} AS echo`;
  const statement: Statement = {
    text: text + formatMarkers(context.kind, context.remainingMs, context.onceKey),
    values: [context.attemptId, keyFromRank(context)],
    table,
    isWrite: true,
    expectedRows: 1,
    pointKey: undefined,
  };
  return {
    isTransaction: false,
    remainingMs: context.remainingMs,
    markers: '',
    statements: [statement],
    effectRows: [`${table}/${context.attemptId}`],
  };
}

/** Inserts two rows of its own around an update of a shared row, so that mixed or split transactions are detected. */
function planTransaction(
  context: AttemptContext,
  sharedTable: string,
  sharedKey: string,
  ownTable: string,
  ownKey: string,
): AttemptPlan {
  const { attemptId } = context;
  const markers = formatMarkers(context.kind, context.remainingMs, undefined);
  const ownInsert: Statement = {
    text: `INSERT INTO ${ownTable} (${ownKey}, ${sharedKey}, version) VALUES ($1, $2, 1)${markers}`,
    values: [attemptId, keyFromRank(context)],
    table: undefined,
    isWrite: true,
    expectedRows: undefined,
    pointKey: undefined,
  };
  const sharedUpdate: Statement = {
    text:
      `UPDATE ${sharedTable} SET version = version + 1 WHERE ${sharedKey} = $1 ` +
      `RETURNING ${sharedKey} AS "key", version, $2::text AS echo${markers}`,
    values: [keyFromRank(context), attemptId],
    table: sharedTable,
    isWrite: true,
    expectedRows: 1,
    pointKey: undefined,
  };
  const auditInsert: Statement = {
    ...ownInsert,
    text: `INSERT INTO audit (entry_id, version) VALUES ($1, 1)${markers}`,
    values: [attemptId],
  };
  return {
    isTransaction: true,
    remainingMs: context.remainingMs,
    markers,
    statements: [ownInsert, sharedUpdate, auditInsert],
    effectRows: [`${ownTable}/${attemptId}`, `audit/${attemptId}`],
  };
}

function planOwnRowRead(context: AttemptContext): AttemptPlan | undefined {
  const separator = context.ownRow?.indexOf('/') ?? -1;
  if (context.ownRow === undefined || separator < 0) return undefined;
  const table = context.ownRow.slice(0, separator);
  return planPointRead(context, table, context.ownRow.slice(separator + 1));
}

function planPointRead(context: AttemptContext, table: string, key: string | number): AttemptPlan {
  const column = KEY_COLUMNS[table] ?? '';
  const text = `SELECT ${readColumns(column)} FROM ${table} WHERE ${column} = $1`;
  return planRead(context, table, text, [key, context.attemptId], undefined, `${table}/${key}`);
}

function planRangeRead(context: AttemptContext, table: string, length: number): AttemptPlan {
  const column = KEY_COLUMNS[table] ?? '';
  const first = Math.min(keyFromRank(context), initialRowCount(context) - length + 1);
  const text = `SELECT ${readColumns(column)} FROM ${table} WHERE ${column} BETWEEN $1 AND $3`;
  const values = [first, context.attemptId, first + length - 1];
  return planRead(context, table, text, values, length, undefined);
}

function readColumns(keyColumn: string): string {
  return `${keyColumn} AS "key", version, $2::text AS echo, pg_is_in_recovery() AS on_replica`;
}

function planRead(
  context: AttemptContext,
  table: string,
  text: string,
  values: readonly (string | number)[],
  expectedRows: number | undefined,
  pointKey: string | undefined,
): AttemptPlan {
  const marked = text + formatMarkers(context.kind, context.remainingMs, undefined);
  const statement = { text: marked, values, table, isWrite: false, expectedRows, pointKey };
  return {
    isTransaction: false,
    remainingMs: context.remainingMs,
    markers: '',
    statements: [statement],
    effectRows: [],
  };
}

/** Number of initial rows in the operation's shared table; their keys are 1 … this number. */
function initialRowCount({ deployment, kind }: AttemptContext): number {
  const { initialRows } = deployment;
  if (kind.operation === 'read-glossary') return initialRows.terms;
  return deployment.name === 'bureau' ? initialRows.documents : initialRows.docks;
}

function keyFromRank(context: AttemptContext): number {
  return 1 + (context.keyRank % initialRowCount(context));
}
