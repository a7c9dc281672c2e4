/**
 * Guards against requests that are lost at a planned stop. A request arrives while the process is delayed (it computes,
 * or its CPU quota is used up). The overdue timer of the stop runs before the request is read, considers the session
 * idle and ends its connection; the request is then read, since even a paused socket reads, and never answered.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CallerServer } from '../../../src/direct/caller-server.js';
import { createSessionDependencies } from '../../support/caller-session-fixture.js';
import { LineClient } from '../../support/line-client.js';

const HOST = '127.0.0.1';
let server: CallerServer;

test.before.each(async () => {
  server = new CallerServer(createSessionDependencies());
  await server.listen({ host: HOST, port: 0 });
});
test.after.each(() => server.close());

async function open(): Promise<LineClient> {
  const client = await LineClient.connect(HOST, server.port);
  assert.is((await client.start('orders', 'u1')).error, undefined);
  return client;
}

/** A caller whose read has been received and waits for an instance; there is none. */
async function waitingForInstance(first?: string) {
  const client = await open();
  if (first !== undefined) await client.query('1', first);
  const answer = client.query('2', 'READ key');
  while (server.busyCount === 0) await nextTurn();
  return { client, answer };
}

/** Resolves after the server has notified its sessions and before the client has read the notice. */
async function sessionsNotified(): Promise<void> {
  await nextTurn();
  await nextTurn();
}

/** Resolves in the next turn of the event loop; a plain promise resolves before the sockets are polled again. */
function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test('a request that has arrived but is unread when the planned stop begins is answered', async () => {
  const client = await open();
  const answer = client.query('1', 'SET role clerk');
  server.drain(false);
  assert.is((await answer).completion, '-');
  await client.closed;
});

test('a request sent before its client has read the stop notice is refused as not run', async () => {
  const client = await open();
  server.drain(false);
  await sessionsNotified();
  const { error, state } = await client.query('1', 'WRITE key value');
  assert.equal([error?.code, state], ['BUSY', 'I']);
  assert.match(error?.text ?? '', /retry after \d+ ms$/);
  await client.closed;
});

test('a COMMIT sent before its client has read the stop notice is answered with ABORTED', async () => {
  const client = await open();
  await client.query('1', 'BEGIN');
  server.drain(true);
  await sessionsNotified();
  const { error, state } = await client.query('2', 'COMMIT');
  assert.equal([error?.code, state], ['ABORTED', 'I']);
  await client.closed;
});

test('a statement in a transaction, sent before its client has read the stop notice, fails with ABORTED and leaves the transaction failed', async () => {
  const client = await open();
  await client.query('1', 'BEGIN');
  server.drain(true);
  await sessionsNotified();
  const { error, state } = await client.query('2', 'WRITE key value');
  assert.equal([error?.code, state], ['ABORTED', 'E']);
  await client.closed;
});

test('a caller that waits for a response when the server closes receives TIMEOUT', async () => {
  const { client, answer } = await waitingForInstance();
  server.close();
  const { error, state } = await answer;
  assert.equal([error?.code, state], ['TIMEOUT', 'I']);
  await client.closed;
});

test('a caller that waits in a transaction when the server closes receives TIMEOUT, and the transaction has failed', async () => {
  const { client, answer } = await waitingForInstance('BEGIN');
  server.close();
  const { error, state } = await answer;
  assert.equal([error?.code, state], ['TIMEOUT', 'E']);
  await client.closed;
});

test.run();
