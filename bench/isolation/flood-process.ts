/**
 * The process of the noisy tenant: each line of its input is a kind of flood to start, or `end`, which
 * it answers with the counts of the flood. Exits when its input closes.
 */
import { createInterface } from 'node:readline';
import { setTimeout as delay } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import type pg from 'pg';
import { createRandom } from '../load/random.js';
import { FLOOD_KINDS, type FloodCounts, type FloodKind } from './flood.js';
import { GROUP, NOISY_TENANT, ROW_COUNT } from './shared-cluster.js';
import { type ProxyEndpoint, TenantSessions } from './tenant-sessions.js';

const SESSION_COUNT = 150;
/** Above the capacity of the group, which is 250 per second with 5 slots and 20 ms per statement. */
const REQUESTS_PER_SECOND = 1000;
const LONG_STATEMENTS_PER_SECOND = 100;
const LONG_STATEMENT_SECONDS = 1;
const TRANSACTIONS_PER_SECOND = 100;
const TRANSACTION_IDLE_MS = 1000;
const MS_PER_SECOND = 1000;
/** Maximum number of requests that wait for a connection; further ones are dropped. */
const MAX_QUEUED_REQUESTS = 1000;

interface FloodWork {
  readonly ratePerSecond: number;
  readonly work: (client: pg.Client) => Promise<unknown>;
}

type MutableCounts = { -readonly [Name in keyof FloodCounts]: FloodCounts[Name] };

interface RunningFlood {
  readonly sessions: TenantSessions;
  readonly counts: MutableCounts;
  stopped: boolean;
}

const { values } = parseArgs({
  options: { proxies: { type: 'string', default: '' }, seed: { type: 'string', default: '1' } },
});
const proxies = parseProxies(values.proxies);
const random = createRandom(Number(values.seed));
let running: RunningFlood | undefined;

const WORK: Readonly<Record<FloodKind, FloodWork>> = {
  requests: { ratePerSecond: REQUESTS_PER_SECOND, work: runStatement },
  'long-statements': {
    ratePerSecond: LONG_STATEMENTS_PER_SECOND,
    work: (client) => client.query(`SELECT pg_sleep(${LONG_STATEMENT_SECONDS})`),
  },
  'idle-transactions': { ratePerSecond: TRANSACTIONS_PER_SECOND, work: runIdleTransaction },
};

process.stdout.write(`${JSON.stringify({ ready: true })}\n`);
for await (const line of createInterface({ input: process.stdin })) {
  const kind = FLOOD_KINDS.find((candidate) => candidate === line);
  if (kind === undefined) await end();
  else await startFlood(kind);
}
await running?.sessions.close();

async function startFlood(kind: FloodKind): Promise<void> {
  const sessions = await TenantSessions.open(proxies, NOISY_TENANT, GROUP, SESSION_COUNT);
  running = { sessions, counts: { offered: 0, done: 0, refused: 0 }, stopped: false };
  process.stdout.write(`${JSON.stringify({ begun: true })}\n`);
  void flood(running, WORK[kind]);
}

/** Closes the connections, so that their queued and running requests don't affect the next phase. */
async function end(): Promise<void> {
  if (running === undefined) return;
  const { sessions, counts } = running;
  running.stopped = true;
  process.stdout.write(`${JSON.stringify(counts)}\n`);
  await sessions.close();
}

/** Open loop: starts each request at its intended time, regardless of the others' progress. */
async function flood(current: RunningFlood, { ratePerSecond, work }: FloodWork): Promise<void> {
  const { sessions, counts } = current;
  let nextStartAt = performance.now();
  while (!current.stopped) {
    nextStartAt += random.exponential(MS_PER_SECOND / ratePerSecond);
    const waitMs = nextStartAt - performance.now();
    if (waitMs >= 1) await delay(waitMs);
    counts.offered += 1;
    if (sessions.queuedCount < MAX_QUEUED_REQUESTS)
      sessions.submit((client) => count(counts, work(client)));
  }
}

async function count(counts: MutableCounts, result: Promise<unknown>): Promise<void> {
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
  const id = random.integerBelow(ROW_COUNT);
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
    await client.query(`SELECT version FROM items WHERE id = ${random.integerBelow(ROW_COUNT)}`);
    await delay(TRANSACTION_IDLE_MS);
  } finally {
    await client.query('ROLLBACK');
  }
}

function parseProxies(text: string): ProxyEndpoint[] {
  return text.split(',').map((address) => {
    const [host = '', port] = address.split(':');
    return { host, port: Number(port) };
  });
}
