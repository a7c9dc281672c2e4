/** Counts requests per client and path, to check the limit on requests per minute of a node. */

/** Number of requests of one client to one path, and of those with each outcome. */
export interface RequestCounter {
  readonly client: string;
  readonly path: string;
  requests: number;
  rateLimited: number;
  answersLost: number;
  failed: number;
}

export type RequestOutcome = 'rateLimited' | 'answersLost' | 'failed';

export class RequestCounters {
  readonly #counters = new Map<string, RequestCounter>();

  countRequest(client: string, path: string): void {
    this.#counter(client, path).requests += 1;
  }

  countOutcome(client: string, path: string, outcome: RequestOutcome): void {
    this.#counter(client, path)[outcome] += 1;
  }

  #counter(client: string, path: string): RequestCounter {
    const id = JSON.stringify([client, path]);
    const existing = this.#counters.get(id);
    if (existing !== undefined) return existing;
    const counter = { client, path, requests: 0, rateLimited: 0, answersLost: 0, failed: 0 };
    this.#counters.set(id, counter);
    return counter;
  }

  list(): readonly RequestCounter[] {
    return [...this.#counters.values()];
  }

  reset(): void {
    this.#counters.clear();
  }
}
