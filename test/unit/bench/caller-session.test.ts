/** A caller session of the load generator, against a proxy that sends prepared bytes. */
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CallerSession } from '../../../bench/load/caller-session.js';
import { toConnectFailure } from '../../../bench/load/outcome.js';

const AUTHENTICATION_OK = Buffer.from('R\0\0\0\x08\0\0\0\0', 'latin1');
const READY = Buffer.from('Z\0\0\0\x05I', 'latin1');

function terminationMessage(): Buffer {
  const fields = Buffer.from('SFATAL\0VFATAL\0C57P01\0Mthe proxy is being stopped\0\0', 'latin1');
  const head = Buffer.alloc(5, 'E');
  head.writeInt32BE(fields.length + 4, 1);
  return Buffer.concat([head, fields]);
}

/** Answers each start-up message with these bytes in one packet. */
async function answerWith(bytes: Buffer): Promise<Server> {
  const server = createServer((socket: Socket) => {
    socket.on('error', () => socket.destroy());
    socket.once('data', () => socket.end(bytes));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

test('a termination message in the packet that accepts a caller counts as terminated and not run, not as cut off', async () => {
  const server = await answerWith(Buffer.concat([AUTHENTICATION_OK, READY, terminationMessage()]));
  const { port } = server.address() as AddressInfo;
  const session = new CallerSession({
    sessionId: 'session',
    identification: 'session-id',
    credentials: { user: 'app', password: '', database: 'app' },
    proxies: [{ name: 'proxy-1', host: '127.0.0.1', port }],
    firstProxyIndex: 0,
  });
  const refused = await session.ensureConnected().then(
    () => undefined,
    (error: unknown) => toConnectFailure(error),
  );
  session.destroyConnection();
  server.close();
  await once(server, 'close');
  assert.equal(refused, {
    ending: 'terminated',
    outcome: 'not-run',
    errorCode: '57P01',
    retryAfterMs: undefined,
  });
});

test.run();
