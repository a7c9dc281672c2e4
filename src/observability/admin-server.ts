/**
 * The operators' HTTP port: `/metrics`, `/health/live`, `/health/ready`, `GET /status` and
 * `POST /drain`. It reads no request bodies.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { ResultAsync } from 'neverthrow';
import type { Registry } from 'prom-client';
import { MeadowstackError } from '../core/errors.js';

/** Whether callers may be sent here, and if not, why. */
export interface Readiness {
  readonly ready: boolean;
  /** Short stable codes, such as `no-configuration` or `draining`. */
  readonly reasons: readonly string[];
}

/** What the admin port shows. */
export interface AdminServerOptions {
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
  readonly registry: Registry;
  /** Called before each scrape, to bring gauges up to date. */
  readonly beforeScrape?: (() => void) | undefined;
  readonly readiness: () => Readiness;
  /** Anything that JSON can carry; big integers are written as text. */
  readonly status: () => object;
  /** Starts the drain and returns at once; calling it again changes nothing. */
  readonly drain: () => void;
}

/** An open admin port. */
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
const MAXIMUM_CONNECTIONS = 64;

/** Opens the admin port. */
export function startAdminServer(
  options: AdminServerOptions,
): ResultAsync<AdminServer, AdminListenError> {
  const server = createServer((request, response) => {
    request.resume();
    void answer(options, request).then((reply) => send(response, reply));
  });
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.maxConnections = MAXIMUM_CONNECTIONS;
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

async function answer(options: AdminServerOptions, request: IncomingMessage): Promise<Reply> {
  const path = (request.url ?? '/').split('?')[0] ?? '/';
  const wanted = path === '/drain' ? 'POST' : 'GET';
  try {
    const reply = replyTo(options, path);
    if (reply === undefined) return json(HTTP_NOT_FOUND, { error: 'no such path' });
    if (request.method !== wanted) return json(HTTP_METHOD_NOT_ALLOWED, { error: `use ${wanted}` });
    return await reply();
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'unknown';
    return json(HTTP_INTERNAL_ERROR, { error: reason });
  }
}

/** What to do for a path; undefined if there is no such path. */
function replyTo(
  options: AdminServerOptions,
  path: string,
): (() => Reply | Promise<Reply>) | undefined {
  switch (path) {
    case '/metrics':
      return () => metrics(options);
    case '/health/live':
      return () => json(HTTP_OK, { live: true });
    case '/health/ready':
      return () => ready(options.readiness());
    case '/status':
      return () => json(HTTP_OK, options.status());
    case '/drain':
      return () => {
        options.drain();
        return json(HTTP_ACCEPTED, { draining: true });
      };
    default:
      return undefined;
  }
}

async function metrics({ registry, beforeScrape }: AdminServerOptions): Promise<Reply> {
  beforeScrape?.();
  const body = await registry.metrics();
  return { status: HTTP_OK, contentType: registry.contentType, body };
}

function ready({ ready: isReady, reasons }: Readiness): Reply {
  return json(isReady ? HTTP_OK : HTTP_UNAVAILABLE, { ready: isReady, reasons });
}

function json(status: number, value: object): Reply {
  return {
    status,
    contentType: 'application/json',
    body: `${JSON.stringify(value, bigintAsText)}\n`,
  };
}

function send(response: ServerResponse, reply: Reply): void {
  response.writeHead(reply.status, { 'content-type': reply.contentType });
  response.end(reply.body);
}

function bigintAsText(_key: string, value: unknown): unknown {
  return typeof value === 'bigint' ? String(value) : value;
}
