/** Isolation between tenants of one direct gateway: the load of one tenant doesn't affect another. */
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster, type TestRoute } from '../../support/direct-cluster.js';
import type { RecordedSession } from '../../support/direct-session.js';
import type { LineAnswer } from '../../support/line-client.js';

/** Both on the same instances; the flood's timeout is long, so that its statements don't time out. */
const ROUTES: readonly TestRoute[] = [
  { database: 'flood', service: 'orders', routeType: 'primary', timeoutMs: 15_000 },
  { database: 'quiet', service: 'orders', routeType: 'primary' },
];
/** More than the connections that a single gateway opens to an instance. */
const IDLE_TRANSACTIONS = 6;
/** More than the statements that may wait and run at the same time. */
const FLOOD_SESSIONS = 320;
const QUIET_OPERATIONS = 15;
const RETRY_AFTER = /; retry after (\d+) ms$/;

let cluster: DirectCluster;

async function start(...flags: string[]): Promise<void> {
  cluster = await DirectCluster.start({ routes: ROUTES, flags });
  const first = await cluster.open('quiet');
  await first.succeed(() => first.write('k', 'first'));
  first.close();
}

test.after.each(async () => {
  await cluster.stop();
});

/** Writes and reads, and asserts that each statement is served at the first attempt. */
async function assertServed(session: RecordedSession): Promise<void> {
  for (let number = 0; number < QUIET_OPERATIONS; number += 1) {
    const written = await session.write('k', `quiet${number}`);
    assert.is(written.error, undefined);
    const read = await session.read('k');
    assert.is(read.error, undefined);
    assert.equal(read.rows, [`quiet${number}`]);
  }
}

test('idle transactions do not take the last connection from another tenant', async () => {
  await start();
  const sessions = await Promise.all(
    Array.from({ length: IDLE_TRANSACTIONS }, () => cluster.open('flood')),
  );
  const begun = sessions.map(async (session) => {
    await session.begin();
    return session.write('f', 'v');
  });
  // The first transactions are idle now; the others wait for a connection.
  assert.is((await Promise.race(begun)).error, undefined);
  await assertServed(await cluster.open('quiet'));
  for (const session of sessions) session.client.destroy();
  await Promise.allSettled(begun);
  assert.equal(await cluster.violations(), []);
});

/** Sends writes until stopped; after a refusal, waits for the time that it states. */
async function sendUntilStopped(
  session: RecordedSession,
  stop: { readonly isStopped: boolean },
  responses: LineAnswer[],
): Promise<void> {
  while (!stop.isStopped) {
    const answer = await session.write('f', 'v');
    responses.push(answer);
    const afterMs = RETRY_AFTER.exec(answer.error?.text ?? '')?.[1];
    if (afterMs !== undefined) await pause(Number(afterMs));
  }
}

test('under a flood by one tenant another is served, and the flood is refused with a retry time', async () => {
  await start('--work-ms', '5');
  const sessions = await Promise.all(
    Array.from({ length: FLOOD_SESSIONS }, () => cluster.open('flood')),
  );
  const stop = { isStopped: false };
  const responses: LineAnswer[] = [];
  const ended = sessions.map((session) => sendUntilStopped(session, stop, responses));
  await assertServed(await cluster.open('quiet'));
  stop.isStopped = true;
  await Promise.all(ended);
  const refused = responses.filter(({ error }) => error !== undefined);
  assert.ok(refused.length > 0);
  for (const { error } of refused) {
    assert.is(error?.code, 'BUSY');
    assert.match(error?.text ?? '', RETRY_AFTER);
  }
  // Refusals are immediate: the first one did not wait for the admitted statements.
  assert.ok(responses.findIndex(({ error }) => error !== undefined) < FLOOD_SESSIONS / 2);
  assert.equal(await cluster.violations(), []);
});

test.run();
