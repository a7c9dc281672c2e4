/** HTTP servers for the platform's readiness probe and for the node's metrics. */
import { createServer, type RequestListener, type Server, type ServerResponse } from 'node:http';
import type { Exposition } from './metrics.js';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const HTTP_NOT_FOUND = 404;
const HTTP_INTERNAL_ERROR = 500;

/** An HTTP server with a single path. */
export class SinglePathServer {
  readonly #server: Server;

  constructor(path: string, respond: (response: ServerResponse) => void) {
    const listener: RequestListener = (request, response) => {
      request.resume();
      if (request.url?.split('?')[0] === path) respond(response);
      else response.writeHead(HTTP_NOT_FOUND).end();
    };
    this.#server = createServer(listener);
  }

  listen(address: { readonly host: string; readonly port: number }): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(address, () => resolve());
    });
  }

  /** The port it listens on, also if the system chose it; 0 if it doesn't listen. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Responds with 200 while the node accepts new connections, else 503. */
export function createReadinessServer(path: string, isReady: () => boolean): SinglePathServer {
  return new SinglePathServer(path, (response) => {
    response.writeHead(isReady() ? HTTP_OK : HTTP_UNAVAILABLE).end();
  });
}

/** Responds with the node's metrics as text. */
export function createMetricsServer(
  path: string,
  expose: () => Promise<Exposition>,
): SinglePathServer {
  return new SinglePathServer(path, (response) => {
    expose().then(
      ({ contentType, text }) => {
        response.writeHead(HTTP_OK, { 'content-type': contentType }).end(text);
      },
      () => response.writeHead(HTTP_INTERNAL_ERROR).end(),
    );
  });
}
