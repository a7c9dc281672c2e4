/** The tenant of the direct gateway that is to be left alone: open loop, seeded, as in isolation/. */
import { setTimeout as delay } from 'node:timers/promises';
import { LineClient } from '../../test/support/line-client.js';
import type { QuietRequest } from '../isolation/quiet-load.js';
import { createRandom, type Random } from '../load/random.js';

const MS_PER_SECOND = 1000;
const WRITE_SHARE = 0.3;
const THINGS = 50;

export class QuietSessions {
  readonly #idle: LineClient[];
  readonly #random: Random;

  private constructor(
    clients: LineClient[],
    seed: number,
    private readonly ratePerSecond: number,
  ) {
    this.#idle = clients;
    this.#random = createRandom(seed);
  }

  /** Sessions enough that no request waits for one. */
  static async open(
    port: number,
    count: number,
    seed: number,
    ratePerSecond: number,
  ): Promise<QuietSessions> {
    const opened = Array.from({ length: count }, async () => {
      const client = await LineClient.connect('127.0.0.1', port);
      await client.start('quiet', 'quiet');
      return client;
    });
    return new QuietSessions(await Promise.all(opened), seed, ratePerSecond);
  }

  /** Runs for so long and resolves with all answers. */
  async run(durationMs: number): Promise<readonly QuietRequest[]> {
    const startedAt = performance.now();
    const requests: Promise<QuietRequest>[] = [];
    for (let offsetMs = this.#pauseMs(); offsetMs < durationMs; offsetMs += this.#pauseMs()) {
      const waitMs = startedAt + offsetMs - performance.now();
      if (waitMs >= 1) await delay(waitMs);
      requests.push(this.#send(startedAt, offsetMs));
    }
    return Promise.all(requests);
  }

  close(): void {
    for (const client of this.#idle) client.close();
  }

  #pauseMs(): number {
    return this.#random.exponential(MS_PER_SECOND / this.ratePerSecond);
  }

  async #send(startedAt: number, offsetMs: number): Promise<QuietRequest> {
    const kind = this.#random.fraction() < WRITE_SHARE ? 'write' : 'read';
    const thing = `q${this.#random.integerBelow(THINGS)}`;
    const client = this.#idle.shift();
    if (client === undefined) return { kind, offsetMs, latencyMs: 0, error: 'no session' };
    const text = kind === 'write' ? `WRITE ${thing} value` : `READ ${thing}`;
    const { error } = await client.query('q', text);
    const latencyMs = performance.now() - startedAt - offsetMs;
    this.#idle.push(client);
    return { kind, offsetMs, latencyMs, error: error?.code };
  }
}
