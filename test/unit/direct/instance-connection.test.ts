/** Closing a connection to an instance. */
import { once } from 'node:events';
import { type AddressInfo, createServer, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire } from '../../../platform/line-wire.js';
import { openInstanceConnection } from '../../../src/direct/instance-connection.js';

test('an unanswered statement is withdrawn when its connection is abandoned', async () => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const accepted = once(server, 'connection') as Promise<[Socket]>;
  const opening = openInstanceConnection({
    wire: lineWire,
    connectTimeoutMs: 5000,
    instance: {
      id: 'i-1',
      service: 'ledger',
      host: '127.0.0.1',
      port,
      zone: 'a',
      slots: 1,
      draining: false,
      role: 'primary',
    },
  });
  const [socket] = await accepted;
  socket.write('READY I -\r\n');
  const connection = (await opening)._unsafeUnwrap();
  // Stands for an unreachable instance: nothing that arrives is read.
  socket.pause();
  void connection.exchange('QUERY 1 WRITE k v\r\n');
  const ended = Promise.race([
    once(socket, 'end').then(() => 'finished'),
    once(socket, 'close').then(() => 'finished'),
    new Promise<string>((resolve) => {
      socket.on('error', ({ message }) => resolve(message));
    }),
  ]);
  await new Promise((resolve) => setImmediate(resolve));
  connection.close();
  socket.resume();
  assert.match(await ended, 'ECONNRESET');
  server.close();
});

test.run();
