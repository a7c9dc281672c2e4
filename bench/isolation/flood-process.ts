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
/** Beyond what the group can serve: with 5 slots and 20 ms a statement, 250 a second. */
const REQUESTS_PER_SECOND = 1000;
const LONG_STATEMENTS_PER_SECOND = 100;
const LONG_STATEMENT_SECONDS = 1;
const TRANSACTIONS_PER_SECOND = 100;
const IDLE_MS = 1000;
const MS_PER_SECOND = 1000;
/** Requests waiting for a connection beyond which no more are kept. */
const MAX_WAITING = 1000;

interface FloodWork {
  readonly perSecond: number;
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
const proxies = proxiesOf(values.proxies);
const random = createRandom(Number(values.seed));
let running: RunningFlood | undefined;

const WORK: Readonly<Record<FloodKind, FloodWork>> = {
  requests: { perSecond: REQUESTS_PER_SECOND, work: runStatement },
  'long-statements': {
    perSecond: LONG_STATEMENTS_PER_SECOND,
    work: (client) => client.query(`SELECT pg_sleep(${LONG_STATEMENT_SECONDS})`),
  },
  'idle-transactions': { perSecond: TRANSACTIONS_PER_SECOND, work: runIdleTransaction },
};

process.stdout.write(`${JSON.stringify({ ready: true })}\n`);
for await (const line of createInterface({ input: process.stdin })) {
  const kind = FLOOD_KINDS.find((candidate) => candidate === line);
  if (kind === undefined) await end();
  else await begin(kind);
}
await running?.sessions.close();

async function begin(kind: FloodKind): Promise<void> {
  const sessions = await TenantSessions.open(proxies, NOISY_TENANT, GROUP, SESSIONS);
  running = { sessions, counts: { offered: 0, done: 0, refused: 0 }, stopped: false };
  process.stdout.write(`${JSON.stringify({ begun: true })}\n`);
  void flood(running, WORK[kind]);
}

/** Cuts the connections: what is queued or runs for them must not reach into the next phase. */
async function end(): Promise<void> {
  if (running === undefined) return;
  const { sessions, counts } = running;
  running.stopped = true;
  process.stdout.write(`${JSON.stringify(counts)}\n`);
  await sessions.close();
}

/** Open loop: starts work at its time whatever became of the rest. */
async function flood(current: RunningFlood, { perSecond, work }: FloodWork): Promise<void> {
  const { sessions, counts } = current;
  let dueAt = performance.now();
  while (!current.stopped) {
    dueAt += random.exponential(MS_PER_SECOND / perSecond);
    const waitMs = dueAt - performance.now();
    if (waitMs >= 1) await delay(waitMs);
    counts.offered += 1;
    if (sessions.waiting < MAX_WAITING) sessions.submit((client) => count(counts, work(client)));
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
  const id = random.integerBelow(ROWS);
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
    await client.query(`SELECT version FROM items WHERE id = ${random.integerBelow(ROWS)}`);
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
