/**
 * The noisy tenant, as a process: reads a kind of flood or `end` from each line of its input, and
 * answers `end` with the counts of what it did. Ends with its input.
 */
import { createInterface } from 'node:readline';
import { setTimeout as delay } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import type pg from 'pg';
import { createRandom } from '../load/random.js';
import { FLOOD_KINDS, type FloodCounts, type FloodKind } from './flood.js';
import { GROUP, NOISY_TENANT, ROWS } from './shared-cluster.js';
import { type ProxyEndpoint, TenantSessions } from './tenant-sessions.js';

const SESSIONS = 150;
/** Beyond what the group can serve: with 5 slots and 4 ms a statement, 1,250 a second. */
const REQUESTS_PER_SECOND = 3000;
const LONG_STATEMENTS_PER_SECOND = 200;
const LONG_STATEMENT_SECONDS = 0.3;
const TRANSACTIONS_PER_SECOND = 200;
const IDLE_MS = 500;
const MS_PER_SECOND = 1000;
/** Requests waiting for a connection beyond which no more are kept. */
const MAX_WAITING = 1000;

type Work = (client: pg.Client) => Promise<unknown>;

const { values } = parseArgs({
  options: { proxies: { type: 'string', default: '' }, seed: { type: 'string', default: '1' } },
});
const random = createRandom(Number(values.seed));
const sessions = await TenantSessions.open(
  proxiesOf(values.proxies),
  NOISY_TENANT,
  GROUP,
  SESSIONS,
);
let counts = zeroCounts();
let running: AbortController | undefined;

const WORK: Readonly<Record<FloodKind, { readonly perSecond: number; readonly work: Work }>> = {
  requests: { perSecond: REQUESTS_PER_SECOND, work: runStatement },
  'long-statements': {
    perSecond: LONG_STATEMENTS_PER_SECOND,
    work: (client) => client.query(`SELECT pg_sleep(${LONG_STATEMENT_SECONDS})`),
  },
  'idle-transactions': { perSecond: TRANSACTIONS_PER_SECOND, work: runIdleTransaction },
};

for await (const line of startReading()) {
  const kind = FLOOD_KINDS.find((candidate) => candidate === line);
  if (kind === undefined) end();
  else void flood(kind);
}
await sessions.close();

function startReading(): AsyncIterable<string> {
  process.stdout.write(`${JSON.stringify({ ready: true })}\n`);
  return createInterface({ input: process.stdin });
}

function end(): void {
  running?.abort();
  sessions.dropWaiting();
  process.stdout.write(`${JSON.stringify(counts)}\n`);
  counts = zeroCounts();
}

/** Open loop: starts work at its time whatever became of the rest. */
async function flood(kind: FloodKind): Promise<void> {
  const { perSecond, work } = WORK[kind];
  const stopping = new AbortController();
  running = stopping;
  const { signal } = stopping;
  let dueAt = performance.now();
  while (!signal.aborted) {
    dueAt += random.exponential(MS_PER_SECOND / perSecond);
    const waitMs = dueAt - performance.now();
    if (waitMs >= 1) await delay(waitMs);
    if (signal.aborted) return;
    counts.offered += 1;
    if (sessions.waiting < MAX_WAITING) sessions.submit((client) => count(work(client)));
  }
}

async function count(result: Promise<unknown>): Promise<void> {
  await result.then(
    () => {
      counts.done += 1;
    },
    () => {
      counts.refused += 1;
    },
  );
}

function runStatement(client: pg.Client): Promise<unknown> {
  const id = random.below(ROWS);
  const isWrite = random.fraction() < 0.5;
  return client.query(
    isWrite
      ? `UPDATE items SET version = version + 1 WHERE id = ${id}`
      : `SELECT version FROM items WHERE id = ${id}`,
  );
}

async function runIdleTransaction(client: pg.Client): Promise<void> {
  await client.query('BEGIN');
  try {
    await client.query(`SELECT version FROM items WHERE id = ${random.below(ROWS)}`);
    await delay(IDLE_MS);
  } finally {
    await client.query('ROLLBACK');
  }
}

function proxiesOf(text: string): ProxyEndpoint[] {
  return text.split(',').map((address) => {
    const [host = '', port] = address.split(':');
    return { host, port: Number(port) };
  });
}

function zeroCounts(): { -readonly [Name in keyof FloodCounts]: FloodCounts[Name] } {
  return { offered: 0, done: 0, refused: 0 };
}
