/** Tenants of one direct gateway are strangers: what one of them does is not felt by another. */
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster, type TestRoute } from '../../support/direct-cluster.js';
import type { RecordedSession } from '../../support/direct-session.js';
import type { LineAnswer } from '../../support/line-client.js';

/** Both on the same instances; nothing of the flood runs out of time by itself. */
const ROUTES: readonly TestRoute[] = [
  { database: 'flood', service: 'orders', routeType: 'primary', timeoutMs: 15_000 },
  { database: 'quiet', service: 'orders', routeType: 'primary' },
];
/** More than a gateway that knows of no others opens to an instance. */
const RESTING_TRANSACTIONS = 6;
/** More than may wait and run together. */
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

/** Writes and reads, each expected to be served at the first attempt. */
async function serveQuiet(session: RecordedSession): Promise<void> {
  for (let number = 0; number < QUIET_OPERATIONS; number += 1) {
    const written = await session.write('k', `quiet${number}`);
    assert.is(written.error, undefined);
    const read = await session.read('k');
    assert.is(read.error, undefined);
    assert.equal(read.rows, [`quiet${number}`]);
  }
}

test('transactions that rest do not take the last connection from another tenant', async () => {
  await start();
  const sessions = await Promise.all(
    Array.from({ length: RESTING_TRANSACTIONS }, () => cluster.open('flood')),
  );
  const begun = sessions.map(async (session) => {
    await session.begin();
    return session.write('f', 'v');
  });
  // The first of them rest inside their transactions now; the others wait for a connection.
  assert.is((await Promise.race(begun)).error, undefined);
  await serveQuiet(await cluster.open('quiet'));
  for (const session of sessions) session.client.destroy();
  await Promise.allSettled(begun);
  assert.equal(await cluster.violations(), []);
});

/** Asks without end until it is told to stop; waits as long as a refusal says. */
async function flood(
  session: RecordedSession,
  stop: { readonly isStopped: boolean },
  answers: LineAnswer[],
): Promise<void> {
  while (!stop.isStopped) {
    const answer = await session.write('f', 'v');
    answers.push(answer);
    const afterMs = RETRY_AFTER.exec(answer.error?.text ?? '')?.[1];
    if (afterMs !== undefined) await pause(Number(afterMs));
  }
}

test('under a flood another tenant is served; the flood is refused with a time to return', async () => {
  await start('--work-ms', '5');
  const sessions = await Promise.all(
    Array.from({ length: FLOOD_SESSIONS }, () => cluster.open('flood')),
  );
  const stop = { isStopped: false };
  const answers: LineAnswer[] = [];
  const ended = sessions.map((session) => flood(session, stop, answers));
  await serveQuiet(await cluster.open('quiet'));
  stop.isStopped = true;
  await Promise.all(ended);
  const refused = answers.filter(({ error }) => error !== undefined);
  assert.ok(refused.length > 0);
  for (const { error } of refused) {
    assert.is(error?.code, 'BUSY');
    assert.match(error?.text ?? '', RETRY_AFTER);
  }
  // At once: the first refusal did not wait for those who were let in.
  assert.ok(answers.findIndex(({ error }) => error !== undefined) < FLOOD_SESSIONS / 2);
  assert.equal(await cluster.violations(), []);
});

test.run();
