/** Graceful shutdown of a group's owner while it runs requests for callers of another proxy. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Cluster } from '../../../bench/harness/cluster.js';
import {
  connectCaller,
  GROUP,
  LONG_HEARTBEAT_FLAG,
  LONG_PROBE_TIMEOUT_FLAG,
  startSmallCluster,
  waitForSoleOwner,
} from '../../support/cluster.js';
import { waitForNoOpenTransactions } from '../../support/loaded-cluster.js';

const test = suite<{ cluster: Cluster }>('planned stop of an owner');

test.before(async (context) => {
  context.cluster = await startSmallCluster({
    proxyFlags: ['--owners-per-group=1', LONG_HEARTBEAT_FLAG, LONG_PROBE_TIMEOUT_FLAG],
  });
  const { client } = await connectCaller(context.cluster, 'proxy-1');
  await client.query('CREATE TABLE orders (id int PRIMARY KEY, state text)');
  await client.end();
});

test.after(async ({ cluster }) => {
  await cluster.stop();
});

test('statements and transactions of callers at another proxy complete', async ({ cluster }) => {
  const { owner, gateway } = await waitForSoleOwner(cluster);
  const connect = async () => (await connectCaller(cluster, gateway)).client;
  const [transaction, slowRead, slowWrite, busy] = await Promise.all([
    connect(),
    connect(),
    connect(),
    connect(),
  ]);
  await transaction.query('BEGIN');
  await transaction.query(`INSERT INTO orders VALUES (1, 'before the stop')`);
  const read = slowRead.query('SELECT pg_sleep(1.5)');
  const write = slowWrite.query(`INSERT INTO orders VALUES (2, pg_sleep(1.5)::text)`);
  // Failures are reported where the promises are awaited below; they must not end the process as unhandled rejections.
  for (const answer of [read, write]) answer.catch(() => undefined);
  await cluster
    .group(GROUP)
    .waitForState(
      (await cluster.group(GROUP).waitForPrimary()).name,
      (state) => state.slotsInUse >= 2,
    );
  let stopped = false;
  const exited = cluster
    .proxy(owner)
    .stop()
    .finally(() => {
      stopped = true;
    });
  let written = 0;
  for (let id = 100; !stopped; id += 1) {
    await busy.query('INSERT INTO orders VALUES ($1, $2)', [id, 'meanwhile']);
    written += 1;
    if (written === 20) {
      await transaction.query(`INSERT INTO orders VALUES (3, 'during the stop')`);
      await transaction.query('COMMIT');
    }
  }
  assert.ok(written >= 20, 'the stop waits for the open transaction');
  assert.is((await read).rowCount, 1);
  assert.is((await write).rowCount, 1);
  assert.is(await exited, 0);
  const found = await busy.query('SELECT id FROM orders WHERE id < 100 ORDER BY id');
  assert.equal(found.rows, [{ id: 1 }, { id: 2 }, { id: 3 }]);
  const meanwhile = await busy.query('SELECT count(*) AS count FROM orders WHERE id >= 100');
  assert.is(Number(meanwhile.rows[0].count), written);
  await waitForNoOpenTransactions(cluster.group(GROUP));
  await Promise.all([transaction, slowRead, slowWrite, busy].map((client) => client.end()));
});

test.run();
