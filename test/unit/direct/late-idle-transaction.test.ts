/** A transaction that rests in a process that is late. */
import type { Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CallerServer, type SessionDependencies } from '../../../src/direct/caller-server.js';
import { sessionDependencies, tenantWith } from '../../support/caller-session-fixture.js';
import { LineClient } from '../../support/line-client.js';

const HOST = '127.0.0.1';
let server: CallerServer | undefined;
let socket: Socket | undefined;
test.after.each(() => {
  server?.close();
  socket?.destroy();
});

async function listen(dependencies: SessionDependencies): Promise<CallerServer> {
  server = new CallerServer(dependencies);
  await server.listen({ host: HOST, port: 0 });
  return server;
}

/** The timer of a resting transaction judges before what has come is read. */
test('a statement that came before its transaction rested too long, unread by a late process, is taken', async () => {
  const { port } = await listen(sessionDependencies(tenantWith(), [], 30));
  const client = await LineClient.connect(HOST, port);
  await client.start('orders', 'u1');
  await client.query('1', 'BEGIN');
  const answer = client.query('2', 'SET role clerk');
  const until = performance.now() + 80;
  while (performance.now() < until);
  const { error, completion } = await answer;
  assert.equal([error, completion], [undefined, '-']);
});

test.run();
