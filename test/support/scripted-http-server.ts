/** An HTTP server on loopback; the test supplies the response to each request. */
import { createServer, type IncomingHttpHeaders, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ServiceEndpoint } from '../../src/platform/http-exchange.js';

export interface ScriptedRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly body: unknown;
  /** Port of the client's side, which identifies the connection. */
  readonly clientPort: number;
}

export type ScriptedResponse =
  | {
      readonly status: number;
      readonly json?: unknown;
      readonly text?: string;
      readonly headers?: Readonly<Record<string, string>>;
    }
  /** No response; the connection stays open. */
  | 'silent'
  /** The connection is closed without a response. */
  | 'cut';

export interface ScriptedServer {
  readonly endpoint: ServiceEndpoint;
  readonly requests: readonly ScriptedRequest[];
  close(): Promise<void>;
}

/** Starts a server that sends what `answer` returns for each request. */
export async function startScriptedServer(
  answer: (
    request: ScriptedRequest,
    earlierRequests: number,
  ) => ScriptedResponse | Promise<ScriptedResponse>,
): Promise<ScriptedServer> {
  const requests: ScriptedRequest[] = [];
  const server = createServer((incoming, outgoing) => {
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => {
      const url = new URL(incoming.url ?? '/', 'http://server');
      const text = Buffer.concat(chunks).toString('utf8');
      const request: ScriptedRequest = {
        method: incoming.method ?? '',
        path: url.pathname,
        query: url.searchParams,
        headers: incoming.headers,
        body: text === '' ? undefined : JSON.parse(text),
        clientPort: incoming.socket.remotePort ?? 0,
      };
      requests.push(request);
      void Promise.resolve(answer(request, requests.length - 1)).then((one) => send(outgoing, one));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return {
    endpoint: { host: '127.0.0.1', port },
    requests,
    close: () => {
      server.closeAllConnections();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

function send(outgoing: ServerResponse, answer: ScriptedResponse): void {
  if (answer === 'silent') return;
  if (answer === 'cut') {
    outgoing.destroy();
    return;
  }
  const { status, headers } = answer;
  outgoing.writeHead(status, { 'content-type': 'application/json', ...headers });
  outgoing.end(answer.text ?? (answer.json === undefined ? '' : JSON.stringify(answer.json)));
}

/** An item in the format of the platform's store. */
export function storeItem(key: string, value: string, revision: number): object {
  const encoded = Buffer.from(value, 'utf8').toString('base64');
  return { private_key: key, value: encoded, revision, created: revision, lease_id: 0 };
}
