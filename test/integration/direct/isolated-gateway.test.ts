/** A direct gateway that doesn't learn of the others' decisions: cut off from the store, or paused. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster } from '../../support/direct-cluster.js';
import { LoadClient } from '../../support/direct-load.js';
import { until } from '../../support/until.js';

const SERVICE = 'orders';
const OLD_PRIMARY = 'i-orders-1';
const ISOLATED = 1;
const HELD_REPLICA = 'i-orders-2';
const RETURNING_REPLICA = 'i-orders-3';
const MEMBER_FORGOTTEN_EVENT = '"event":"member forgotten"';

let cluster: DirectCluster;
let steady: LoadClient[] = [];
let isolated: LoadClient[] = [];

async function start(...flags: string[]): Promise<void> {
  cluster = await DirectCluster.start({ gateways: 3, cuttable: true, flags });
  const clientOf = (gateway: number) => (database: string, index: number) =>
    new LoadClient(cluster, {
      ...{ database, gateway, seed: 10 * gateway + index + 1 },
      writes: database === 'lookup' ? 0 : 0.4,
    });
  const databases = ['intake', 'assign', 'lookup'];
  steady = [0, 2].flatMap((gateway) => databases.map(clientOf(gateway)));
  isolated = databases.map(clientOf(ISOLATED));
  await awaitServed([...steady, ...isolated]);
}

test.after.each(async () => {
  cluster.gateway(ISOLATED).process.kill('SIGCONT');
  await Promise.allSettled([...steady, ...isolated].map((client) => client.stop()));
  await cluster.stop();
});

/** Waits until each client has had five more successful requests. */
async function awaitServed(clients: readonly LoadClient[]): Promise<void> {
  await Promise.all(
    clients.map((client) =>
      client.database === 'lookup' ? client.waitForReads(5) : client.waitForWrites(5),
    ),
  );
}

async function stopAndCheckViolations(): Promise<void> {
  await awaitServed([...steady, ...isolated]);
  await Promise.all([...steady, ...isolated].map((client) => client.stop()));
  assert.equal(await cluster.violations(), []);
}

/** Cuts the primary off from its replicas; every gateway still reaches it. */
async function cutPrimary(isCut: boolean): Promise<void> {
  await cutPrimaryFrom(isCut ? ['i-orders-2', 'i-orders-3'] : []);
}

async function cutPrimaryFrom(replicas: readonly string[]): Promise<void> {
  const pairs = replicas.map((replica) => [OLD_PRIMARY, replica]);
  await cluster.platform.set(`/groups/${SERVICE}/cuts`, { pairs });
}

async function awaitOldPrimaryFollows(): Promise<void> {
  await until('the old primary follows', async () => {
    return (await cluster.platform.instance(OLD_PRIMARY)).role === 'replica';
  });
}

/** Waits for a new primary, reconnects the old one as its replica, and then the isolated gateway to the store. */
async function finishUnderNewPrimary(): Promise<void> {
  await cluster.platform.waitForNewPrimary(SERVICE, OLD_PRIMARY);
  await awaitServed(steady);
  await cutPrimary(false);
  await awaitOldPrimaryFollows();
  await cluster.setCutFromStore(ISOLATED, false);
  await stopAndCheckViolations();
}

test('a gateway cut off from the store serves no stale read from a replaced primary', async () => {
  await start();
  await cluster.setCutFromStore(ISOLATED, true);
  await cutPrimary(true);
  await finishUnderNewPrimary();
});

test('a crashed primary is replaced while one gateway is cut off from the store', async () => {
  await start();
  await cluster.setCutFromStore(ISOLATED, true);
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/crash`);
  await cluster.platform.waitForNewPrimary(SERVICE, OLD_PRIMARY);
  await awaitServed(steady);
  await cluster.setCutFromStore(ISOLATED, false);
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/return`);
  await stopAndCheckViolations();
});

test('during a promotion, no write is acknowledged by the old primary and the other replica', async () => {
  await start('--promote-ms', '1500');
  await cluster.setCutFromStore(ISOLATED, true);
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/faults`, { isDeafToControl: true });
  await cutPrimary(true);
  let chosen: string | undefined;
  await until('the promotion call', async () => {
    chosen = (await cluster.platform.log()).promotionCalls[0]?.id;
    return chosen !== undefined;
  });
  await cutPrimaryFrom([chosen ?? '']);
  await finishUnderNewPrimary();
});

/**
 * A replica crashes and is removed from the members. The primary is then cut off from its replicas and receives no calls
 * from the leader, so that the other replica is held and about to be promoted. The crashed one returns and receives log
 * from the old primary, to which the isolated gateway still writes: a write acknowledged there is lost with the promotion.
 * The fault was that the gateway looked only for a later term, and ignored the hold that a held replica reports with its
 * status.
 */
test('during a promotion, no write is acknowledged by a replica that rejoins the old primary', async () => {
  await start('--promote-ms', '1500');
  await cluster.platform.set(`/instances/${RETURNING_REPLICA}/crash`);
  await until('the replica is removed from the members', () =>
    cluster.gateways.some((gateway) => gateway.output().includes(MEMBER_FORGOTTEN_EVENT)),
  );
  await cluster.setCutFromStore(ISOLATED, true);
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/faults`, { isDeafToControl: true });
  await cutPrimary(true);
  await until('the promotion call', async () => {
    return (await cluster.platform.log()).promotionCalls.length > 0;
  });
  await cutPrimaryFrom([HELD_REPLICA]);
  await cluster.platform.set(`/instances/${RETURNING_REPLICA}/return`);
  await finishUnderNewPrimary();
});

test('a gateway that was paused while a primary was replaced breaks no rule when it resumes', async () => {
  await start();
  const { process: frozen } = cluster.gateway(ISOLATED);
  frozen.kill('SIGSTOP');
  await cutPrimary(true);
  await cluster.platform.waitForNewPrimary(SERVICE, OLD_PRIMARY);
  await awaitServed(steady);
  frozen.kill('SIGCONT');
  await cutPrimary(false);
  await awaitOldPrimaryFollows();
  await stopAndCheckViolations();
});

test.run();
