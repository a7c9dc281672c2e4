/** HTTP server of the store stand-in: serves the paths of etcd v3's JSON gateway from the engine. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { performance } from 'node:perf_hooks';
import { readJsonBody, sendJson } from '../common/control-server.js';
import { ControlRequestError } from '../common/errors.js';
import type { ServiceFaults } from '../common/service-faults.js';
import type { StoreEngine } from './engine.js';
import type { StoreFaults } from './faults.js';
import {
  compactionMessage,
  deleteRangeMessage,
  leaseGrantMessage,
  leaseIdMessage,
  parseMessage,
  putMessage,
  rangeMessage,
  transactionMessage,
  watchMessage,
} from './messages.js';
import { GrpcStatus, StoreStandinError } from './model.js';
import type { RequestCounters } from './request-counters.js';
import {
  deletedJson,
  errorJson,
  headerJson,
  type JsonObject,
  operationJson,
  rangeJson,
} from './responses.js';
import { WatchStream } from './watch-stream.js';

const WATCH_PATH = '/v3/watch';

/** Executes one request and returns the fields of the response other than its header. */
type Handler = (engine: StoreEngine, body: unknown) => JsonObject;

interface Endpoint {
  readonly changesState: boolean;
  /** True for calls that stream in gRPC: the gateway wraps their responses in `result`. */
  readonly isStreamed?: boolean;
  readonly handle: Handler;
}

const revokeLease: Endpoint = {
  changesState: true,
  handle: (engine, body) => {
    engine.revokeLease(parseMessage(leaseIdMessage, body).ID);
    return {};
  },
};

const ENDPOINTS: Readonly<Record<string, Endpoint>> = {
  '/v3/kv/range': {
    changesState: false,
    handle: (engine, body) => {
      const message = parseMessage(rangeMessage, body);
      return rangeJson(engine.range(message.request), message);
    },
  },
  '/v3/kv/put': {
    changesState: true,
    handle: (engine, body) => {
      engine.put(parseMessage(putMessage, body));
      return {};
    },
  },
  '/v3/kv/deleterange': {
    changesState: true,
    handle: (engine, body) => {
      return deletedJson(engine.deleteRange(parseMessage(deleteRangeMessage, body)));
    },
  },
  '/v3/kv/txn': {
    changesState: true,
    handle: (engine, body) => {
      const result = engine.transaction(parseMessage(transactionMessage, body));
      const responses = result.responses.map((response) => {
        return operationJson(response, engine.revision);
      });
      return {
        ...(result.succeeded ? { succeeded: true } : {}),
        ...(responses.length === 0 ? {} : { responses }),
      };
    },
  },
  '/v3/kv/compaction': {
    changesState: true,
    handle: (engine, body) => {
      engine.compact(parseMessage(compactionMessage, body).revision);
      return {};
    },
  },
  '/v3/lease/grant': {
    changesState: true,
    handle: (engine, body) => {
      const { ID, TTL } = parseMessage(leaseGrantMessage, body);
      return { ID: engine.grantLease(ID, TTL, performance.now()), TTL: String(TTL) };
    },
  },
  '/v3/lease/keepalive': {
    changesState: true,
    isStreamed: true,
    handle: (engine, body) => {
      const { ID } = parseMessage(leaseIdMessage, body);
      const seconds = engine.keepLeaseAlive(ID, performance.now());
      return { ID, ...(seconds === 0 ? {} : { TTL: String(seconds) }) };
    },
  },
  '/v3/lease/revoke': revokeLease,
  '/v3/kv/lease/revoke': revokeLease,
};

/** The store's HTTP server. `connectFaults` adds outages and delays once it listens. */
export class StoreGateway {
  readonly server: Server;
  readonly #watches = new Set<WatchStream>();
  #serviceFaults: ServiceFaults | undefined;

  constructor(
    private readonly engine: StoreEngine,
    private readonly faults: StoreFaults,
    private readonly counters: RequestCounters,
    private readonly progressIntervalMs: number,
  ) {
    this.server = createServer((request, response) => this.#accept(request, response));
    this.server.requestTimeout = 0;
  }

  connectFaults(faults: ServiceFaults): void {
    this.#serviceFaults = faults;
    faults.onChange = () => {
      for (const watch of this.#watches) watch.flush();
    };
  }

  get watchCount(): number {
    return this.#watches.size;
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    const client = request.headers['user-agent'] ?? request.socket.remoteAddress ?? 'unknown';
    const path = request.url ?? '/';
    this.counters.countRequest(client, path);
    const serve = (): void => {
      this.#serve(client, path, request, response).catch((error: unknown) => {
        this.counters.countOutcome(client, path, 'failed');
        this.#respond(response, () => sendError(response, error));
      });
    };
    if (this.#serviceFaults === undefined) serve();
    else this.#serviceFaults.admit(request, response, serve);
  }

  async #serve(
    client: string,
    path: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readJsonBody(request);
    if (!this.faults.tryAdmit(performance.now())) {
      this.counters.countOutcome(client, path, 'rateLimited');
      const error = new StoreStandinError('RESOURCE_EXHAUSTED', 'etcdserver: too many requests');
      this.#respond(response, () => sendError(response, error));
      return;
    }
    if (path === WATCH_PATH) {
      this.#openWatch(body, response);
      return;
    }
    const endpoint = ENDPOINTS[path];
    if (endpoint === undefined) throw new StoreStandinError('NOT_FOUND', 'Not Found');
    const fields = endpoint.handle(this.engine, body);
    if (endpoint.changesState && this.faults.shouldLoseAnswer()) {
      this.counters.countOutcome(client, path, 'answersLost');
      request.socket.resetAndDestroy();
      return;
    }
    const payload = { header: headerJson(this.engine.revision), ...fields };
    const json = endpoint.isStreamed ? { result: payload } : payload;
    this.#respond(response, () => sendJson(response, 200, json));
  }

  #openWatch(body: unknown, response: ServerResponse): void {
    const message = parseMessage(watchMessage, body);
    const pace = () => ({
      isHeld: this.#serviceFaults?.outage === 'hang',
      delayMs: this.#serviceFaults?.answerDelayMs ?? 0,
    });
    const watch = new WatchStream(this.engine, message, response, pace, this.progressIntervalMs);
    this.#watches.add(watch);
    response.on('close', () => this.#watches.delete(watch));
  }

  #respond(response: ServerResponse, send: () => void): void {
    const sendIfOpen = (): void => {
      if (!response.destroyed) send();
    };
    if (this.#serviceFaults === undefined) sendIfOpen();
    else this.#serviceFaults.afterDelay(sendIfOpen);
  }
}

function sendError(response: ServerResponse, error: unknown): void {
  if (error instanceof StoreStandinError) {
    sendJson(response, GrpcStatus[error.status].httpStatus, errorJson(error));
    return;
  }
  const status = error instanceof ControlRequestError ? 'INVALID_ARGUMENT' : 'INTERNAL';
  const message = error instanceof Error ? error.message : 'unexpected failure';
  const standinError = new StoreStandinError(status, message);
  sendJson(response, GrpcStatus[status].httpStatus, errorJson(standinError));
}
