/**
 * Graceful shutdown with unanswered requests. Guards against two faults by which a completely received
 * request got no answer: a second stop signal ended the process at once, with statements still running; and
 * requests still waiting after nine tenths of the grace period were cut without an error.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster, type TestRoute } from '../../support/direct-cluster.js';
import type { RecordedSession } from '../../support/direct-session.js';
import { outcomeOf } from '../../support/line-client.js';
import { until } from '../../support/until.js';

/** A statement may take longer than the whole grace period of 6 s. */
const LONG_TIMEOUT_MS = 20_000;
const ROUTES: readonly TestRoute[] = [
  {
    ...{ database: 'intake', service: 'orders', routeType: 'primary' },
    timeoutMs: LONG_TIMEOUT_MS,
  },
];
const PRIMARY = 'i-orders-1';
/** Times 2 ms, the stand-in's time for a statement: 2 s. */
const SLOW_FACTOR = 1000;
/** Times 2 ms: 200 s, longer than any test. */
const STUCK_FACTOR = 100_000;
const SIGNAL_GAP_MS = 200;

let cluster: DirectCluster;

async function start(): Promise<void> {
  cluster = await DirectCluster.start({ gateways: 1, routes: ROUTES });
}

test.after.each(() => cluster.stop());

/** Starts a write that takes its instance `slowFactor` times as long as usual; resolves once it is running there. */
async function beginSlowWrite(
  session: RecordedSession,
  slowFactor: number,
): Promise<{ readonly outcome: Promise<string> }> {
  await cluster.platform.set(`/instances/${PRIMARY}/faults`, { slowFactor });
  const outcome = outcomeOf(session.write('k', 'v'));
  await until('the instance works on it', async () => {
    return (await cluster.platform.instance(PRIMARY)).slotsInUse > 0;
  });
  return { outcome };
}

test('a second stop signal cuts no running statement', async () => {
  await start();
  const session = await cluster.open('intake');
  await session.succeed(() => session.write('k', 'first'));
  const { outcome } = await beginSlowWrite(session, SLOW_FACTOR);
  const { process: gateway, ended } = cluster.gateway(0);
  gateway.kill('SIGTERM');
  await pause(SIGNAL_GAP_MS);
  gateway.kill('SIGTERM');
  assert.is(await outcome, 'done');
  assert.is(await ended, 0);
});

test('a statement that outlasts the grace period fails with TIMEOUT before its connection is closed', async () => {
  await start();
  const session = await cluster.open('intake');
  await session.succeed(() => session.write('k', 'first'));
  const { outcome } = await beginSlowWrite(session, STUCK_FACTOR);
  const { process: gateway, ended } = cluster.gateway(0);
  gateway.kill('SIGTERM');
  assert.is(await outcome, 'TIMEOUT');
  await session.client.closed;
  assert.equal(session.client.unsolicited, []);
  assert.is(await ended, 0);
});

test.run();
