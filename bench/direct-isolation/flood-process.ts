/**
 * The noisy tenant of the direct gateway: many sessions that send requests without a pause, except after
 * a refusal, which states the delay; or that open transactions and stay idle in them. Controlled by
 * lines on its standard input.
 */
import { createInterface } from 'node:readline';
import { setTimeout as delay } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { LineClient } from '../../test/support/line-client.js';
import type { FloodCounts } from '../isolation/flood.js';

const SESSION_COUNT = 320;
const TRANSACTION_IDLE_MS = 1000;
const DEFAULT_RETRY_DELAY_MS = 100;
const RETRY_AFTER_PATTERN = /retry after (\d+) ms$/;

/** A flood that runs until `end` is called. */
class RunningFlood {
  readonly counts = { offered: 0, done: 0, refused: 0 };
  readonly #stopped = new AbortController();
  readonly #ended: Promise<unknown>;

  constructor(clients: readonly LineClient[], kind: string) {
    const operate = kind === 'requests' ? write : idleInTransaction;
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
      await delay(Number(RETRY_AFTER_PATTERN.exec(refusal)?.[1] ?? DEFAULT_RETRY_DELAY_MS));
    }
  }
}

/** One operation; resolves with the text of the refusal if it was refused. */
type Operation = (client: LineClient) => Promise<string | undefined>;

async function write(client: LineClient): Promise<string | undefined> {
  return (await client.query('f', 'WRITE flood value')).error?.text;
}

async function idleInTransaction(client: LineClient): Promise<string | undefined> {
  await client.query('f', 'BEGIN');
  const { error } = await client.query('f', 'READ flood');
  if (error === undefined) await delay(TRANSACTION_IDLE_MS);
  await client.query('f', 'ROLLBACK');
  return error?.text;
}

async function connect(addresses: readonly string[]): Promise<LineClient[]> {
  return Promise.all(
    Array.from({ length: SESSION_COUNT }, async (_, index) => {
      const [host = '', port] = (addresses[index % addresses.length] ?? '').split(':');
      const client = await LineClient.connect(host, Number(port));
      await client.start('flood', 'noisy');
      return client;
    }),
  );
}

function writeMessage(message: object): void {
  process.stdout.write(`${JSON.stringify(message)}\n`);
}

const { values } = parseArgs({
  options: { proxies: { type: 'string', default: '' }, seed: { type: 'string' } },
});
const clients = await connect(values.proxies.split(','));
writeMessage({ ready: true });
let flood: RunningFlood | undefined;
for await (const line of createInterface({ input: process.stdin })) {
  if (line === 'end') writeMessage((await flood?.end()) ?? {});
  else {
    flood = new RunningFlood(clients, line);
    writeMessage({ begun: true });
  }
}
for (const client of clients) client.destroy();
