/** Counts requests per client and path, for the bound on requests that a node sends a minute. */

/** How many requests of one client went to one path, and how they ended. */
export interface RequestCounter {
  readonly client: string;
  readonly path: string;
  requests: number;
  rateLimited: number;
  answersLost: number;
  failed: number;
}

export type RequestEnding = 'rateLimited' | 'answersLost' | 'failed';

export class RequestCounters {
  readonly #counters = new Map<string, RequestCounter>();

  countRequest(client: string, path: string): void {
    this.#counter(client, path).requests += 1;
  }

  countEnding(client: string, path: string, ending: RequestEnding): void {
    this.#counter(client, path)[ending] += 1;
  }

  #counter(client: string, path: string): RequestCounter {
    const id = JSON.stringify([client, path]);
    const known = this.#counters.get(id);
    if (known !== undefined) return known;
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
