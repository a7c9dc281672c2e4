/**
 * One HTTP request with one bounded JSON answer over a keep-alive agent. Tells whether a request that
 * failed can have reached the other side.
 */
import {
  type Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request,
} from 'node:http';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { MeadowstackError } from '../core/errors.js';
import type { Milliseconds } from '../core/units.js';

/** Where a service of the platform listens. */
export interface ServiceEndpoint {
  readonly host: string;
  readonly port: number;
}

/** One request. */
export interface HttpExchange {
  readonly endpoint: ServiceEndpoint;
  readonly agent: Agent;
  /** Sent as `user-agent`, by which the service tells its clients apart. */
  readonly clientName: string;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  /** Headers beyond those that all our requests have. */
  readonly headers?: Readonly<Record<string, string>>;
  /** JSON text; absent for GET. */
  readonly body?: string;
  /** From the call to the last byte of the answer. */
  readonly timeoutMs: Milliseconds;
  /** Bound of opening a new connection; `timeoutMs` alone if absent. */
  readonly connectTimeoutMs?: Milliseconds;
  readonly maxAnswerBytes: number;
  /** Asked right before the first byte leaves, once connected: false means that none may. */
  readonly maySend?: () => boolean;
  /** Aborting ends the exchange with an error. */
  readonly signal?: AbortSignal;
}

/** The answer to one request. */
export interface HttpAnswer {
  readonly status: number;
  readonly retryAfterMs: Milliseconds | undefined;
  /** By name in small letters. */
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** The exchange gave no whole answer. */
export class HttpExchangeError extends MeadowstackError {
  readonly code = 'MS-HTTP-EXCHANGE';

  constructor(
    message: string,
    /** False if no connection was made, so that no byte of the request can have been sent. */
    readonly maybeSent: boolean,
  ) {
    super(message);
  }
}

const MILLISECONDS_PER_SECOND = 1000;

/** Sends the request and reads the whole answer, whatever its status. */
export function exchange(options: HttpExchange): ResultAsync<HttpAnswer, HttpExchangeError> {
  const answer = new Promise<HttpAnswer | HttpExchangeError>((resolve) => {
    startExchange(options, resolve);
  });
  return ResultAsync.fromSafePromise(answer).andThen((outcome) => {
    return outcome instanceof HttpExchangeError ? errAsync(outcome) : okAsync(outcome);
  });
}

/** Opens a request with the headers that all our requests have. The caller writes the body. */
export function openRequest(options: Omit<HttpExchange, 'timeoutMs'>): ClientRequest {
  const bodyHeaders =
    options.body === undefined
      ? {}
      : {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(options.body),
        };
  return request({
    host: options.endpoint.host,
    port: options.endpoint.port,
    agent: options.agent,
    method: options.method,
    path: options.path,
    headers: { 'user-agent': options.clientName, ...bodyHeaders, ...options.headers },
  });
}

function startExchange(
  options: HttpExchange,
  settle: (outcome: HttpAnswer | HttpExchangeError) => void,
): void {
  const outgoing = openRequest(options);
  let maybeSent = false;
  let connectTimer: NodeJS.Timeout | undefined;
  const finish = (outcome: HttpAnswer | HttpExchangeError): void => {
    clearTimeout(timer);
    clearTimeout(connectTimer);
    options.signal?.removeEventListener('abort', abort);
    settle(outcome);
  };
  const fail = (message: string): void => {
    finish(new HttpExchangeError(message, maybeSent));
    outgoing.destroy();
  };
  const abort = (): void => fail('aborted');
  const send = (): void => {
    if (options.maySend?.() === false) {
      fail('too late to be sent');
      return;
    }
    maybeSent = true;
    outgoing.end(options.body);
  };
  const timer = setTimeout(() => fail(`no answer in ${options.timeoutMs} ms`), options.timeoutMs);
  outgoing.on('socket', (socket) => {
    if (!socket.connecting) {
      send();
      return;
    }
    const { connectTimeoutMs } = options;
    if (connectTimeoutMs !== undefined) {
      connectTimer = setTimeout(
        () => fail(`no connection in ${connectTimeoutMs} ms`),
        connectTimeoutMs,
      );
    }
    socket.once('connect', () => {
      clearTimeout(connectTimer);
      send();
    });
  });
  outgoing.on('error', (error) => fail(error.message));
  outgoing.on('response', (incoming) => {
    collectBody(incoming, options.maxAnswerBytes, fail, (body) => {
      const { headers } = incoming;
      const retryAfterMs = parseRetryAfter(headers['retry-after']);
      finish({ status: incoming.statusCode ?? 0, retryAfterMs, headers, body });
    });
  });
  if (options.signal?.aborted) abort();
  else options.signal?.addEventListener('abort', abort, { once: true });
}

function collectBody(
  incoming: IncomingMessage,
  maxBytes: number,
  fail: (message: string) => void,
  done: (body: string) => void,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  incoming.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) fail(`answer longer than ${maxBytes} bytes`);
    else chunks.push(chunk);
  });
  incoming.on('error', (error) => fail(error.message));
  incoming.on('end', () => done(Buffer.concat(chunks).toString('utf8')));
}

function parseRetryAfter(header: string | undefined): Milliseconds | undefined {
  if (header === undefined) return undefined;
  const seconds = Number(header);
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * MILLISECONDS_PER_SECOND : undefined;
}
