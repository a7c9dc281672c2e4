/** HTTP server of the machine list: `GET /v1/machines?after=VERSION&wait=MS`, a long poll. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { z } from 'zod';
import { sendJson } from '../common/control-server.js';
import type { ServiceFaults } from '../common/service-faults.js';
import type { MachineList } from './machine-list.js';

const LIST_PATH = '/v1/machines';
const MAX_WAIT_MS = 60_000;

const pollQuery = z.object({
  after: z.coerce.number().int().min(0).default(0),
  wait: z.coerce.number().int().min(0).max(MAX_WAIT_MS).default(0),
});

/** Ends the wait of one long poll. */
type EndWait = () => void;

export class MachineListServer {
  readonly server: Server;
  readonly #waiters = new Set<EndWait>();
  #faults: ServiceFaults | undefined;
  #polls = 0;

  constructor(private readonly list: MachineList) {
    this.server = createServer((request, response) => this.#handle(request, response));
    list.onPublish = () => {
      for (const wake of [...this.#waiters]) wake();
    };
  }

  connectFaults(faults: ServiceFaults): void {
    this.#faults = faults;
  }

  /** Number of requests since start. */
  get polls(): number {
    return this.#polls;
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    this.#polls += 1;
    const serve = (): void => this.#serve(request, response);
    if (this.#faults === undefined) serve();
    else this.#faults.admit(request, response, serve);
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? '/', 'http://machines');
    const query = pollQuery.safeParse(Object.fromEntries(url.searchParams));
    if (request.method !== 'GET' || url.pathname !== LIST_PATH) {
      sendJson(response, 404, { error: `only GET ${LIST_PATH} is served` });
    } else if (!query.success) {
      sendJson(response, 400, { error: z.prettifyError(query.error) });
    } else if (query.data.after !== this.list.version || query.data.wait === 0) {
      this.#sendList(request, response);
    } else {
      this.#waitForChange(request, response, query.data.wait);
    }
  }

  #waitForChange(request: IncomingMessage, response: ServerResponse, waitMs: number): void {
    const finish = (): void => {
      clearTimeout(timer);
      this.#waiters.delete(finish);
      if (!response.destroyed) this.#sendList(request, response);
    };
    const timer = setTimeout(finish, waitMs);
    this.#waiters.add(finish);
    response.on('close', () => {
      clearTimeout(timer);
      this.#waiters.delete(finish);
    });
  }

  /** Applies the faults again: an outage that began during the wait also affects the response. */
  #sendList(request: IncomingMessage, response: ServerResponse): void {
    const send = (): void => {
      if (!response.destroyed) sendJson(response, 200, this.list.published());
    };
    if (this.#faults === undefined) send();
    else this.#faults.admit(request, response, () => this.#faults?.afterDelay(send));
  }
}
