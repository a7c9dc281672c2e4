/**
 * HTTP server for operators: `/metrics`, `/health/live`, `/health/ready`, `GET /status` and `POST /drain`. Request
 * bodies are ignored.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { ResultAsync } from 'neverthrow';
import type { Registry } from 'prom-client';
import { MeadowstackError } from '../core/errors.js';

/** Whether this node may receive callers and, if not, why. */
export interface Readiness {
  readonly ready: boolean;
  /** Short stable codes, such as `no-configuration` or `draining`. */
  readonly reasons: readonly string[];
}

export interface AdminServerOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly registry: Registry;
  /** Called before each scrape, to update gauges. */
  readonly beforeScrape?: (() => void) | undefined;
  readonly readiness: () => Readiness;
  /** Any value that can be serialized as JSON; bigints are written as strings. */
  readonly status: () => object;
  /** Starts the drain and returns at once; further calls have no effect. */
  readonly drain: () => void;
}

export interface AdminServer {
  readonly host: string;
  readonly port: number;
  close(): Promise<void>;
}

/** The admin port could not be opened. */
export class AdminListenError extends MeadowstackError {
  readonly code = 'MS-ADMIN-LISTEN';
}

interface Reply {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_NOT_FOUND = 404;
const HTTP_METHOD_NOT_ALLOWED = 405;
const HTTP_INTERNAL_ERROR = 500;
const HTTP_UNAVAILABLE = 503;
const REQUEST_TIMEOUT_MS = 5000;
const MAX_CONNECTIONS = 64;

export function startAdminServer(
  options: AdminServerOptions,
): ResultAsync<AdminServer, AdminListenError> {
  const server = createServer((request, response) => {
    request.resume();
    void handleRequest(options, request).then((reply) => sendReply(response, reply));
  });
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.maxConnections = MAX_CONNECTIONS;
  return ResultAsync.fromPromise(listen(server, options), (cause) => {
    const where = `${options.host}:${options.port}`;
    return new AdminListenError(`the admin port ${where} could not be opened`, { cause });
  });
}

function listen(server: Server, options: AdminServerOptions): Promise<AdminServer> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, () => {
      server.off('error', reject);
      const { address, port } = server.address() as AddressInfo;
      resolve({ host: address, port, close: () => close(server) });
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

async function handleRequest(
  options: AdminServerOptions,
  request: IncomingMessage,
): Promise<Reply> {
  const path = (request.url ?? '/').split('?')[0] ?? '/';
  const requiredMethod = path === '/drain' ? 'POST' : 'GET';
  try {
    const reply = findHandler(options, path);
    if (reply === undefined) return createJsonReply(HTTP_NOT_FOUND, { error: 'no such path' });
    if (request.method !== requiredMethod)
      return createJsonReply(HTTP_METHOD_NOT_ALLOWED, { error: `use ${requiredMethod}` });
    return await reply();
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'unknown';
    return createJsonReply(HTTP_INTERNAL_ERROR, { error: reason });
  }
}

/** The handler of a path; undefined if there is no such path. */
function findHandler(
  options: AdminServerOptions,
  path: string,
): (() => Reply | Promise<Reply>) | undefined {
  switch (path) {
    case '/metrics':
      return () => createMetricsReply(options);
    case '/health/live':
      return () => createJsonReply(HTTP_OK, { live: true });
    case '/health/ready':
      return () => createReadinessReply(options.readiness());
    case '/status':
      return () => createJsonReply(HTTP_OK, options.status());
    case '/drain':
      return () => {
        options.drain();
        return createJsonReply(HTTP_ACCEPTED, { draining: true });
      };
    default:
      return undefined;
  }
}

async function createMetricsReply({ registry, beforeScrape }: AdminServerOptions): Promise<Reply> {
  beforeScrape?.();
  const body = await registry.metrics();
  return { status: HTTP_OK, contentType: registry.contentType, body };
}

function createReadinessReply({ ready: isReady, reasons }: Readiness): Reply {
  return createJsonReply(isReady ? HTTP_OK : HTTP_UNAVAILABLE, { ready: isReady, reasons });
}

function createJsonReply(status: number, value: object): Reply {
  return {
    status,
    contentType: 'application/json',
    body: `${JSON.stringify(value, stringifyBigint)}\n`,
  };
}

function sendReply(response: ServerResponse, reply: Reply): void {
  response.writeHead(reply.status, { 'content-type': reply.contentType });
  response.end(reply.body);
}

function stringifyBigint(_key: string, value: unknown): unknown {
  return typeof value === 'bigint' ? String(value) : value;
}
