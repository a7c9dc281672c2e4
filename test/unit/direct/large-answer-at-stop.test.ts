/** A large answer on its way, at a planned stop. */
import { connect, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CallerServer, type SessionDependencies } from '../../../src/direct/caller-server.js';
import type { StatementRunner } from '../../../src/direct/statement-runner.js';
import { sessionDependencies } from '../../support/caller-session-fixture.js';

const HOST = '127.0.0.1';
/** Short, so that it is over several times while the caller does not read. */
const LEAVE_MS = 50;
const NOT_READING_MS = 800;
let server: CallerServer | undefined;
let socket: Socket | undefined;
test.after.each(() => {
  server?.close();
  socket?.destroy();
});

async function listen(dependencies: SessionDependencies): Promise<CallerServer> {
  server = new CallerServer(dependencies, LEAVE_MS);
  await server.listen({ host: HOST, port: 0 });
  return server;
}

/** A runner that answers every statement with these rows, and notes that it ran. */
function runnerWith(payload: string, ran: string[]): StatementRunner {
  const real = sessionDependencies().runner;
  return Object.assign(Object.create(real), {
    run: async (request: { encode(after: undefined): string }) => {
      ran.push(request.encode(undefined));
      return {
        type: 'answered',
        answer: { payload, state: 'idle', position: undefined, error: undefined },
      };
    },
  });
}

/**
 * The answer to a large read is handed to the socket, and the session counts as resting while most of it waits in this
 * process for a slow link. When the time to leave and that to linger were over, the rest of it was thrown away.
 */
test('an answer that is still being sent when its caller is told to leave arrives whole', async () => {
  const payload = `${`ROW ${'x'.repeat(1000)}\r\n`.repeat(16_000)}COMPLETE sig\r\n`;
  const { port } = await listen({ ...sessionDependencies(), runner: runnerWith(payload, []) });
  const caller = connect(port, HOST);
  socket = caller;
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
  server?.drain(true);
  await pause(NOT_READING_MS);
  caller.resume();
  await closed;
  assert.match(tail, /COMPLETE sig\r\nREADY I -\r\n/, `${size} of ${payload.length} bytes came`);
});

test.run();
