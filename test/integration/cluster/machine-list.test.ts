/**
 * The machine list with real processes: two proxies of a zone (the readers) poll the list service and
 * distribute changes to the others; readers that are paused or killed are replaced.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Cluster } from '../../../bench/harness/cluster.js';
import { startSmallCluster, statusOf } from '../../support/cluster.js';
import { until } from '../../support/until.js';

const NODES = ['proxy-1', 'proxy-2', 'proxy-3', 'proxy-4', 'proxy-5'];
const ZONE = 'a';
const READERS = 2;

const test = suite<{ cluster: Cluster }>('machine list');

test.before(async (context) => {
  const proxies = NODES.map((nodeId) => ({ nodeId, zone: ZONE }));
  context.cluster = await startSmallCluster({ proxies });
});

test.after(({ cluster }) => cluster.stop());

async function readersAmong(cluster: Cluster, nodeIds: readonly string[]): Promise<string[]> {
  const statuses = await Promise.all(nodeIds.map((nodeId) => statusOf(cluster, nodeId)));
  return statuses.flatMap(({ nodeId, machineList }) =>
    machineList.reading === 'none' ? [] : [nodeId],
  );
}

/** Waits until exactly two proxies poll the list service, and returns them. */
async function awaitTwoReaders(cluster: Cluster, nodeIds: readonly string[]): Promise<string[]> {
  let readers: string[] = [];
  await until(`${READERS} readers among ${nodeIds.join()}`, async () => {
    readers = await readersAmong(cluster, nodeIds);
    return readers.length === READERS;
  });
  return readers;
}

/** Publishes a change of the list, and waits until the given nodes have it. */
async function publishTo(cluster: Cluster, nodeIds: readonly string[], name: string) {
  const location = { zone: ZONE, host: '127.0.0.1', port: 1, slots: 1, maxConnections: 5 };
  const state = 'leaving';
  await cluster.machines.upsert({ role: 'database', group: 'other', name, state, ...location });
  const { version } = await cluster.machines.state();
  for (const nodeId of nodeIds) {
    await until(`${nodeId} has version ${version}`, async () => {
      return (await statusOf(cluster, nodeId)).machineList.version === version;
    });
  }
}

test('two proxies poll the list, and the others receive each change without polling', async ({
  cluster,
}) => {
  const readers = await awaitTwoReaders(cluster, NODES);
  const others = NODES.filter((nodeId) => !readers.includes(nodeId));
  const polls = async () => {
    const statuses = await Promise.all(others.map((nodeId) => statusOf(cluster, nodeId)));
    return statuses.map(({ machineList }) => machineList.polls);
  };
  const before = await polls();
  for (const name of ['other-1', 'other-2', 'other-3']) await publishTo(cluster, NODES, name);
  assert.equal(await polls(), before);
});

test('paused readers are replaced, and become readers again when they resume', async ({
  cluster,
}) => {
  const readers = await awaitTwoReaders(cluster, NODES);
  const others = NODES.filter((nodeId) => !readers.includes(nodeId));
  for (const nodeId of readers) cluster.proxy(nodeId).pause();
  await publishTo(cluster, others, 'other-4');
  for (const nodeId of readers) cluster.proxy(nodeId).resume();
  await publishTo(cluster, NODES, 'other-5');
  assert.equal((await awaitTwoReaders(cluster, NODES)).sort(), readers.sort());
});

test('a killed reader is replaced', async ({ cluster }) => {
  const [killed] = await awaitTwoReaders(cluster, NODES);
  assert.ok(killed);
  await cluster.proxy(killed).kill();
  const rest = NODES.filter((nodeId) => nodeId !== killed);
  await publishTo(cluster, rest, 'other-6');
  assert.not((await awaitTwoReaders(cluster, rest)).includes(killed));
});

test.run();
