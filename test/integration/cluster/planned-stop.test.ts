/** A graceful shutdown cuts no request in progress, and the other proxy keeps serving. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Cluster } from '../../../bench/harness/cluster.js';
import { connectCaller, startSmallCluster } from '../../support/cluster.js';

const test = suite<{ cluster: Cluster }>('planned stop');

test.before(async (context) => {
  context.cluster = await startSmallCluster();
  const { client } = await connectCaller(context.cluster, 'proxy-1');
  await client.query('CREATE TABLE orders (id int PRIMARY KEY, state text)');
  await client.end();
});

test.after(async ({ cluster }) => {
  await cluster.stop();
});

test('on a graceful shutdown requests and transactions finish, idle sessions get 57P01, and the exit code is 0', async ({
  cluster,
}) => {
  const running = await connectCaller(cluster, 'proxy-1');
  const transaction = await connectCaller(cluster, 'proxy-1');
  const idle = await connectCaller(cluster, 'proxy-1');
  await transaction.client.query('BEGIN');
  await transaction.client.query(`INSERT INTO orders VALUES (1, 'in a transaction')`);
  const idleError = new Promise<string | undefined>((resolve) =>
    idle.client.once('error', (error: { code?: string }) => resolve(error.code)),
  );
  const slow = running.client.query('SELECT pg_sleep(1)');
  const exited = cluster.proxy('proxy-1').stop();
  assert.is(await idleError, '57P01');
  await transaction.client.query(`INSERT INTO orders VALUES (2, 'in a transaction')`);
  await transaction.client.query('COMMIT');
  assert.is((await slow).rowCount, 1);
  assert.is(await exited, 0);
  const other = await connectCaller(cluster, 'proxy-2');
  const found = await other.client.query('SELECT id FROM orders ORDER BY id');
  assert.equal(found.rows, [{ id: 1 }, { id: 2 }]);
  await other.client.end();
});

test('a proxy that restarts while the store is down serves callers', async ({ cluster }) => {
  await cluster.store.setFaults({ outage: 'refuse' });
  await cluster.startProxy({ nodeId: 'proxy-1', zone: 'a' });
  const { client } = await connectCaller(cluster, 'proxy-1');
  const found = await client.query('SELECT count(*) AS count FROM orders');
  assert.is(Number(found.rows[0].count), 2);
  await client.end();
  await cluster.store.heal();
});

test.run();
