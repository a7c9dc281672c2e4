/** Control server of a stand-in: HTTP with JSON bodies, each request checked by zod. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { z } from 'zod';
import { ControlRequestError } from './errors.js';

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** One control route: validates the body and returns the value to respond with. */
export interface ControlRoute {
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** Path with `:name` segments, such as `/routes/:name/heal`. */
  readonly path: string;
  readonly handle: (parameters: Readonly<Record<string, string>>, body: unknown) => unknown;
}

/**
 * Defines a control route whose body must match `schema`. The result of `handle`, awaited if it is
 * a promise, is sent as JSON; `undefined` is sent as `{}`.
 */
export function controlRoute<Schema extends z.ZodType>(
  method: ControlRoute['method'],
  path: string,
  schema: Schema,
  handle: (body: z.output<Schema>, parameters: Readonly<Record<string, string>>) => unknown,
): ControlRoute {
  return {
    method,
    path,
    handle: (parameters, body) => {
      const parsed = schema.safeParse(body ?? {});
      if (!parsed.success) throw new ControlRequestError(400, z.prettifyError(parsed.error));
      return handle(parsed.data, parameters);
    },
  };
}

/** Creates a control server with these routes, not yet listening. */
export function createControlServer(routes: readonly ControlRoute[]): Server {
  return createServer((request, response) => {
    handleRequest(routes, request, response).catch((error: unknown) => {
      const status = error instanceof ControlRequestError ? error.httpStatus : 500;
      const message = error instanceof Error ? error.message : 'unexpected failure';
      sendJson(response, status, { error: message });
    });
  });
}

async function handleRequest(
  routes: readonly ControlRoute[],
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const path = new URL(request.url ?? '/', 'http://control').pathname;
  const body = await readJsonBody(request);
  for (const route of routes) {
    if (route.method !== request.method) continue;
    const parameters = matchPath(route.path, path);
    if (parameters === undefined) continue;
    sendJson(response, 200, (await route.handle(parameters, body)) ?? {});
    return;
  }
  throw new ControlRequestError(404, `no control route ${request.method} ${path}`);
}

function matchPath(pattern: string, path: string): Record<string, string> | undefined {
  const patternSegments = pattern.split('/');
  const pathSegments = path.split('/');
  if (patternSegments.length !== pathSegments.length) return undefined;
  const parameters: Record<string, string> = {};
  for (const [index, segment] of patternSegments.entries()) {
    const value = decodeURIComponent(pathSegments[index] ?? '');
    if (segment.startsWith(':')) parameters[segment.slice(1)] = value;
    else if (segment !== value) return undefined;
  }
  return parameters;
}

/**
 * Reads a JSON body; returns `undefined` for an empty one.
 * @throws ControlRequestError if it is too large or not JSON.
 */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) throw new ControlRequestError(413, 'body too large');
    chunks.push(chunk);
  }
  if (bytes === 0) return undefined;
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'));
  } catch {
    throw new ControlRequestError(400, 'body is not JSON');
  }
}

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    ...headers,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
