/** The time that a caller has to leave a stopping node. */
import { connect, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CallerServer, type SessionDependencies } from '../../../src/direct/caller-server.js';
import { sessionDependencies } from '../../support/caller-session-fixture.js';

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

/** The leave timer has fired, what was read meanwhile was answered and the caller told anew: its half second is not given. */
test('a caller that asks as its time to leave runs out gets a new one', async () => {
  const { port } = await listen(sessionDependencies());
  const caller = connect(port, HOST);
  socket = caller;
  let text = '';
  let closed = false;
  caller.on('data', (chunk) => {
    text += String(chunk);
  });
  caller.on('error', () => {});
  caller.on('close', () => {
    closed = true;
  });
  caller.write('START orders u1\r\n');
  while (!text.includes('READY')) await pause(5);
  server?.drain(false);
  await pause(1450);
  caller.write('QUERY 1 SET a b\r\n');
  const until = performance.now() + 100;
  while (performance.now() < until);
  await pause(100);
  assert.is(closed, false, text);
});

/** What no test covers: a caller that ignores the word. */
test('a caller that stays all the same is closed', async () => {
  const { port } = await listen(sessionDependencies());
  const caller = connect(port, HOST);
  socket = caller;
  let text = '';
  caller.on('data', (chunk) => {
    text += String(chunk);
  });
  const closed = new Promise((resolve) => caller.once('close', () => resolve('closed')));
  caller.write('START orders u1\r\n');
  while (!text.includes('READY')) await pause(5);
  server?.drain(false);
  assert.is(await Promise.race([closed, pause(3000)]), 'closed');
  assert.match(text, /^READY I -\r\nERROR BUSY [^\n]*\r\n$/);
});

test.run();
