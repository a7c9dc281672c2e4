/** The idle timeout of a transaction in a delayed process. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CallerServer } from '../../../src/direct/caller-server.js';
import { createSessionDependencies, createTenant } from '../../support/caller-session-fixture.js';
import { computeFor } from '../../support/compute-for.js';
import { LineClient } from '../../support/line-client.js';

const HOST = '127.0.0.1';
const IDLE_MS = 30;
const LATE_MS = 80;
const server = new CallerServer(createSessionDependencies(createTenant(), [], IDLE_MS));

test.before(() => server.listen({ host: HOST, port: 0 }));
test.after(() => server.close());

/** Guards against an overdue idle timer that aborts the transaction before a received statement is read. */
test('a statement that arrived before the idle timeout of its transaction, and is read late by a delayed process, is accepted', async () => {
  const client = await LineClient.connect(HOST, server.port);
  await client.start('orders', 'u1');
  await client.query('1', 'BEGIN');
  const answer = client.query('2', 'SET role clerk');
  computeFor(LATE_MS);
  const { error, completion } = await answer;
  assert.equal([error, completion], [undefined, '-']);
});

test.run();
