/**
 * Sends one HTTP request and reads the response, whose size is limited. A failure says whether the request may have
 * reached the server.
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

/** Address of one of the platform's services. */
export interface ServiceEndpoint {
  readonly host: string;
  readonly port: number;
}

export interface HttpExchange {
  readonly endpoint: ServiceEndpoint;
  readonly agent: Agent;
  /** Sent as `user-agent`, which identifies the client to the service. */
  readonly clientName: string;
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  /** Headers in addition to those of every request. */
  readonly headers?: Readonly<Record<string, string>>;
  /** JSON text; absent for GET. */
  readonly body?: string;
  /** From the call to the last byte of the response. */
  readonly timeoutMs: Milliseconds;
  /** Time limit for opening a new connection; only `timeoutMs` applies if absent. */
  readonly connectTimeoutMs?: Milliseconds;
  readonly maxResponseBytes: number;
  /** Called once connected, right before the first byte is sent; if it returns false, nothing is sent. */
  readonly maySend?: () => boolean;
  /** Aborting ends the exchange with an error. */
  readonly signal?: AbortSignal;
}

export interface HttpResponse {
  readonly status: number;
  readonly retryAfterMs: Milliseconds | undefined;
  /** By lowercase name. */
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** No complete response was received. */
export class HttpExchangeError extends MeadowstackError {
  readonly code = 'MS-HTTP-EXCHANGE';

  constructor(
    message: string,
    /** False if it is certain that no byte of the request was sent, as there was no connection. */
    readonly maybeSent: boolean,
  ) {
    super(message);
  }
}

const MILLISECONDS_PER_SECOND = 1000;

/** Sends the request and reads the whole response, whatever its status. */
export function exchange(options: HttpExchange): ResultAsync<HttpResponse, HttpExchangeError> {
  const response = new Promise<HttpResponse | HttpExchangeError>((resolve) => {
    startExchange(options, resolve);
  });
  return ResultAsync.fromSafePromise(response).andThen((outcome) => {
    return outcome instanceof HttpExchangeError ? errAsync(outcome) : okAsync(outcome);
  });
}

/** Opens a request with the headers that all requests have. The caller writes the body. */
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
  resolve: (outcome: HttpResponse | HttpExchangeError) => void,
): void {
  const outgoing = openRequest(options);
  let maybeSent = false;
  let connectTimer: NodeJS.Timeout | undefined;
  const finish = (outcome: HttpResponse | HttpExchangeError): void => {
    clearTimeout(timer);
    clearTimeout(connectTimer);
    options.signal?.removeEventListener('abort', abort);
    resolve(outcome);
  };
  const fail = (message: string): void => {
    finish(new HttpExchangeError(message, maybeSent));
    // A reset discards the bytes that have not arrived: after a close they would take effect once a partition heals.
    if (maybeSent) outgoing.socket?.resetAndDestroy();
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
  const timer = setTimeout(() => fail(`no response in ${options.timeoutMs} ms`), options.timeoutMs);
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
    collectBody(incoming, options.maxResponseBytes, fail, (body) => {
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
    if (bytes > maxBytes) fail(`response longer than ${maxBytes} bytes`);
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
