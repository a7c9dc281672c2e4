/** A session whose position the group has lost gets an error at once, and stays usable. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Cluster } from '../../../bench/harness/cluster.js';
import { connectCaller, GROUP, startSmallCluster } from '../../support/cluster.js';
import { errorOf } from '../../support/open-transaction.js';

const POSITION_LOST = 'MS-SESSION-POSITION-LOST: not-run';
const LOOKUP = `SELECT count(*) AS count FROM orders /*meadowstack_kind='lookup'*/`;

const test = suite<{ cluster: Cluster }>('lost position');

test.before(async (context) => {
  context.cluster = await startSmallCluster();
});

test.after(async ({ cluster }) => {
  await cluster.stop();
});

test('after a group lost its data, an earlier session gets POSITION-LOST once and then reads the present data', async ({
  cluster,
}) => {
  const before = await connectCaller(cluster, 'proxy-1');
  const group = cluster.group(GROUP);
  await before.client.query('CREATE TABLE orders (id int PRIMARY KEY)');
  for (let id = 0; id < 20; id += 1) {
    await before.client.query(`INSERT INTO orders VALUES (${id})`);
  }
  const names = group.instances.map(({ name }) => name);
  await Promise.all(names.map((name) => group.kill(name)));
  await Promise.all(names.map((name) => group.restart(name)));
  await group.waitForPrimary();
  const fresh = await connectCaller(cluster, 'proxy-2');
  await fresh.client.query('CREATE TABLE orders (id int PRIMARY KEY)');

  const session = { 'meadowstack.session': before.sessionToken() };
  const moved = await connectCaller(cluster, 'proxy-2', session);
  const error = await errorOf(moved.client.query(LOOKUP));
  assert.is(error?.detail, POSITION_LOST);
  assert.is(Number((await moved.client.query(LOOKUP)).rows[0].count), 0);

  const movedAgain = { 'meadowstack.session': moved.sessionToken() };
  const next = await connectCaller(cluster, 'proxy-1', movedAgain);
  assert.is(Number((await next.client.query(LOOKUP)).rows[0].count), 0);
  await Promise.all([before, fresh, moved, next].map(({ client }) => client.end()));
});

test.run();
