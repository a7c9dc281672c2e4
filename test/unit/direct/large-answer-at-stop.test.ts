/** A large response that is being sent during a planned stop. */
import { connect, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CallerServer } from '../../../src/direct/caller-server.js';
import { createRunner, createSessionDependencies } from '../../support/caller-session-fixture.js';

const HOST = '127.0.0.1';
/** Short, so that it expires several times while the caller does not read. */
const LEAVE_MS = 50;
const NOT_READING_MS = 800;
const PAYLOAD = `${`ROW ${'x'.repeat(1000)}\r\n`.repeat(16_000)}COMPLETE sig\r\n`;
const dependencies = { ...createSessionDependencies(), runner: createRunner(PAYLOAD, []) };
const server = new CallerServer(dependencies, LEAVE_MS);
let caller: Socket;

test.before(() => server.listen({ host: HOST, port: 0 }));
test.after(() => {
  caller.destroy();
  server.close();
});

/**
 * Once the response to a large read is written to the socket, the session is idle, while most of the bytes still wait in
 * this process for a slow link. They must not be discarded when the leave timeout and the close timeout expire.
 */
test('a response that is still being sent when the stop notice is due arrives whole', async () => {
  caller = connect(server.port, HOST);
  await new Promise((resolve) => caller.once('connect', resolve));
  let size = 0;
  let tail = '';
  caller.on('data', (chunk: Buffer) => {
    size += chunk.length;
    tail = (tail + chunk.toString('latin1')).slice(-300);
  });
  caller.on('error', () => {});
  const closed = new Promise((resolve) => caller.once('close', resolve));
  caller.write('START orders u1\r\n');
  while (!tail.includes('READY')) await pause(5);
  caller.pause();
  caller.write('QUERY 1 READ k\r\n');
  await pause(50);
  server.drain(true);
  await pause(NOT_READING_MS);
  caller.resume();
  await closed;
  assert.match(tail, /COMPLETE sig\r\nREADY I -\r\n/, `${size} of ${PAYLOAD.length} bytes came`);
});

test.run();
