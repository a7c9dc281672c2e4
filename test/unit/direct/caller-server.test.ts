/**
 * Sessions at a planned stop. On small machines callers lost requests: a node that stopped had read them, and the
 * connection ended without an answer. Order of events: a request arrives while the process is late (it computes, or its
 * share of a core is spent); the timer of the stop is due meanwhile and runs before what has arrived is read; it takes the
 * session for resting and ends its connection; then the request is read, since a paused socket still reads, and nobody
 * answers it. Evidence: with 400 ms of computing before the timer's work, 27 requests of a day of planned stops ended
 * that way, and none once they were read first.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CallerServer } from '../../../src/direct/caller-server.js';
import { sessionDependencies } from '../../support/caller-session-fixture.js';
import { LineClient } from '../../support/line-client.js';

const HOST = '127.0.0.1';
let server: CallerServer;

test.before.each(async () => {
  server = new CallerServer(sessionDependencies());
  await server.listen({ host: HOST, port: 0 });
});
test.after.each(() => server.close());

async function open(): Promise<LineClient> {
  const client = await LineClient.connect(HOST, server.port);
  assert.is((await client.start('orders', 'u1')).error, undefined);
  return client;
}

/** A caller whose read waits for an instance, of which there is none, and was taken. */
async function waitingForInstance(first?: string) {
  const client = await open();
  if (first !== undefined) await client.query('1', first);
  const answer = client.query('2', 'READ key');
  while (server.busyCount === 0) await turn();
  return { client, answer };
}

/** What runs after this has seen the server end its sessions, and the client has read nothing since. */
async function sessionsToldToEnd(): Promise<void> {
  await turn();
  await turn();
}

/** A promise's own turn comes before the next poll of the sockets. */
function turn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test('a request that has arrived unread when the sessions end is answered', async () => {
  const client = await open();
  const answer = client.query('1', 'SET role clerk');
  server.drain(false);
  assert.is((await answer).completion, '-');
  await client.closed;
});

test('a request that crosses the end of its session is told that it has not run', async () => {
  const client = await open();
  server.drain(false);
  await sessionsToldToEnd();
  const { error, state } = await client.query('1', 'WRITE key value');
  assert.equal([error?.code, state], ['BUSY', 'I']);
  assert.match(error?.text ?? '', /retry after \d+ ms$/);
  await client.closed;
});

test('a commit that crosses the end of its session is told that nothing is kept', async () => {
  const client = await open();
  await client.query('1', 'BEGIN');
  server.drain(true);
  await sessionsToldToEnd();
  const { error, state } = await client.query('2', 'COMMIT');
  assert.equal([error?.code, state], ['ABORTED', 'I']);
  await client.closed;
});

test('a statement that crosses the end of its transaction leaves it failed, and its end is answered', async () => {
  const client = await open();
  await client.query('1', 'BEGIN');
  server.drain(true);
  await sessionsToldToEnd();
  const { error, state } = await client.query('2', 'WRITE key value');
  assert.equal([error?.code, state], ['ABORTED', 'E']);
  await client.closed;
});

test('a caller that is owed an answer when the node ends is told that there is none', async () => {
  const { client, answer } = await waitingForInstance();
  server.close();
  const { error, state } = await answer;
  assert.equal([error?.code, state], ['TIMEOUT', 'I']);
  await client.closed;
});

test('one in a transaction is told too, and the transaction has failed', async () => {
  const { client, answer } = await waitingForInstance('BEGIN');
  server.close();
  const { error, state } = await answer;
  assert.equal([error?.code, state], ['TIMEOUT', 'E']);
  await client.closed;
});

test.run();
