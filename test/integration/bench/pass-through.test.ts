import { once } from 'node:events';
import { type AddressInfo, connect, createServer } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { OverheadArgumentError, parseAddress } from '../../../bench/overhead/address.js';
import { startPassThrough } from '../../../bench/overhead/pass-through.js';

test('bytes are forwarded in both directions, and the end of one side ends the other', async () => {
  const echo = createServer((socket) => socket.pipe(socket));
  echo.listen(0, '127.0.0.1');
  await once(echo, 'listening');
  const { port } = echo.address() as AddressInfo;
  const passThrough = await startPassThrough({ host: '127.0.0.1', port });
  const client = connect(passThrough.port, passThrough.host);
  client.write('there and back');
  const [answer] = await once(client, 'data');
  assert.is(String(answer), 'there and back');
  client.end();
  await once(client, 'close');
  passThrough.close();
  echo.close();
});

test('load is sent to loopback addresses only', () => {
  assert.equal(parseAddress('127.0.0.2:5432'), { host: '127.0.0.2', port: 5432 });
  for (const text of ['10.0.0.1:5432', '127.0.0.1', 'localhost:1', '']) {
    assert.throws(
      () => parseAddress(text),
      (error: unknown) => error instanceof OverheadArgumentError,
    );
  }
});

test.run();
