/** Instances that start again under their ids, without their logs, under load through two direct gateways. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster } from '../../support/direct-cluster.js';
import { LoadClient } from '../../support/direct-load.js';
import { until } from '../../support/until.js';

const SERVICE = 'orders';
const PRIMARY = 'i-orders-1';
const CURRENT_REPLICA = 'i-orders-2';
const STALLED_REPLICA = 'i-orders-3';

let cluster: DirectCluster;
let clients: LoadClient[] = [];

test.before.each(async () => {
  cluster = await DirectCluster.start({ gateways: 2 });
  clients = ['intake', 'assign', 'intake', 'assign'].map(
    (database, index) =>
      new LoadClient(cluster, { database, gateway: index % 2, seed: index + 1, writes: 0.5 }),
  );
  await awaitWrites(5);
});

test.after.each(async () => {
  await Promise.allSettled(clients.map((client) => client.stop()));
  await cluster.stop();
});

async function awaitWrites(count: number): Promise<void> {
  await Promise.all(clients.map((client) => client.waitForWrites(count)));
}

async function stopAndCheckViolations(): Promise<void> {
  await Promise.all(clients.map((client) => client.stop()));
  assert.equal(await cluster.violations(), []);
}

async function isRegistered(id: string): Promise<boolean> {
  return (await cluster.platform.storeValues())[`servers/${id}`] !== undefined;
}

async function startAgain(id: string): Promise<void> {
  await cluster.platform.set(`/instances/${id}/start-again`, { afterMs: 0 });
}

test('a replica without its log does not count as its last incarnation, which had every commit', async () => {
  await cluster.platform.set(`/instances/${STALLED_REPLICA}/faults`, { isStalled: true });
  await awaitWrites(10);
  await cluster.platform.set(`/instances/${CURRENT_REPLICA}/faults`, { isSilentToStore: true });
  await cluster.platform.set(`/instances/${PRIMARY}/crash`);
  await startAgain(CURRENT_REPLICA);
  await until('the registration of the last incarnation expires', async () => {
    return !(await isRegistered(CURRENT_REPLICA));
  });
  await cluster.platform.set(`/instances/${PRIMARY}/return`);
  await cluster.platform.set(`/instances/${CURRENT_REPLICA}/faults`, { isSilentToStore: false });
  await cluster.platform.set(`/instances/${STALLED_REPLICA}/faults`, { isStalled: false });
  await awaitWrites(10);
  await stopAndCheckViolations();
});

test('a primary that starts again without its log is replaced, and serves no read from its empty log', async () => {
  await cluster.platform.set(`/instances/${PRIMARY}/faults`, { isSilentToStore: true });
  await startAgain(PRIMARY);
  await cluster.platform.waitForNewPrimary(SERVICE, PRIMARY);
  await awaitWrites(10);
  await cluster.platform.set(`/instances/${PRIMARY}/faults`, { isSilentToStore: false });
  await awaitWrites(10);
  await stopAndCheckViolations();
});

test('gateways that start after a primary has lost its log serve no read from it', async () => {
  await cluster.platform.set(`/instances/${PRIMARY}/faults`, { isSilentToStore: true });
  const gateways = [...cluster.gateways.keys()];
  await Promise.all(gateways.map((gateway) => cluster.kill(gateway)));
  await startAgain(PRIMARY);
  await Promise.all(gateways.map((gateway) => cluster.restart(gateway)));
  await cluster.platform.waitForNewPrimary(SERVICE, PRIMARY);
  await awaitWrites(10);
  await cluster.platform.set(`/instances/${PRIMARY}/faults`, { isSilentToStore: false });
  await awaitWrites(10);
  await stopAndCheckViolations();
});

test('a replica that starts again without its log joins as a new member', async () => {
  await startAgain(CURRENT_REPLICA);
  await awaitWrites(10);
  await until('it has received what the primary has', async () => {
    const [primary, replica] = await Promise.all(
      [PRIMARY, CURRENT_REPLICA].map((id) => cluster.platform.instance(id)),
    );
    return replica?.received === primary?.received;
  });
  await stopAndCheckViolations();
});

test.run();
