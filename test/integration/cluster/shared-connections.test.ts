/**
 * Pooled connections shared by tenants and callers: no session state leaks to the next user, and a cancel
 * request never cancels another caller's statement.
 */
import { once } from 'node:events';
import { connect } from 'node:net';
import pg from 'pg';
import { serialize } from 'pg-protocol';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Cluster } from '../../../bench/harness/cluster.js';
import {
  connectCaller,
  GROUP,
  startSmallCluster,
  TENANT,
  type TestCaller,
} from '../../support/cluster.js';
import { errorOf } from '../../support/open-transaction.js';

const OTHER_TENANT = { name: 'clinic', password: 'another long password' };
const CANCELLED = '57014';
const UNSUPPORTED = '0A000';

const test = suite<{ cluster: Cluster }>('shared connections');

test.before(async (context) => {
  const published = { databases: [GROUP], template: 'standard' };
  context.cluster = await startSmallCluster({
    tenants: [
      { ...TENANT, ...published },
      { ...OTHER_TENANT, ...published },
    ],
  });
});

test.after(async ({ cluster }) => {
  await cluster.stop();
});

async function connectOtherTenant(cluster: Cluster): Promise<pg.Client> {
  const { host, port } = cluster.proxy('proxy-2').callers;
  const { name: user, password } = OTHER_TENANT;
  const client = new pg.Client({ host, port, user, password, database: GROUP });
  await client.connect();
  return client;
}

test('SET LOCAL ends with its transaction, for the same tenant and for another', async ({
  cluster,
}) => {
  const { client } = await connectCaller(cluster, 'proxy-1');
  const other = await connectOtherTenant(cluster);
  const show = 'SHOW statement_timeout';
  for (let round = 0; round < 30; round += 1) {
    await client.query('BEGIN');
    await client.query(`SET LOCAL statement_timeout = '77777'`);
    assert.is((await client.query(show)).rows[0].statement_timeout, '77777');
    await client.query(round % 2 === 0 ? 'COMMIT' : 'ROLLBACK');
    const [own, foreign] = await Promise.all([client.query(show), other.query(show)]);
    assert.is(own.rows[0].statement_timeout, '0');
    assert.is(foreign.rows[0].statement_timeout, '0');
  }
  await Promise.all([client.end(), other.end()]);
});

test('statements that leave session state on a pooled connection are refused', async ({
  cluster,
}) => {
  const { client } = await connectCaller(cluster, 'proxy-1');
  const refused = [
    `SET statement_timeout = '77777'`,
    `SELECT set_config('statement_timeout', '77777', false)`,
    'CREATE TEMP TABLE secret (id int)',
    'SELECT pg_advisory_lock(1)',
    'LISTEN news',
    'PREPARE p AS SELECT 1',
  ];
  for (const text of refused) {
    assert.is((await errorOf(client.query(text)))?.code, UNSUPPORTED, text);
  }
  await client.end();
});

test('prepared statements of the same name are separate for each caller and tenant', async ({
  cluster,
}) => {
  const callers = await Promise.all([
    connectCaller(cluster, 'proxy-1').then(({ client }) => client),
    connectCaller(cluster, 'proxy-2').then(({ client }) => client),
    connectOtherTenant(cluster),
  ]);
  for (let round = 0; round < 20; round += 1) {
    const answers = await Promise.all(
      callers.map((client, index) =>
        client.query({
          name: 'same',
          text: `SELECT ${index} AS caller, $1::int AS round`,
          values: [round],
        }),
      ),
    );
    assert.equal(
      answers.map(({ rows }) => rows[0]),
      callers.map((_, index) => ({ caller: index, round })),
    );
  }
  await Promise.all(callers.map((client) => client.end()));
});

/** Sends a CancelRequest for the caller's running statement on a separate connection. */
async function sendCancel(cluster: Cluster, nodeId: string, { client }: TestCaller): Promise<void> {
  const { processID, secretKey } = client as unknown as { processID: number; secretKey: number };
  const { host, port } = cluster.proxy(nodeId).callers;
  const socket = connect({ host, port });
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  socket.end(serialize.cancel(processID, secretKey));
  await once(socket, 'close');
}

test('concurrent cancel requests cancel only the statements of their own callers', async ({
  cluster,
}) => {
  const CALLERS = 16;
  const ROUNDS = 25;
  let cancelled = 0;
  const cancelling = Array.from({ length: CALLERS }, async (_, index) => {
    const nodeId = index % 2 === 0 ? 'proxy-1' : 'proxy-2';
    const caller = await connectCaller(cluster, nodeId);
    for (let round = 0; round < ROUNDS; round += 1) {
      const running = errorOf(caller.client.query('SELECT pg_sleep(0.02)'));
      await sendCancel(cluster, nodeId, caller);
      const error = await running;
      if (error !== undefined) {
        cancelled += 1;
        // Cancelled while it ran, while it was queued, or while it waited for a retry.
        const detail = error.code === CANCELLED ? '' : error.detail;
        assert.match(detail ?? '', /^$|^MS-NOT-RUN-CALLER-GONE:|^MS-READ-CONNECTION-LOST:/);
      }
    }
    await caller.client.end();
  });
  const bystanders = Array.from({ length: CALLERS }, async (_, index) => {
    const { client } = await connectCaller(cluster, index % 2 === 0 ? 'proxy-1' : 'proxy-2');
    for (let round = 0; round < ROUNDS; round += 1) {
      const value = `${index}/${round}`;
      const answer = await client.query('SELECT pg_sleep(0.01), $1::text AS value', [value]);
      assert.is(answer.rows[0].value, value);
    }
    await client.end();
  });
  await Promise.all([...cancelling, ...bystanders]);
  assert.ok(cancelled > 0);
});

test.run();
