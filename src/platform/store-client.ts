/**
 * Client of the platform's key-value store, using etcd v3's JSON gateway. Each call sends one request. Nothing is
 * retried here, since only the calling code knows whether a retry is safe.
 */
import { setMaxListeners } from 'node:events';
import { Agent } from 'node:http';
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import { z } from 'zod';
import type { Milliseconds } from '../core/units.js';
import type {
  RangeResponse,
  RevisionCompare,
  Store,
  TransactionOperation,
  TransactionResponse,
  WatchHandlers,
} from './contract.js';
import {
  StoreAnswerLostError,
  type StoreFailure,
  StoreLeaseNotFoundError,
  StoreProtocolError,
  StoreRateLimitedError,
  StoreRequestRejectedError,
  StoreUnavailableError,
} from './errors.js';
import {
  exchange,
  type HttpExchangeError,
  type HttpResponse,
  type ServiceEndpoint,
} from './http-exchange.js';
import {
  errorResponse,
  leaseGrantRequest,
  leaseGrantResponse,
  leaseKeepAliveResponse,
  leaseRequest,
  leaseRevokeResponse,
  rangeRequest,
  rangeResponse,
  transactionRequest,
  transactionResponse,
  watchRequest,
} from './store-messages.js';
import { StoreWatch } from './store-watch.js';

const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
const HTTP_OK = 200;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_SERVER_ERROR = 500;
/** gRPC status codes, as etcd's gateway reports them. */
const GRPC_NOT_FOUND = 5;
const GRPC_RESOURCE_EXHAUSTED = 8;

export interface StoreClientOptions {
  readonly endpoint: ServiceEndpoint;
  /** Identifies this node to the store, for the store's counters. */
  readonly clientName: string;
  /** Maximum wait for a response. */
  readonly requestTimeoutMs: Milliseconds;
  /** A watch that receives nothing for this long is ended; must exceed the store's progress notification interval. */
  readonly watchSilenceMs: Milliseconds;
  /** Connections shared by all calls; each watch has another one. */
  readonly maxConnections: number;
}

/** Used everywhere except in tests. */
export const DEFAULT_STORE_CLIENT_OPTIONS = {
  requestTimeoutMs: 2000,
  watchSilenceMs: 5000,
  maxConnections: 4,
} as const;

/** Counters since the creation of the client; `watchesOpen` is the present number. */
export interface StoreClientCounters {
  readonly requests: number;
  readonly unavailable: number;
  readonly rateLimited: number;
  readonly answersLost: number;
  readonly protocolErrors: number;
  readonly rejected: number;
  readonly watchesOpen: number;
}

interface StoreCall<Schema extends z.ZodType> {
  readonly path: string;
  readonly body: string;
  /** Whether the call, if executed, changes the store, so that its outcome is unknown if the response is lost. */
  readonly changesState: boolean;
  readonly responseSchema: Schema;
}

export class StoreClient implements Store {
  readonly #agent: Agent;
  readonly #watches = new Set<StoreWatch>();
  readonly #closing = new AbortController();
  #requests = 0;
  #unavailable = 0;
  #rateLimited = 0;
  #answersLost = 0;
  #protocolErrors = 0;
  #rejected = 0;

