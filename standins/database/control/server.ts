/** Control server: HTTP with JSON, for harnesses that inject faults and check outcomes. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { z } from 'zod';
import { parseLsn } from '../../../src/core/position.js';
import { FaultChangeSchema } from '../faults.js';
import type { DatabaseInstance } from '../instance.js';
import { PeerAddressSchema } from '../options.js';

const MAX_BODY_BYTES = 1024 * 1024;
const PeersSchema = z.object({ peers: z.array(PeerAddressSchema) });

type Handler = (instance: DatabaseInstance, url: URL, body: unknown) => Promise<unknown> | unknown;

const HANDLERS: ReadonlyMap<string, Handler> = new Map<string, Handler>([
  ['GET /state', (instance) => instance.state()],
  ['GET /log', (instance, url) => readLog(instance, url)],
  ['POST /faults', changeFaults],
  ['POST /peers', startWithPeers],
  ['POST /promote', promote],
]);

async function changeFaults(
  instance: DatabaseInstance,
  _url: URL,
  body: unknown,
): Promise<unknown> {
  await instance.changeFaults(FaultChangeSchema.parse(body));
  return instance.faults;
}

function startWithPeers(instance: DatabaseInstance, _url: URL, body: unknown): unknown {
  const { peers } = PeersSchema.parse(body);
  instance.start(peers);
  return { peers };
}

function promote(instance: DatabaseInstance): unknown {
  instance.member.promote();
  return {};
}

/** Returns the log entries after `from`, a `pg_lsn` text, and the discarded entries. */
function readLog(instance: DatabaseInstance, url: URL): unknown {
  const from = parseLsn(url.searchParams.get('from') ?? '0/0').unwrapOr(0n);
  const { allEntries, discarded } = instance.member.log;
  return { entries: allEntries.filter((entry) => entry.offset > from), discarded };
}

export function createControlServer(instance: DatabaseInstance): Server {
  return createServer((request, response) => {
    void handleRequest(instance, request, response);
  });
}

async function handleRequest(
  instance: DatabaseInstance,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://localhost');
  const handler = HANDLERS.get(`${request.method} ${url.pathname}`);
  if (handler === undefined) return send(response, 404, { error: 'not found' });
  try {
    const text = await readBody(request);
    const body: unknown = text === '' ? {} : JSON.parse(text);
    send(response, 200, await handler(instance, url, body));
  } catch (error) {
    send(response, 400, { error: error instanceof Error ? error.message : String(error) });
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size <= MAX_BODY_BYTES) chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function send(response: ServerResponse, status: number, body: unknown): void {
  // A harness may block between two requests, so connections aren't kept alive.
  response.writeHead(status, { 'content-type': 'application/json', connection: 'close' });
  response.end(JSON.stringify(body));
}
