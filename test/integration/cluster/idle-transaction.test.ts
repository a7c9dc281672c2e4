/** A transaction that is idle for too long is rolled back and releases its back-end connection. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Cluster } from '../../../bench/harness/cluster.js';
import { connectCaller, startSmallCluster, TEMPLATE } from '../../support/cluster.js';

const test = suite<{ cluster: Cluster }>('idle transactions');

/**
 * One back-end connection per tenant, so that the transaction that holds it blocks all others. The idle timeout is
 * far above a pause of this process between BEGIN and INSERT, which counts as idle time too.
 */
const SHORT_IDLE_TEMPLATE = TEMPLATE.replace(
  'maxBackendConnections: 20',
  'maxBackendConnections: 1\n  idleTransactionTimeoutMs: 2s',
);

test.before(async (context) => {
  context.cluster = await startSmallCluster({ templates: SHORT_IDLE_TEMPLATE });
});

test.after(async ({ cluster }) => {
  await cluster.stop();
});

test('an idle transaction is rolled back, its caller gets 25P03, and the session stays usable', async ({
  cluster,
}) => {
  const { client: idle } = await connectCaller(cluster, 'proxy-1');
  const { client: other } = await connectCaller(cluster, 'proxy-2');
  await idle.query('CREATE TABLE orders (id int PRIMARY KEY, state text)');
  await idle.query('BEGIN');
  await idle.query(`INSERT INTO orders VALUES (1, 'idle')`);
  // Served only once the idle transaction has released the tenant's only connection.
  await other.query(`INSERT INTO orders VALUES (1, 'other')`);
  const error = await idle.query('COMMIT').then(
    () => undefined,
    (error: { code: string; detail: string }) => error,
  );
  assert.is(error?.code, '25P03');
  assert.match(error?.detail ?? '', 'MS-TRANSACTION-IDLE');
  const found = await idle.query('SELECT state FROM orders WHERE id = 1');
  assert.equal(found.rows, [{ state: 'other' }]);
  await Promise.all([idle.end(), other.end()]);
});

test.run();
