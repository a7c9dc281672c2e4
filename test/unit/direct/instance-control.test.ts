/** How long a control connection is kept, and how often a full instance is tried. */
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire, parseStatusRow } from '../../../platform/line-wire.js';
import type { InstanceEntry } from '../../../src/direct/contract.js';
import { InstanceControlError } from '../../../src/direct/errors.js';
import { WireInstanceControl } from '../../../src/direct/instance-control.js';

const LONG_MS = 60_000;
const READY = 'READY I -\r\n';
const STATUS_ROW = 'ROW replica 3 3.1209 0 12 0 17\r\nCOMPLETE -\r\nREADY I 3.1204\r\n';
const FULL = 'ERROR CONNLIMIT\r\n';

/** An instance that answers STATUS, or takes no connection at all. */
class StatusInstance {
  opened = 0;
  isFull = false;
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
    if (this.isFull) socket.end(FULL);
    else socket.write(text.startsWith('START') ? READY : STATUS_ROW);
  }
}

test('a control connection at rest is closed, so that others find room at the instance', async () => {
  const instance = new StatusInstance();
  const entry = await instance.start();
  const control = new WireInstanceControl(lineWire, parseStatusRow, () => performance.now());
  const status = await control.status(entry, LONG_MS);
  assert.ok(status.isOk());
  const [socket] = instance.sockets;
  assert.ok(socket !== undefined);
  await once(socket, 'close');
  assert.is(instance.opened, 1);
  instance.stop();
});

test('calls that follow one another share a connection', async () => {
  const instance = new StatusInstance();
  const entry = await instance.start();
  const control = new WireInstanceControl(lineWire, parseStatusRow, () => performance.now());
  for (let call = 0; call < 5; call += 1) {
    assert.ok((await control.status(entry, LONG_MS)).isOk());
  }
  assert.is(instance.opened, 1);
  control.close();
  instance.stop();
});

test('an instance that takes no more connections is tried again only after a pause', async () => {
  const instance = new StatusInstance();
  const entry = await instance.start();
  instance.isFull = true;
  let now = 1000;
  const control = new WireInstanceControl(lineWire, parseStatusRow, () => now);
  for (let call = 0; call < 5; call += 1) {
    const status = await control.status(entry, LONG_MS);
    const error = status.isErr() ? status.error : undefined;
    assert.instance(error, InstanceControlError);
    assert.is(error instanceof InstanceControlError ? error.answer : '', 'connection-limit');
  }
  assert.is(instance.opened, 1);
  now += 100;
  await control.status(entry, LONG_MS);
  assert.is(instance.opened, 2);
  instance.stop();
});

test.run();