  constructor(private readonly options: StoreClientOptions) {
    this.#agent = new Agent({ keepAlive: true, maxSockets: options.maxConnections });
    // Every call in flight listens to this signal, and their number is not limited.
    setMaxListeners(0, this.#closing.signal);
  }

  range(prefix: string): ResultAsync<RangeResponse, StoreFailure> {
    const body = rangeRequest(prefix);
    return this.#call({
      path: '/v3/kv/range',
      body,
      changesState: false,
      responseSchema: rangeResponse,
    }).map((response) => ({ revision: response.header.revision, entries: response.kvs }));
  }

  transaction(
    compares: readonly RevisionCompare[],
    operations: readonly TransactionOperation[],
  ): ResultAsync<TransactionResponse, StoreFailure> {
    const body = transactionRequest(compares, operations);
    return this.#call({
      path: '/v3/kv/txn',
      body,
      changesState: operations.length > 0,
      responseSchema: transactionResponse,
    }).map((response) => ({
      succeeded: response.succeeded,
      revision: response.header.revision,
      current: response.responses.flatMap((part) => part.response_range?.kvs ?? []),
    }));
  }

  grantLease(seconds: number): ResultAsync<string, StoreFailure> {
    const body = leaseGrantRequest(seconds);
    const call = {
      path: '/v3/lease/grant',
      body,
      changesState: true,
      responseSchema: leaseGrantResponse,
    };
    return this.#call(call).map((response) => response.ID);
  }

  /** Renews a lease; returns its time to live in seconds. */
  keepLeaseAlive(leaseId: string): ResultAsync<number, StoreFailure> {
    const body = leaseRequest(leaseId);
    const call = {
      path: '/v3/lease/keepalive',
      body,
      changesState: true,
      responseSchema: leaseKeepAliveResponse,
    };
    return this.#call(call).andThen(({ result }) => {
      if (result.TTL > 0) return okAsync(result.TTL);
      return errAsync(new StoreLeaseNotFoundError(leaseId));
    });
  }

  revokeLease(leaseId: string): ResultAsync<void, StoreFailure> {
    const body = leaseRequest(leaseId);
    const call = {
      path: '/v3/lease/revoke',
      body,
      changesState: true,
      responseSchema: leaseRevokeResponse,
    };
    return this.#call(call)
      .map(() => undefined)
      .mapErr((error) => {
        const notFound =
          error instanceof StoreRequestRejectedError && error.grpcCode === GRPC_NOT_FOUND;
        return notFound ? new StoreLeaseNotFoundError(leaseId) : error;
      });
  }

  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): () => void {
    this.#requests += 1;
    const watch = new StoreWatch({
      endpoint: this.options.endpoint,
      clientName: this.options.clientName,
      body: watchRequest(prefix, fromRevision),
      silenceMs: this.options.watchSilenceMs,
      handlers,
      onClosed: () => this.#watches.delete(watch),
    });
    this.#watches.add(watch);
    watch.open();
    return () => watch.close();
  }

  requestCount(): number {
    return this.#requests;
  }

  counters(): StoreClientCounters {
    return {
      requests: this.#requests,
      unavailable: this.#unavailable,
      rateLimited: this.#rateLimited,
      answersLost: this.#answersLost,
      protocolErrors: this.#protocolErrors,
      rejected: this.#rejected,
      watchesOpen: this.#watches.size,
    };
  }

  /** Ends all watches without calling their handlers and all calls with an error, and closes every connection. */
  close(): void {
    for (const watch of [...this.#watches]) watch.close();
    this.#closing.abort();
    this.#agent.destroy();
  }

  #call<Schema extends z.ZodType>(
    call: StoreCall<Schema>,
  ): ResultAsync<z.output<Schema>, StoreFailure> {
    this.#requests += 1;
    return exchange({
      endpoint: this.options.endpoint,
      agent: this.#agent,
      clientName: this.options.clientName,
      method: 'POST',
      path: call.path,
      body: call.body,
      timeoutMs: this.options.requestTimeoutMs,
      maxResponseBytes: MAX_RESPONSE_BYTES,
      signal: this.#closing.signal,
    })
      .mapErr((error) => failureOfExchange(error, call.changesState))
      .andThen((response) => parseResponse(response, call))
      .mapErr((failure) => this.#count(failure));
  }

  #count(failure: StoreFailure): StoreFailure {
    if (failure instanceof StoreUnavailableError) this.#unavailable += 1;
    else if (failure instanceof StoreRateLimitedError) this.#rateLimited += 1;
    else if (failure instanceof StoreAnswerLostError) this.#answersLost += 1;
    else if (failure instanceof StoreProtocolError) this.#protocolErrors += 1;
    else this.#rejected += 1;
    return failure;
  }
}

function failureOfExchange(error: HttpExchangeError, changesState: boolean): StoreFailure {
  if (changesState && error.maybeSent)
    return new StoreAnswerLostError(error.message, { cause: error });
  return new StoreUnavailableError(error.message, { cause: error });
}

function parseResponse<Schema extends z.ZodType>(
  response: HttpResponse,
  call: StoreCall<Schema>,
): ResultAsync<z.output<Schema>, StoreFailure> {
  const json = parseJson(response.body);
  if (response.status !== HTTP_OK)
    return errAsync(failureOfResponse(response, json, call.changesState));
  const parsed = call.responseSchema.safeParse(json);
  if (parsed.success) return okAsync(parsed.data);
  return errAsync(new StoreProtocolError(z.prettifyError(parsed.error), call.changesState));
}

function failureOfResponse(
  response: HttpResponse,
  json: unknown,
  changesState: boolean,
): StoreFailure {
  const errorBody = errorResponse.safeParse(json);
  const grpcCode = errorBody.success ? errorBody.data.code : undefined;
  const message = errorBody.success ? errorBody.data.message : `HTTP status ${response.status}`;
  if (response.status === HTTP_TOO_MANY_REQUESTS || grpcCode === GRPC_RESOURCE_EXHAUSTED) {
    return new StoreRateLimitedError(response.retryAfterMs);
  }
  if (response.status >= HTTP_SERVER_ERROR) {
    const Failure = changesState ? StoreAnswerLostError : StoreUnavailableError;
    return new Failure(message, { hasResponded: true });
  }
  if (grpcCode !== undefined) return new StoreRequestRejectedError(grpcCode, message);
  return new StoreProtocolError(message, changesState);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
