/**
 * Guards against requests that run in another fleet. Addresses are reused: a proxy of another fleet listens where a
 * stopped one of this fleet did, under the same node id, for the same tenants and databases.
 */
import pg from 'pg';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { BACKEND_PASSWORD, type Cluster } from '../../../bench/harness/cluster.js';
import {
  connectCaller,
  GROUP,
  GROUPS_WITHOUT_ELECTIONS,
  startSmallCluster,
  statusOf,
  waitForSoleOwner,
} from '../../support/cluster.js';
import { until } from '../../support/until.js';

const WRITES = 30;
const ATTEMPTS = 10;

let clusters: Cluster[] = [];
test.after.each(async () => {
  await Promise.all(clusters.splice(0).map((cluster) => cluster.stop()));
});

async function startTwo(): Promise<readonly [Cluster, Cluster]> {
  const start = (): Promise<Cluster> =>
    startSmallCluster({
      groups: GROUPS_WITHOUT_ELECTIONS,
      proxyFlags: ['--owners-per-group=1'],
    });
  const started = await Promise.all([start(), start()]);
  clusters = [...started];
  for (const cluster of started) {
    await runOnPrimary(cluster, 'CREATE TABLE notes (text text PRIMARY KEY)');
  }
  return started;
}

async function runOnPrimary(cluster: Cluster, text: string): Promise<readonly unknown[]> {
  const group = cluster.group(GROUP);
  const primary = await group.waitForPrimary();
  const { host, pgPort: port } = primary;
  const client = new pg.Client({
    ...{ host, port, user: 'app', database: GROUP, password: BACKEND_PASSWORD },
  });
  await client.connect();
  try {
    return (await client.query(text)).rows;
  } finally {
    await client.end();
  }
}

test('a proxy of another fleet at the address of a stopped owner gets no request', async () => {
  const [own, other] = await startTwo();
  const { owner, gateway } = await waitForSoleOwner(own);
  const { client: caller } = await connectCaller(own, gateway);
  const { zone, peer } = own.proxy(owner);
  await Promise.all([own.proxy(owner).kill(), other.proxy(owner).kill()]);
  await other.startProxy({ nodeId: owner, zone, peerPort: peer.port });
  await until('the other proxy is heard of', async () => {
    return (await isAlive(own, gateway)) || (await countForeignFleets(own, gateway)) > 0;
  });
  try {
    for (let index = 0; index < WRITES; index += 1) await write(caller, `own-${index}`);
  } finally {
    await caller.end();
  }
  assert.equal(await runOnPrimary(other, 'SELECT text FROM notes'), []);
  assert.is((await runOnPrimary(own, 'SELECT text FROM notes')).length, WRITES);
  await until('the other fleet is recognized', async () => {
    return !(await isAlive(own, gateway)) && (await countForeignFleets(own, gateway)) > 0;
  });
});

test('an instance of another database system at the address of the primary gets no statement', async () => {
  const [own, other] = await startTwo();
  const { name } = await own.group(GROUP).waitForPrimary();
  const foreign = await other.group(GROUP).waitForPrimary();
  const { client: caller } = await connectCaller(own, 'proxy-1');
  try {
    await write(caller, 'own-0');
    const { actual } = await own.machines.state();
    const listed = actual.find((machine) => machine.role === 'database' && machine.name === name);
    assert.ok(listed?.role === 'database');
    await own.faults.removeRoute(name);
    await own.machines.upsert({ ...listed, host: foreign.host, port: foreign.pgPort });
    await until('the other instance is refused', async () => {
      await caller.query(insertText('own-1')).catch(() => undefined);
      return (await countForeignInstances(own)) > 0;
    });
    for (let index = 2; index < ATTEMPTS; index += 1) {
      await caller.query(insertText(`own-${index}`)).catch(() => undefined);
    }
    assert.equal(await runOnPrimary(other, 'SELECT text FROM notes'), []);
  } finally {
    await caller.end();
  }
});

function insertText(note: string): string {
  return `INSERT INTO notes VALUES ('${note}') ON CONFLICT DO NOTHING /*meadowstack_deadline_ms='500'*/`;
}

/** Retries until the write is done: the remaining proxy takes the group over. */
function write(caller: pg.Client, note: string): Promise<void> {
  return until('the write is done', () =>
    caller.query(insertText(note)).then(
      () => true,
      () => false,
    ),
  );
}

/** Whether the gateway sees the other proxy of its fleet, or one that poses as it, as alive. */
async function isAlive(cluster: Cluster, gateway: string): Promise<boolean> {
  const { members } = await statusOf(cluster, gateway);
  return members.some(({ status }) => status === 'alive');
}

async function countForeignFleets(cluster: Cluster, gateway: string): Promise<number> {
  return (await statusOf(cluster, gateway)).peers.foreignFleets;
}

async function countForeignInstances(cluster: Cluster): Promise<number> {
  const statuses = await Promise.all(
    [...cluster.proxies.keys()].map((nodeId) => statusOf(cluster, nodeId)),
  );
  return statuses.reduce((sum, { backend }) => sum + backend.foreignInstances, 0);
}

test.run();
