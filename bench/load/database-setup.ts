/** Tables and first rows of a group, written straight to its primary before a run. */
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
  /** Values of a row after its key. */
  readonly rest: string;
}

const ROWS_PER_INSERT = 100;

export async function prepareDatabase(
  primary: DatabaseAddress,
  credentials: Credentials,
  deployment: Deployment,
): Promise<void> {
  const client = new pg.Client({ ...primary, ...credentials });
  // A lost connection also rejects the query under way; that is where it is handled.
  client.on('error', () => undefined);
  await client.connect();
  try {
    for (const statement of TABLES) await client.query(statement);
    for (const table of initialTables(deployment)) await fill(client, table);
  } finally {
    await client.end();
  }
}

function initialTables({ initialRows }: Deployment): InitialTable[] {
  return [
    {
      table: 'documents',
      columns: 'document, status, version',
      rows: initialRows.documents,
      rest: "'open', 1",
    },
    {
      table: 'glossary',
      columns: 'term, translation, version',
      rows: initialRows.terms,
      rest: "'translation', 1",
    },
    { table: 'docks', columns: 'dock, hires, version', rows: initialRows.docks, rest: '0, 1' },
  ];
}

async function fill(
  client: pg.Client,
  { table, columns, rows, rest }: InitialTable,
): Promise<void> {
  for (let first = 1; first <= rows; first += ROWS_PER_INSERT) {
    const length = Math.min(ROWS_PER_INSERT, rows - first + 1);
    const values = Array.from({ length }, (_, index) => `(${first + index}, ${rest})`);
    const rowsText = values.join(', ');
    // Rows of an earlier attempt may be there.
    await client.query(
      `INSERT INTO ${table} (${columns}) VALUES ${rowsText} ON CONFLICT DO NOTHING`,
    );
  }
}
