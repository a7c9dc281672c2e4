/** Connections of one tenant, spread over the proxies; each runs one request at a time. */
import pg from 'pg';
import type { ClusterTenant } from '../harness/cluster.js';

export interface ProxyEndpoint {
  readonly host: string;
  readonly port: number;
}

export type TenantIdentity = Pick<ClusterTenant, 'name' | 'password'>;

/** Work to run on one connection. */
export type SessionWork = (client: pg.Client) => Promise<void>;

export class TenantSessions {
  readonly #idle: pg.Client[] = [];
  readonly #queue: SessionWork[] = [];
  readonly #clients: pg.Client[];

  private constructor(clients: pg.Client[]) {
    this.#clients = clients;
    this.#idle.push(...clients);
  }

  static async open(
    proxies: readonly ProxyEndpoint[],
    tenant: TenantIdentity,
    database: string,
    count: number,
  ): Promise<TenantSessions> {
    const opened = Array.from({ length: count }, async (_, index) => {
      const { host, port } = proxies[index % proxies.length] ?? { host: '', port: 0 };
      const { name: user, password } = tenant;
      const client = new pg.Client({ host, port, user, password, database });
      client.on('error', () => undefined);
      await client.connect();
      return client;
    });
    return new TenantSessions(await Promise.all(opened));
  }

  get queuedCount(): number {
    return this.#queue.length;
  }

  /** Runs the work on a free connection, or queues it for the next one. */
  submit(work: SessionWork): void {
    const client = this.#idle.pop();
    if (client === undefined) this.#queue.push(work);
    else void this.#run(client, work);
  }

  /** Drops all work that has not begun. */
  clearQueue(): void {
    this.#queue.length = 0;
  }

  async close(): Promise<void> {
    this.clearQueue();
    await Promise.allSettled(this.#clients.map((client) => client.end()));
  }

  async #run(client: pg.Client, work: SessionWork): Promise<void> {
    await work(client);
    const next = this.#queue.shift();
    if (next === undefined) this.#idle.push(client);
    else void this.#run(client, next);
  }
}
