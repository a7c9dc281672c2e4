/** A tenant's connection limit across real proxies: one proxy may use all of it, and the sum never exceeds it. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Cluster } from '../../../bench/harness/cluster.js';
import { tenantYaml } from '../../../bench/harness/cluster.js';
import {
  connectCaller,
  GROUP,
  startSmallCluster,
  TENANT,
  type TestCaller,
} from '../../support/cluster.js';
import { until } from '../../support/until.js';

const LIMIT = 12;
const LOWERED_LIMIT = 5;

const test = suite<{ cluster: Cluster }>('limits of a tenant over the fleet');

test.before(async (context) => {
  context.cluster = await startSmallCluster({ tenants: [tenantWith(LIMIT)] });
});

test.after(async ({ cluster }) => {
  await cluster.stop();
});

function tenantWith(connections: number) {
  const parameters = `  connections: ${connections}`;
  return { ...TENANT, databases: [GROUP], template: 'standard', parameters };
}

/** Resolves to the connected caller, or to the SQLSTATE with which it was refused. */
function tryConnect(cluster: Cluster, nodeId: string): Promise<TestCaller | string> {
  return connectCaller(cluster, nodeId).catch((error: { code: string }) => error.code);
}

async function connectMany(
  cluster: Cluster,
  nodeId: string,
  count: number,
): Promise<{ callers: TestCaller[]; refusals: string[] }> {
  const attempts = Array.from({ length: count }, () => tryConnect(cluster, nodeId));
  const settled = await Promise.all(attempts);
  return {
    callers: settled.filter((result) => typeof result !== 'string'),
    refusals: settled.filter((result) => typeof result === 'string'),
  };
}

function endAll(callers: readonly TestCaller[]): Promise<unknown> {
  return Promise.all(callers.map(({ client }) => client.end()));
}

test('one proxy may use the whole limit, and further connections are refused on every proxy', async ({
  cluster,
}) => {
  const first = await connectMany(cluster, 'proxy-1', LIMIT + 3);
  assert.is(first.callers.length, LIMIT);
  assert.equal(first.refusals, ['53300', '53300', '53300']);
  const second = await connectMany(cluster, 'proxy-2', 2);
  assert.equal(second.refusals, ['53300', '53300']);
  for (const { client } of first.callers) await client.query('SELECT 1');
  await endAll(first.callers);
});

test('connections that one proxy releases can be used by the other', async ({ cluster }) => {
  const first = await connectMany(cluster, 'proxy-1', LIMIT);
  await endAll(first.callers);
  const callers: TestCaller[] = [];
  await until('proxy-2 serves all', async () => {
    const more = await connectMany(cluster, 'proxy-2', LIMIT - callers.length);
    callers.push(...more.callers);
    return callers.length === LIMIT;
  });
  const refused = await tryConnect(cluster, 'proxy-1');
  assert.is(refused, '53300');
  await endAll(callers);
});

test('callers on both proxies never exceed the limit', async ({ cluster }) => {
  const both = await Promise.all([
    connectMany(cluster, 'proxy-1', LIMIT),
    connectMany(cluster, 'proxy-2', LIMIT),
  ]);
  const callers = both.flatMap((one) => one.callers);
  assert.ok(callers.length <= LIMIT, `${callers.length} callers`);
  assert.ok(callers.length > 0);
  await endAll(callers);
});

test('a lowered limit ends exactly the open connections beyond it', async ({ cluster }) => {
  const callers: TestCaller[] = [];
  await until('proxy-1 serves all', async () => {
    callers.push(...(await connectMany(cluster, 'proxy-1', LIMIT - callers.length)).callers);
    return callers.length === LIMIT;
  });
  let ended = 0;
  for (const { client } of callers) {
    client.on('end', () => {
      ended += 1;
    });
  }
  await cluster.publishTexts([tenantYaml(tenantWith(LOWERED_LIMIT))]);
  await until('the callers beyond the limit are gone', () => ended >= LIMIT - LOWERED_LIMIT);
  const left = await Promise.allSettled(callers.map(({ client }) => client.query('SELECT 1')));
  const served = left.filter(({ status }) => status === 'fulfilled');
  assert.is(served.length, LOWERED_LIMIT);
  await Promise.allSettled(callers.map(({ client }) => client.end()));
});

test.run();
