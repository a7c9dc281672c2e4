/** Answers the platform's question whether this node takes new connections. */
import { createServer, type Server } from 'node:http';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const HTTP_NOT_FOUND = 404;

export class ReadinessServer {
  readonly #server: Server;

  constructor(path: string, isReady: () => boolean) {
    this.#server = createServer((request, response) => {
      request.resume();
      if (request.url?.split('?')[0] !== path) response.statusCode = HTTP_NOT_FOUND;
      else response.statusCode = isReady() ? HTTP_OK : HTTP_UNAVAILABLE;
      response.end();
    });
  }

  listen(address: { readonly host: string; readonly port: number }): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(address, () => resolve());
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
