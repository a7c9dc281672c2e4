/** A database instance that takes connections and answers STATUS, or takes no connection at all. */
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import type { InstanceEntry } from '../../src/direct/contract.js';

const READY = 'READY I -\r\n';
const STATUS_ROW = 'ROW replica 3 3.1209 0 12 0 17\r\nCOMPLETE -\r\nREADY I 3.1204\r\n';
const FULL = 'ERROR CONNLIMIT\r\n';

export class StatusInstance {
  /** Connections that were ever taken. */
  opened = 0;
  /** Whether it refuses connections since it has too many. */
  isFull = false;
  /** Whether it resets what is opened to it. */
  resets = false;
  readonly sockets: Socket[] = [];
  readonly #server: Server = createServer((socket) => {
    this.opened += 1;
    this.sockets.push(socket);
    socket.on('error', () => {});
    socket.on('data', (chunk) => this.#answer(socket, String(chunk)));
  });

  async start(): Promise<InstanceEntry> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    const address = this.#server.address();
    const port = typeof address === 'object' && address !== null ? address.port : 0;
    const place = { host: '127.0.0.1', port, zone: 'a', slots: 2 };
    return { id: 'i-1', service: 'orders', ...place, draining: false, role: 'replica' };
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  #answer(socket: Socket, text: string): void {
    if (this.resets) socket.resetAndDestroy();
    else if (this.isFull) socket.end(FULL);
    else socket.write(text.startsWith('START') ? READY : STATUS_ROW);
  }
}
