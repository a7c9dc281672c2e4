/**
 * The planned stop of a node that lends connections. After its own callers have left, it waits for other nodes to return
 * the connections. A caller accepted during this wait would be cut off in the middle of its request at the end of it.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CallerServer } from '../../../src/direct/caller-server.js';
import { endSessions, type StopOptions } from '../../../src/direct/planned-stop.js';
import { createSessionDependencies, ROUTE } from '../../support/caller-session-fixture.js';
import { LineClient } from '../../support/line-client.js';

const HOST = '127.0.0.1';
const GRACE_MS = 400;

let server: CallerServer;

test.after.each(() => server.close());

/** `waiting` resolves once the stop waits for lent connections; `giveBack` ends that wait. */
function lendingRelay() {
  let giveBack = (): void => {};
  const givenBack = new Promise<void>((resolve) => {
    giveBack = resolve;
  });
  let tellWaiting = (): void => {};
  const waiting = new Promise<void>((resolve) => {
    tellWaiting = resolve;
  });
  const relay: StopOptions['relay'] = {
    stopGranting: () => {},
    drained: () => {
      tellWaiting();
      return givenBack;
    },
  };
  return { relay, waiting, giveBack };
}

test('a stopping node that waits for lent connections accepts no more callers', async () => {
  const dependencies = createSessionDependencies();
  server = new CallerServer(dependencies);
  await server.listen({ host: HOST, port: 0 });
  const { port } = server;
  const { relay, waiting, giveBack } = lendingRelay();
  const { counters, now } = dependencies;
  const parts = { server, relay, counters, now, gracePeriodMs: GRACE_MS, logger: undefined };
  const ended = endSessions(parts);
  await waiting;
  const code = await LineClient.connect(HOST, port).then(
    (client) => client.destroy(),
    (error: NodeJS.ErrnoException) => error.code,
  );
  assert.is(code, 'ECONNREFUSED');
  giveBack();
  await ended;
});

test('a caller that connects after the stop has begun is refused when it requests a session', async () => {
  server = new CallerServer(createSessionDependencies());
  await server.listen({ host: HOST, port: 0 });
  server.drain(false);
  const client = await LineClient.connect(HOST, server.port);
  const answer = await client.start(ROUTE.database, 'late');
  assert.is(answer.error?.code, 'BUSY');
  client.destroy();
});

test.run();
