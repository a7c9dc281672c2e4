/** The timeout between the stop notice to a caller and the end of its connection. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CallerServer, type SessionDependencies } from '../../../src/direct/caller-server.js';
import { createSessionDependencies } from '../../support/caller-session-fixture.js';
import { computeFor } from '../../support/compute-for.js';
import { RawCaller } from '../../support/raw-caller.js';
import { until } from '../../support/until.js';

const HOST = '127.0.0.1';
const LEAVE_MS = 60;
const LATE_MS = 100;

let dependencies: SessionDependencies;
let server: CallerServer;
let caller: RawCaller;

test.before.each(async () => {
  dependencies = createSessionDependencies();
  server = new CallerServer(dependencies, LEAVE_MS);
  await server.listen({ host: HOST, port: 0 });
  caller = await RawCaller.connect(HOST, server.port);
  caller.send('START orders u1');
  await caller.waitForText(/^READY I -\r\n$/);
});
test.after.each(() => {
  caller.destroy();
  server.close();
});

/**
 * The leave timeout is due when a request is read. The request is answered and the caller notified again, so the timeout
 * must start again as well.
 */
test('a request that arrives as the leave timeout expires restarts the timeout', async () => {
  server.drain(false);
  await caller.waitForText(/ERROR BUSY/);
  caller.send('QUERY 1 SET a b');
  computeFor(LATE_MS);
  await caller.waitForText(/ERROR BUSY [^\n]*\nREADY I -\r\nERROR BUSY [^\n]*\n$/);
  assert.is(server.sessionCount, 1);
  await caller.ended;
});

test('a caller that stays connected beyond the leave timeout is disconnected', async () => {
  server.drain(false);
  await caller.ended;
  assert.match(caller.received, /^READY I -\r\nERROR BUSY [^\n]*\r\n$/);
  caller.send('QUERY 1 SET a b');
  await until('the session has ended', () => server.sessionCount === 0);
  assert.is(dependencies.counters.statements, 0, 'what is sent after the end is not read');
});

test.run();
