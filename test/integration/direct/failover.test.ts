/** A primary that ends, is cut off or is replaced, under load through two direct gateways. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster } from '../../support/direct-cluster.js';
import { LoadClient } from '../../support/direct-load.js';
import { until } from '../../support/until.js';

const SERVICE = 'orders';
const OLD = 'i-orders-1';
/** Replicas are asked every 0.4 s, and a read may be 1.5 s old. */
const ROUNDS_BEYOND_STALENESS = 8;

let cluster: DirectCluster;
let clients: LoadClient[] = [];

test.before.each(async () => {
  cluster = await DirectCluster.start({ gateways: 2 });
  clients = ['intake', 'assign', 'intake', 'assign', 'lookup', 'lookup'].map(
    (database, index) =>
      new LoadClient(cluster, {
        ...{ database, gateway: index % 2, seed: index + 1 },
        writes: database === 'lookup' ? 0 : 0.5,
      }),
  );
  await served(5);
});

test.after.each(async () => {
  await Promise.allSettled(clients.map((client) => client.stop()));
  await cluster.stop();
});

/** Each client succeeds so many times more. */
async function served(count: number): Promise<void> {
  const writers = clients.slice(0, 4);
  const readers = clients.slice(4);
  await Promise.all([
    ...writers.map((client) => client.waitForWrites(count)),
    ...readers.map((client) => client.waitForReads(count)),
  ]);
}

async function endWithNoRuleBroken(): Promise<void> {
  await Promise.all(clients.map((client) => client.stop()));
  assert.equal(await cluster.violations(), []);
}

test('a primary that crashes is replaced, and returns as a replica', async () => {
  await cluster.platform.set(`/instances/${OLD}/crash`);
  const primary = await cluster.platform.waitForNewPrimary(SERVICE, OLD);
  await served(10);
  await cluster.platform.set(`/instances/${OLD}/return`);
  assert.is((await cluster.platform.instance(OLD)).role, 'replica');
  await served(10);
  await until('the old primary follows', async () => {
    return (await cluster.platform.instance(OLD)).term === primary.term;
  });
  await endWithNoRuleBroken();
});

test('reads that may be of some age go on while the primary is dark and the store away', async () => {
  await cluster.platform.set('/store/faults', { down: 'silent', leasesWait: false });
  await cluster.platform.set(`/instances/${OLD}/dark`);
  // By then nothing that the primary has told counts any more.
  for (const gateway of cluster.gateways.keys()) {
    await until('many rounds of questions to the replicas', async () => {
      return (await cluster.metric(gateway, 'replica_rounds_total')) >= ROUNDS_BEYOND_STALENESS;
    });
  }
  const readers = clients.slice(4);
  await Promise.all(readers.map((client) => client.waitForReads(10)));
  await cluster.platform.set('/store/faults', { down: 'no' });
  await cluster.platform.waitForNewPrimary(SERVICE, OLD);
  await cluster.platform.set(`/instances/${OLD}/return`);
  await served(5);
  await endWithNoRuleBroken();
});

test('a primary that goes dark is replaced, and gives up when it is back', async () => {
  await cluster.platform.set(`/instances/${OLD}/dark`);
  await cluster.platform.waitForNewPrimary(SERVICE, OLD);
  await served(10);
  await cluster.platform.set(`/instances/${OLD}/return`);
  await served(5);
  await until('the old primary gives up', async () => {
    return (await cluster.platform.instance(OLD)).role === 'replica';
  });
  await served(5);
  await endWithNoRuleBroken();
});

test('a primary that is cut from its replicas and from the store is replaced', async () => {
  const pairs = ['i-orders-2', 'i-orders-3'].map((other) => [OLD, other]);
  await cluster.platform.set(`/groups/${SERVICE}/cuts`, { pairs });
  await cluster.platform.set(`/instances/${OLD}/faults`, { isSilentToStore: true });
  await cluster.platform.waitForNewPrimary(SERVICE, OLD);
  await served(10);
  await cluster.platform.set(`/groups/${SERVICE}/cuts`, { pairs: [] });
  await cluster.platform.set(`/instances/${OLD}/faults`, { isSilentToStore: false });
  await until('the old primary gives up', async () => {
    return (await cluster.platform.instance(OLD)).role === 'replica';
  });
  await served(10);
  await endWithNoRuleBroken();
});

test('a primary that is cut from its replicas, though not from the store, is replaced', async () => {
  const pairs = ['i-orders-2', 'i-orders-3'].map((other) => [OLD, other]);
  await cluster.platform.set(`/groups/${SERVICE}/cuts`, { pairs });
  await cluster.platform.waitForNewPrimary(SERVICE, OLD);
  await served(10);
  await cluster.platform.set(`/groups/${SERVICE}/cuts`, { pairs: [] });
  await served(10);
  await endWithNoRuleBroken();
});

test('a primary crashes while one replica receives nothing', async () => {
  await cluster.platform.set('/instances/i-orders-2/faults', { isStalled: true });
  await served(5);
  await cluster.platform.set(`/instances/${OLD}/crash`);
  const primary = await cluster.platform.waitForNewPrimary(SERVICE, OLD);
  assert.is(primary.id, 'i-orders-3');
  await cluster.platform.set('/instances/i-orders-2/faults', { isStalled: false });
  await served(10);
  await cluster.platform.set(`/instances/${OLD}/return`);
  await served(5);
  await endWithNoRuleBroken();
});

test('a primary that drains is replaced before it ends', async () => {
  const plan = { extraMs: 500, replacementId: 'i-orders-4' };
  await cluster.platform.set(`/instances/${OLD}/drain`, plan);
  await cluster.platform.waitForNewPrimary(SERVICE, OLD);
  await served(10);
  await until('the instance that follows it', async () => {
    const instances = await cluster.platform.instances();
    return instances.some(({ id, isRunning }) => id === 'i-orders-4' && isRunning);
  });
  await served(10);
  await endWithNoRuleBroken();
});

test('a replica that drains is used no more, and its successor is', async () => {
  const plan = { replacementId: 'i-orders-5' };
  await cluster.platform.set('/instances/i-orders-2/drain', plan);
  await until('the instance that follows it', async () => {
    const instances = await cluster.platform.instances();
    return instances.some(({ id, isRunning }) => id === 'i-orders-5' && isRunning);
  });
  await served(10);
  await endWithNoRuleBroken();
  const { runs } = await cluster.platform.log();
  assert.is(runs.filter(({ error }) => error !== undefined).length, 0, 'errors of instances');
});

test.run();
