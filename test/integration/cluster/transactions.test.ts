/**
 * Transactions with real processes: if a proxy is killed or a caller disconnects at any step, no transaction
 * stays open, and the caller gets the right error.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Cluster } from '../../../bench/harness/cluster.js';
import {
  connectCaller,
  GROUP,
  startSmallCluster,
  type TestCaller,
  waitForSoleOwner,
} from '../../support/cluster.js';
import { waitForNoOpenTransactions } from '../../support/loaded-cluster.js';
import { advanceTransaction, errorOf, TRANSACTION_STEPS } from '../../support/open-transaction.js';
import { until } from '../../support/until.js';

const ABORTED = 'MS-TRANSACTION-ABORTED: failed';
const OWNER_LOST = 'MS-UNKNOWN-OWNER-LOST: unknown';

const test = suite<{ cluster: Cluster }>('transactions');

test.before(async (context) => {
  context.cluster = await startSmallCluster({ proxyFlags: ['--owners-per-group=1'] });
  const { client } = await connectCaller(context.cluster, 'proxy-1');
  await client.query('CREATE TABLE orders (id int PRIMARY KEY, state text)');
  await client.end();
});

test.after(async ({ cluster }) => {
  await cluster.stop();
});

async function killAndReplace(cluster: Cluster, nodeId: string): Promise<void> {
  const { zone, kill } = cluster.proxy(nodeId);
  const primary = await cluster.group(GROUP).waitForPrimary();
  await kill();
  await cluster.faults.heal(primary.name);
  await cluster.startProxy({ nodeId, zone });
}

async function countRows(cluster: Cluster, id: number): Promise<number> {
  const { client } = await connectCaller(cluster, 'proxy-1');
  const found = await client.query('SELECT id FROM orders WHERE id = $1', [id]);
  await client.end();
  return found.rows.length;
}

/** Destroys a caller's connection without Terminate. */
function disconnect({ client }: TestCaller): void {
  const { connection } = client as unknown as { connection: { stream: { destroy(): void } } };
  connection.stream.destroy();
}

for (const [index, step] of TRANSACTION_STEPS.entries()) {
  const committed = step === 'COMMIT is on its way';

  test(`no transaction stays open if the gateway is killed when ${step}`, async ({ cluster }) => {
    const { gateway } = await waitForSoleOwner(cluster);
    const caller = await connectCaller(cluster, gateway);
    const pending = await advanceTransaction(cluster, caller, step, 100 + index);
    await killAndReplace(cluster, gateway);
    await pending.answer;
    await waitForNoOpenTransactions(cluster.group(GROUP));
    assert.is(await countRows(cluster, 100 + index), committed ? 1 : 0);
  });

  test(`the caller gets the outcome, and no transaction stays open, if the owner is killed when ${step}`, async ({
    cluster,
  }) => {
    const { owner, gateway } = await waitForSoleOwner(cluster);
    const caller = await connectCaller(cluster, gateway);
    const pending = await advanceTransaction(cluster, caller, step, 200 + index);
    await killAndReplace(cluster, owner);
    const told = (await pending.answer) ?? (await errorOf(caller.client.query('SELECT 1')));
    assert.is(told?.detail, committed ? OWNER_LOST : ABORTED);
    await waitForNoOpenTransactions(cluster.group(GROUP));
    await caller.client.query('ROLLBACK');
    await caller.client.query('INSERT INTO orders VALUES ($1, $2)', [300 + index, 'goes on']);
    assert.is(await countRows(cluster, 200 + index), committed ? 1 : 0);
    assert.is(await countRows(cluster, 300 + index), 1);
    await caller.client.end();
  });

  test(`no transaction stays open if the caller disconnects when ${step}`, async ({ cluster }) => {
    const { gateway } = await waitForSoleOwner(cluster);
    const caller = await connectCaller(cluster, gateway);
    const primary = await cluster.group(GROUP).waitForPrimary();
    const pending = await advanceTransaction(cluster, caller, step, 400 + index);
    disconnect(caller);
    await pending.answer;
    await cluster.faults.heal(primary.name);
    await waitForNoOpenTransactions(cluster.group(GROUP));
    assert.is(await countRows(cluster, 400 + index), committed ? 1 : 0);
  });
}

test('a transaction block whose transaction was lost stays failed until the caller ends it', async ({
  cluster,
}) => {
  const { owner, gateway } = await waitForSoleOwner(cluster);
  const caller = await connectCaller(cluster, gateway);
  await advanceTransaction(cluster, caller, 'a statement was answered', 500);
  await killAndReplace(cluster, owner);
  const insert = 'INSERT INTO orders VALUES (501, $1)';
  assert.is((await errorOf(caller.client.query(insert, ['a'])))?.detail, ABORTED);
  assert.is((await errorOf(caller.client.query(insert, ['b'])))?.code, '25P02');
  const commit = await caller.client.query('COMMIT');
  assert.is(commit.command, 'ROLLBACK');
  assert.is((await countRows(cluster, 500)) + (await countRows(cluster, 501)), 0);
  await caller.client.end();
});

test('concurrent callers that commit or disconnect leave no open transaction and exactly the committed rows', async ({
  cluster,
}) => {
  const rounds = Array.from({ length: 60 }, async (_, index) => {
    const caller = await connectCaller(cluster, index % 2 === 0 ? 'proxy-1' : 'proxy-2');
    await caller.client.query('BEGIN');
    await caller.client.query('INSERT INTO orders VALUES ($1, $2)', [1000 + index, 'x']);
    if (index % 3 === 0) disconnect(caller);
    else await caller.client.query('COMMIT');
    if (index % 3 !== 0) await caller.client.end();
  });
  await Promise.all(rounds);
  await waitForNoOpenTransactions(cluster.group(GROUP));
  const { client } = await connectCaller(cluster, 'proxy-1');
  await until('exactly the committed rows are there', async () => {
    const found = await client.query('SELECT id FROM orders WHERE id >= 1000');
    return found.rows.length === 40;
  });
  await client.end();
});

test.run();
