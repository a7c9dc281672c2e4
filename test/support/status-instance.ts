/** A fake database instance that answers STATUS, or refuses or resets all connections. */
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import type { InstanceEntry } from '../../src/direct/contract.js';

const READY = 'READY I -\r\n';
const STATUS_ROW = 'ROW replica 3 3.1209 0 12 0 17\r\nCOMPLETE -\r\nREADY I 3.1204\r\n';
const FULL = 'ERROR CONNLIMIT\r\n';

export class StatusInstance {
  /** Number of connections accepted so far. */
  acceptedConnections = 0;
  /** If true, connections are refused with `CONNLIMIT`. */
  isFull = false;
  /** If true, connections are reset at the first message. */
  resets = false;
  readonly sockets: Socket[] = [];
  readonly #server: Server = createServer((socket) => {
    this.acceptedConnections += 1;
    this.sockets.push(socket);
    socket.on('error', () => {});
    socket.on('data', (chunk) => this.#answer(socket, String(chunk)));
  });

  async start(): Promise<InstanceEntry> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    const bound = this.#server.address();
    const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
    const address = { host: '127.0.0.1', port, zone: 'a', slots: 2 };
    return { id: 'i-1', service: 'orders', ...address, draining: false, role: 'replica' };
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
