/**
 * The load of the tenant that is to be left alone: open loop, seeded. Latency counts from the time at
 * which a request was meant to start.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { createRandom, type Random } from '../load/random.js';
import { ROWS } from './shared-cluster.js';
import type { TenantSessions } from './tenant-sessions.js';

export interface QuietRequest {
  readonly kind: QuietKind;
  /** From the start of the phase to the intended start of the request. */
  readonly offsetMs: number;
  readonly latencyMs: number;
  /** SQLSTATE, or undefined if it was answered. */
  readonly error: string | undefined;
}

export type QuietKind = 'lookup' | 'read' | 'write';

const MS_PER_SECOND = 1000;
const LOOKUP_SHARE = 0.4;
const READ_SHARE = 0.4;

export class QuietLoad {
  readonly #sessions: TenantSessions;
  readonly #random: Random;
  readonly #ratePerSecond: number;

  constructor(sessions: TenantSessions, seed: number, ratePerSecond: number) {
    this.#sessions = sessions;
    this.#random = createRandom(seed);
    this.#ratePerSecond = ratePerSecond;
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

  #pauseMs(): number {
    return this.#random.exponential(MS_PER_SECOND / this.#ratePerSecond);
  }

  #send(startedAt: number, offsetMs: number): Promise<QuietRequest> {
    const kind = this.#pickKind();
    const text = statementOf(kind, this.#random.integerBelow(ROWS));
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
    if (pick < LOOKUP_SHARE) return 'lookup';
    return pick < LOOKUP_SHARE + READ_SHARE ? 'read' : 'write';
  }
}

function statementOf(kind: QuietKind, id: number): string {
  if (kind === 'write') return `UPDATE items SET version = version + 1 WHERE id = ${id}`;
  const read = `SELECT version FROM items WHERE id = ${id}`;
  return kind === 'read' ? read : `${read} /*meadowstack_kind='lookup'*/`;
}
