/**
 * A planned stop while answers are owed. Two ways were found in which a request that had been read whole
 * ended without an answer: a second signal to stop ended the process at once, whatever still ran; and what
 * still waited at nine tenths of the grace period was cut without a word.
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
/** The stand-in works 2 ms on a statement: 2 s. */
const SLOW_FACTOR = 1000;
/** 200 s, longer than any test. */
const STUCK_FACTOR = 100_000;
const SIGNAL_GAP_MS = 200;

let cluster: DirectCluster;

async function start(): Promise<void> {
  cluster = await DirectCluster.start({ gateways: 1, routes: ROUTES });
}

test.after.each(() => cluster.stop());

/** A write that its instance works on for so many times the usual time; its outcome comes later. */
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

test('a second signal to stop cuts no statement', async () => {
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

test('a statement that outlasts the stop is answered before its connection ends', async () => {
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
