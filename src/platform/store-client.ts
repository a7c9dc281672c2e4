/**
 * Client of the platform's key-value store, over etcd v3's JSON gateway. Each call is one request:
 * nothing is retried here, since only the caller knows whether a retry is safe.
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
  type HttpAnswer,
  type HttpExchangeError,
  type ServiceEndpoint,
} from './http-exchange.js';
import {
  errorAnswer,
  leaseGrantAnswer,
  leaseGrantRequest,
  leaseKeepAliveAnswer,
  leaseRequest,
  leaseRevokeAnswer,
  rangeAnswer,
  rangeRequest,
  transactionAnswer,
  transactionRequest,
  watchRequest,
} from './store-messages.js';
import { StoreWatch } from './store-watch.js';

const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
const HTTP_OK = 200;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_SERVER_ERROR = 500;
/** gRPC status codes, as etcd's gateway reports them. */
const GRPC_NOT_FOUND = 5;
const GRPC_RESOURCE_EXHAUSTED = 8;

/** What the client is made of. */
export interface StoreClientOptions {
  readonly endpoint: ServiceEndpoint;
  /** Names this node to the store, for its counters. */
  readonly clientName: string;
  /** Longest wait for an answer. */
  readonly requestTimeoutMs: Milliseconds;
  /** A watch that hears nothing for so long is ended; above the store's progress interval. */
  readonly watchSilenceMs: Milliseconds;
  /** Connections kept for calls; watches have one each besides. */
  readonly maxConnections: number;
}

/** Timing unless a test asks otherwise. */
export const DEFAULT_STORE_CLIENT_OPTIONS = {
  requestTimeoutMs: 2000,
  watchSilenceMs: 5000,
  maxConnections: 4,
} as const;

/** What the client has done since it was made. */
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
  /** True if the call changes something, so that a lost answer leaves its outcome unknown. */
  readonly changes: boolean;
  readonly answer: Schema;
}

/** The store's client. */
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
    // Each call that is open listens to the one signal; any number of calls may be.
    setMaxListeners(0, this.#closing.signal);
  }

  range(prefix: string): ResultAsync<RangeResponse, StoreFailure> {
    const body = rangeRequest(prefix);
    return this.#call({ path: '/v3/kv/range', body, changes: false, answer: rangeAnswer }).map(
      (answer) => ({ revision: answer.header.revision, entries: answer.kvs }),
    );
  }

  transaction(
    compares: readonly RevisionCompare[],
    operations: readonly TransactionOperation[],
  ): ResultAsync<TransactionResponse, StoreFailure> {
    const body = transactionRequest(compares, operations);
    return this.#call({
      path: '/v3/kv/txn',
      body,
      changes: operations.length > 0,
      answer: transactionAnswer,
    }).map((answer) => ({
      succeeded: answer.succeeded,
      revision: answer.header.revision,
      current: answer.responses.flatMap((response) => response.response_range?.kvs ?? []),
    }));
  }

  grantLease(seconds: number): ResultAsync<string, StoreFailure> {
    const body = leaseGrantRequest(seconds);
    const call = { path: '/v3/lease/grant', body, changes: true, answer: leaseGrantAnswer };
    return this.#call(call).map((answer) => answer.ID);
  }

  /** Renews a lease and gives its time to live in seconds. */
  keepLeaseAlive(leaseId: string): ResultAsync<number, StoreFailure> {
    const body = leaseRequest(leaseId);
    const call = { path: '/v3/lease/keepalive', body, changes: true, answer: leaseKeepAliveAnswer };
    return this.#call(call).andThen(({ result }) => {
      if (result.TTL > 0) return okAsync(result.TTL);
      return errAsync(new StoreLeaseNotFoundError(leaseId));
    });
  }

  revokeLease(leaseId: string): ResultAsync<void, StoreFailure> {
    const body = leaseRequest(leaseId);
    const call = { path: '/v3/lease/revoke', body, changes: true, answer: leaseRevokeAnswer };
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

  /** Ends all watches silently and all calls with an error, and closes every connection. */
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
      maxAnswerBytes: MAX_ANSWER_BYTES,
      signal: this.#closing.signal,
    })
      .mapErr((error) => failureOfExchange(error, call.changes))
      .andThen((answer) => readAnswer(answer, call))
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

function failureOfExchange(error: HttpExchangeError, changes: boolean): StoreFailure {
  if (changes && error.maybeSent) return new StoreAnswerLostError(error.message, { cause: error });
  return new StoreUnavailableError(error.message, { cause: error });
}

function readAnswer<Schema extends z.ZodType>(
  answer: HttpAnswer,
  call: StoreCall<Schema>,
): ResultAsync<z.output<Schema>, StoreFailure> {
  const json = parseJson(answer.body);
  if (answer.status !== HTTP_OK) return errAsync(refusalOf(answer, json, call.changes));
  const parsed = call.answer.safeParse(json);
  if (parsed.success) return okAsync(parsed.data);
  return errAsync(new StoreProtocolError(z.prettifyError(parsed.error), call.changes));
}

function refusalOf(answer: HttpAnswer, json: unknown, changes: boolean): StoreFailure {
  const refusal = errorAnswer.safeParse(json);
  const grpcCode = refusal.success ? refusal.data.code : undefined;
  const message = refusal.success ? refusal.data.message : `HTTP status ${answer.status}`;
  if (answer.status === HTTP_TOO_MANY_REQUESTS || grpcCode === GRPC_RESOURCE_EXHAUSTED) {
    return new StoreRateLimitedError(answer.retryAfterMs);
  }
  if (answer.status >= HTTP_SERVER_ERROR) {
    return changes ? new StoreAnswerLostError(message) : new StoreUnavailableError(message);
  }
  if (grpcCode !== undefined) return new StoreRequestRejectedError(grpcCode, message);
  return new StoreProtocolError(message, changes);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
