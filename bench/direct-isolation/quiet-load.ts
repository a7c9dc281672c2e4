/** The seeded open-loop load of the direct gateway's quiet tenant, whose latency is measured. */
import { setTimeout as delay } from 'node:timers/promises';
import { LineClient } from '../../test/support/line-client.js';
import type { QuietRequest } from '../isolation/quiet-load.js';
import { createRandom, type Random } from '../load/random.js';

const MS_PER_SECOND = 1000;
const WRITE_PROBABILITY = 0.3;
const KEY_COUNT = 50;

export class QuietLoad {
  readonly #idle: LineClient[];
  readonly #random: Random;

  private constructor(
    idleClients: LineClient[],
    seed: number,
    private readonly ratePerSecond: number,
  ) {
    this.#idle = idleClients;
    this.#random = createRandom(seed);
  }

  /** Opens sessions; `count` must be so high that every request finds a free one. */
  static async open(
    port: number,
    count: number,
    seed: number,
    ratePerSecond: number,
  ): Promise<QuietLoad> {
    const opened = Array.from({ length: count }, async () => {
      const client = await LineClient.connect('127.0.0.1', port);
      await client.start('quiet', 'quiet');
      return client;
    });
    return new QuietLoad(await Promise.all(opened), seed, ratePerSecond);
  }

  /** Runs for `durationMs` and resolves once all requests have been answered. */
  async run(durationMs: number): Promise<readonly QuietRequest[]> {
    const startedAt = performance.now();
    const requests: Promise<QuietRequest>[] = [];
    for (
      let offsetMs = this.#nextIntervalMs();
      offsetMs < durationMs;
      offsetMs += this.#nextIntervalMs()
    ) {
      const waitMs = startedAt + offsetMs - performance.now();
      if (waitMs >= 1) await delay(waitMs);
      requests.push(this.#send(startedAt, offsetMs));
    }
    return Promise.all(requests);
  }

  close(): void {
    for (const client of this.#idle) client.close();
  }

  #nextIntervalMs(): number {
    return this.#random.exponential(MS_PER_SECOND / this.ratePerSecond);
  }

  async #send(startedAt: number, offsetMs: number): Promise<QuietRequest> {
    const kind = this.#random.fraction() < WRITE_PROBABILITY ? 'write' : 'read';
    const key = `q${this.#random.integerBelow(KEY_COUNT)}`;
    const client = this.#idle.shift();
    if (client === undefined) return { kind, offsetMs, latencyMs: 0, error: 'no session' };
    const text = kind === 'write' ? `WRITE ${key} value` : `READ ${key}`;
    const { error } = await client.query('q', text);
    const latencyMs = performance.now() - startedAt - offsetMs;
    this.#idle.push(client);
    return { kind, offsetMs, latencyMs, error: error?.code };
  }
}
