/** Creates the tables and initial rows of a group, directly on its primary, before a run. */
import pg from 'pg';
import type { Deployment } from '../deployments.js';
import type { Credentials } from './caller-session.js';
import { TABLES } from './statements.js';

export interface DatabaseAddress {
  readonly host: string;
  readonly port: number;
}

interface InitialTable {
  readonly table: string;
  readonly columns: string;
  readonly rows: number;
  /** Values of the columns after the key, as SQL. */
  readonly otherValues: string;
}

const ROWS_PER_INSERT = 100;

export async function prepareDatabase(
  primary: DatabaseAddress,
  credentials: Credentials,
  deployment: Deployment,
): Promise<void> {
  const client = new pg.Client({ ...primary, ...credentials });
  // A lost connection also rejects the running query, whose caller handles it.
  client.on('error', () => undefined);
  await client.connect();
  try {
    for (const statement of TABLES) await client.query(statement);
    for (const table of listInitialTables(deployment)) await insertInitialRows(client, table);
  } finally {
    await client.end();
  }
}

function listInitialTables({ initialRows }: Deployment): InitialTable[] {
  return [
    {
      table: 'documents',
      columns: 'document, status, version',
      rows: initialRows.documents,
      otherValues: "'open', 1",
    },
    {
      table: 'glossary',
      columns: 'term, translation, version',
      rows: initialRows.terms,
      otherValues: "'translation', 1",
    },
    {
      table: 'docks',
      columns: 'dock, hires, version',
      rows: initialRows.docks,
      otherValues: '0, 1',
    },
  ];
}

async function insertInitialRows(
  client: pg.Client,
  { table, columns, rows, otherValues }: InitialTable,
): Promise<void> {
  for (let first = 1; first <= rows; first += ROWS_PER_INSERT) {
    const length = Math.min(ROWS_PER_INSERT, rows - first + 1);
    const values = Array.from({ length }, (_, index) => `(${first + index}, ${otherValues})`);
    const rowsText = values.join(', ');
    // An earlier attempt may have inserted some of the rows.
    await client.query(
      `INSERT INTO ${table} (${columns}) VALUES ${rowsText} ON CONFLICT DO NOTHING`,
    );
  }
}
