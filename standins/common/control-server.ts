/** Control server of a stand-in: HTTP with JSON bodies, each request checked by zod. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { z } from 'zod';
import { ControlRequestError } from './errors.js';

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** One control call: checks its body and gives the value to answer with. */
export interface ControlRoute {
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** Path with `:name` segments, such as `/routes/:name/heal`. */
  readonly path: string;
  readonly handle: (parameters: Readonly<Record<string, string>>, body: unknown) => unknown;
}

/**
 * Defines a control call whose body must fit `schema`. The answer of `handle` (or what its promise
 * gives) is sent as JSON; `undefined` is sent as `{}`.
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

/** A control server over these routes, not yet listening. */
export function createControlServer(routes: readonly ControlRoute[]): Server {
  return createServer((request, response) => {
    answer(routes, request, response).catch((error: unknown) => {
      const status = error instanceof ControlRequestError ? error.httpStatus : 500;
      const message = error instanceof Error ? error.message : 'unexpected failure';
      sendJson(response, status, { error: message });
    });
  });
}

async function answer(
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
  throw new ControlRequestError(404, `no control call ${request.method} ${path}`);
}

function matchPath(pattern: string, path: string): Record<string, string> | undefined {
  const wanted = pattern.split('/');
  const given = path.split('/');
  if (wanted.length !== given.length) return undefined;
  const parameters: Record<string, string> = {};
  for (const [index, segment] of wanted.entries()) {
    const value = decodeURIComponent(given[index] ?? '');
    if (segment.startsWith(':')) parameters[segment.slice(1)] = value;
    else if (segment !== value) return undefined;
  }
  return parameters;
}

/**
 * Reads a JSON body; an empty one is `undefined`.
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

/** Sends a JSON answer. */
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
