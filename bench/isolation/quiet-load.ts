/**
 * The seeded open-loop load of the quiet tenant, whose latency is measured. Latency counts from the
 * intended start of a request.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom, type Random } from '../load/random.js';
import { ROW_COUNT } from './shared-cluster.js';
import type { TenantSessions } from './tenant-sessions.js';

export interface QuietRequest {
  readonly kind: QuietKind;
  /** Intended start of the request, relative to the start of the phase. */
  readonly offsetMs: number;
  readonly latencyMs: number;
  /** SQLSTATE or `connection lost`; undefined if the request succeeded. */
  readonly error: string | undefined;
}

export type QuietKind = 'lookup' | 'read' | 'write';

const MS_PER_SECOND = 1000;
const LOOKUP_PROBABILITY = 0.4;
const READ_PROBABILITY = 0.4;

export class QuietLoad {
  readonly #sessions: TenantSessions;
  readonly #random: Random;
  readonly #ratePerSecond: number;

  constructor(sessions: TenantSessions, seed: number, ratePerSecond: number) {
    this.#sessions = sessions;
    this.#random = createRandom(seed);
    this.#ratePerSecond = ratePerSecond;
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

  #nextIntervalMs(): number {
    return this.#random.exponential(MS_PER_SECOND / this.#ratePerSecond);
  }

  #send(startedAt: number, offsetMs: number): Promise<QuietRequest> {
    const kind = this.#pickKind();
    const text = createStatement(kind, this.#random.integerBelow(ROW_COUNT));
    return new Promise((resolve) => {
      this.#sessions.submit(async (client) => {
        const error = await client.query(text).then(
          () => undefined,
          (failure: { code?: string }) => failure.code ?? 'connection lost',
        );
        const latencyMs = performance.now() - startedAt - offsetMs;
        resolve({ kind, offsetMs, latencyMs, error });
      });
    });
  }

  #pickKind(): QuietKind {
    const pick = this.#random.fraction();
    if (pick < LOOKUP_PROBABILITY) return 'lookup';
    return pick < LOOKUP_PROBABILITY + READ_PROBABILITY ? 'read' : 'write';
  }
}

function createStatement(kind: QuietKind, id: number): string {
  if (kind === 'write') return `UPDATE items SET version = version + 1 WHERE id = ${id}`;
  const read = `SELECT version FROM items WHERE id = ${id}`;
  return kind === 'read' ? read : `${read} /*meadowstack_kind='lookup'*/`;
}
