/**
 * The noisy tenant of the direct gateway: many sessions that ask without end, and come back when a
 * refusal says so; or that open transactions and rest in them. Driven by lines on its standard input.
 */
import { createInterface } from 'node:readline';
import { setTimeout as delay } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { LineClient } from '../../test/support/line-client.js';
import type { FloodCounts } from '../isolation/flood.js';

const SESSIONS = 320;
const REST_MS = 1000;
const DEFAULT_RETRY_MS = 100;
const RETRY_AFTER = /retry after (\d+) ms$/;

/** A flood that goes on until it is ended. */
class RunningFlood {
  readonly counts = { offered: 0, done: 0, refused: 0 };
  readonly #stopped = new AbortController();
  readonly #ended: Promise<unknown>;

  constructor(clients: readonly LineClient[], kind: string) {
    const operate = kind === 'requests' ? write : restInTransaction;
    this.#ended = Promise.all(clients.map((client) => this.#repeat(client, operate)));
  }

  async end(): Promise<FloodCounts> {
    this.#stopped.abort();
    await this.#ended;
    return this.counts;
  }

  async #repeat(client: LineClient, operate: Operation): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      this.counts.offered += 1;
      const refusal = await operate(client);
      if (refusal === undefined) {
        this.counts.done += 1;
        continue;
      }
      this.counts.refused += 1;
      await delay(Number(RETRY_AFTER.exec(refusal)?.[1] ?? DEFAULT_RETRY_MS));
    }
  }
}

/** One operation; the text of its refusal, if it was refused. */
type Operation = (client: LineClient) => Promise<string | undefined>;

async function write(client: LineClient): Promise<string | undefined> {
  return (await client.query('f', 'WRITE flood value')).error?.text;
}

async function restInTransaction(client: LineClient): Promise<string | undefined> {
  await client.query('f', 'BEGIN');
  const { error } = await client.query('f', 'READ flood');
  if (error === undefined) await delay(REST_MS);
  await client.query('f', 'ROLLBACK');
  return error?.text;
}

async function connect(addresses: readonly string[]): Promise<LineClient[]> {
  return Promise.all(
    Array.from({ length: SESSIONS }, async (_, index) => {
      const [host = '', port] = (addresses[index % addresses.length] ?? '').split(':');
      const client = await LineClient.connect(host, Number(port));
      await client.start('flood', 'noisy');
      return client;
    }),
  );
}

function tell(message: object): void {
  process.stdout.write(`${JSON.stringify(message)}\n`);
}

const { values } = parseArgs({
  options: { proxies: { type: 'string', default: '' }, seed: { type: 'string' } },
});
const clients = await connect(values.proxies.split(','));
tell({ ready: true });
let flood: RunningFlood | undefined;
for await (const line of createInterface({ input: process.stdin })) {
  if (line === 'end') tell((await flood?.end()) ?? {});
  else {
    flood = new RunningFlood(clients, line);
    tell({ begun: true });
  }
}
for (const client of clients) client.destroy();
