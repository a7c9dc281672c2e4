/** A primary crashes, is cut off or is drained under load through two direct gateways, and is replaced. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster } from '../../support/direct-cluster.js';
import { LoadClient } from '../../support/direct-load.js';
import { until } from '../../support/until.js';

const SERVICE = 'orders';
const OLD_PRIMARY = 'i-orders-1';
/** Replicas are queried every 0.4 s, and reads allow a staleness of 1.5 s. */
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
  await awaitServed(5);
});

test.after.each(async () => {
  await Promise.allSettled(clients.map((client) => client.stop()));
  await cluster.stop();
});

/** Waits until each client has had `count` more successful requests. */
async function awaitServed(count: number): Promise<void> {
  const writers = clients.slice(0, 4);
  const readers = clients.slice(4);
  await Promise.all([
    ...writers.map((client) => client.waitForWrites(count)),
    ...readers.map((client) => client.waitForReads(count)),
  ]);
}

async function stopAndCheckViolations(): Promise<void> {
  await Promise.all(clients.map((client) => client.stop()));
  assert.equal(await cluster.violations(), []);
}

test('a crashed primary is replaced, and rejoins as a replica when it returns', async () => {
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/crash`);
  const primary = await cluster.platform.waitForNewPrimary(SERVICE, OLD_PRIMARY);
  await awaitServed(10);
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/return`);
  assert.is((await cluster.platform.instance(OLD_PRIMARY)).role, 'replica');
  await awaitServed(10);
  await until('the old primary follows', async () => {
    return (await cluster.platform.instance(OLD_PRIMARY)).term === primary.term;
  });
  await stopAndCheckViolations();
});

test('reads that may be of some age go on while the primary is dark and the store away', async () => {
  await cluster.platform.set('/store/faults', { down: 'silent', leasesWait: false });
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/dark`);
  // After these rounds, reads can't rely on anything that the primary reported before the fault.
  for (const gateway of cluster.gateways.keys()) {
    await until('many rounds of questions to the replicas', async () => {
      return (await cluster.metric(gateway, 'replica_rounds_total')) >= ROUNDS_BEYOND_STALENESS;
    });
  }
  const readers = clients.slice(4);
  await Promise.all(readers.map((client) => client.waitForReads(10)));
  await cluster.platform.set('/store/faults', { down: 'no' });
  await cluster.platform.waitForNewPrimary(SERVICE, OLD_PRIMARY);
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/return`);
  await awaitServed(5);
  await stopAndCheckViolations();
});

test('an unreachable primary is replaced, and becomes a replica when it is reachable again', async () => {
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/dark`);
  await cluster.platform.waitForNewPrimary(SERVICE, OLD_PRIMARY);
  await awaitServed(10);
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/return`);
  await awaitServed(5);
  await until('the old primary gives up', async () => {
    return (await cluster.platform.instance(OLD_PRIMARY)).role === 'replica';
  });
  await awaitServed(5);
  await stopAndCheckViolations();
});

test('a primary that is cut off from its replicas and from the store is replaced', async () => {
  const pairs = ['i-orders-2', 'i-orders-3'].map((other) => [OLD_PRIMARY, other]);
  await cluster.platform.set(`/groups/${SERVICE}/cuts`, { pairs });
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/faults`, { isSilentToStore: true });
  await cluster.platform.waitForNewPrimary(SERVICE, OLD_PRIMARY);
  await awaitServed(10);
  await cluster.platform.set(`/groups/${SERVICE}/cuts`, { pairs: [] });
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/faults`, { isSilentToStore: false });
  await until('the old primary gives up', async () => {
    return (await cluster.platform.instance(OLD_PRIMARY)).role === 'replica';
  });
  await awaitServed(10);
  await stopAndCheckViolations();
});

test('a primary that is cut off from its replicas, but not from the store, is replaced', async () => {
  const pairs = ['i-orders-2', 'i-orders-3'].map((other) => [OLD_PRIMARY, other]);
  await cluster.platform.set(`/groups/${SERVICE}/cuts`, { pairs });
  await cluster.platform.waitForNewPrimary(SERVICE, OLD_PRIMARY);
  await awaitServed(10);
  await cluster.platform.set(`/groups/${SERVICE}/cuts`, { pairs: [] });
  await awaitServed(10);
  await stopAndCheckViolations();
});

test('if one replica receives no log, the other one replaces a crashed primary', async () => {
  await cluster.platform.set('/instances/i-orders-2/faults', { isStalled: true });
  await awaitServed(5);
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/crash`);
  const primary = await cluster.platform.waitForNewPrimary(SERVICE, OLD_PRIMARY);
  assert.is(primary.id, 'i-orders-3');
  await cluster.platform.set('/instances/i-orders-2/faults', { isStalled: false });
  await awaitServed(10);
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/return`);
  await awaitServed(5);
  await stopAndCheckViolations();
});

test('a draining primary is replaced, and its successor instance starts', async () => {
  const plan = { extraMs: 500, replacementId: 'i-orders-4' };
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/drain`, plan);
  await cluster.platform.waitForNewPrimary(SERVICE, OLD_PRIMARY);
  await awaitServed(10);
  await until('the instance that follows it', async () => {
    const instances = await cluster.platform.instances();
    return instances.some(({ id, isRunning }) => id === 'i-orders-4' && isRunning);
  });
  await awaitServed(10);
  await stopAndCheckViolations();
});

test('a replica is drained and its successor joins without any failed statement at an instance', async () => {
  const plan = { replacementId: 'i-orders-5' };
  await cluster.platform.set('/instances/i-orders-2/drain', plan);
  await until('the instance that follows it', async () => {
    const instances = await cluster.platform.instances();
    return instances.some(({ id, isRunning }) => id === 'i-orders-5' && isRunning);
  });
  await awaitServed(10);
  await stopAndCheckViolations();
  const { runs } = await cluster.platform.log();
  assert.is(runs.filter(({ error }) => error !== undefined).length, 0, 'errors of instances');
});

test.run();
