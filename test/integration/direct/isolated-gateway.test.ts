/** A direct gateway that can't see what the others decide: cut from the store, or frozen. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster } from '../../support/direct-cluster.js';
import { LoadClient } from '../../support/direct-load.js';
import { until } from '../../support/until.js';

const SERVICE = 'orders';
const OLD = 'i-orders-1';
const ISOLATED = 1;
const HELD = 'i-orders-2';
const BACK = 'i-orders-3';
const FORGOTTEN = '"event":"member forgotten"';

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
  await served([...steady, ...isolated]);
}

test.after.each(async () => {
  cluster.gateway(ISOLATED).process.kill('SIGCONT');
  await Promise.allSettled([...steady, ...isolated].map((client) => client.stop()));
  await cluster.stop();
});

/** Each client succeeds some times more. */
async function served(clients: readonly LoadClient[]): Promise<void> {
  await Promise.all(
    clients.map((client) =>
      client.database === 'lookup' ? client.waitForReads(5) : client.waitForWrites(5),
    ),
  );
}

async function endWithNoRuleBroken(): Promise<void> {
  await served([...steady, ...isolated]);
  await Promise.all([...steady, ...isolated].map((client) => client.stop()));
  assert.equal(await cluster.violations(), []);
}

/** The primary reaches no replica, though every gateway reaches it. */
async function cutPrimary(isCut: boolean): Promise<void> {
  await cutPrimaryFrom(isCut ? ['i-orders-2', 'i-orders-3'] : []);
}

async function cutPrimaryFrom(replicas: readonly string[]): Promise<void> {
  const pairs = replicas.map((replica) => [OLD, replica]);
  await cluster.platform.set(`/groups/${SERVICE}/cuts`, { pairs });
}

async function oldPrimaryFollows(): Promise<void> {
  await until('the old primary follows', async () => {
    return (await cluster.platform.instance(OLD)).role === 'replica';
  });
}

/** Another leads, the old primary is reached again and follows it, and the isolated gateway hears of it. */
async function endUnderNewPrimary(): Promise<void> {
  await cluster.platform.waitForNewPrimary(SERVICE, OLD);
  await served(steady);
  await cutPrimary(false);
  await oldPrimaryFollows();
  await cluster.setCutFromStore(ISOLATED, false);
  await endWithNoRuleBroken();
}

test('a gateway that is cut from the store serves nothing stale from a primary that is replaced', async () => {
  await start();
  await cluster.setCutFromStore(ISOLATED, true);
  await cutPrimary(true);
  await endUnderNewPrimary();
});

test('the others replace a crashed primary while any one gateway is cut from the store', async () => {
  await start();
  await cluster.setCutFromStore(ISOLATED, true);
  await cluster.platform.set(`/instances/${OLD}/crash`);
  await cluster.platform.waitForNewPrimary(SERVICE, OLD);
  await served(steady);
  await cluster.setCutFromStore(ISOLATED, false);
  await cluster.platform.set(`/instances/${OLD}/return`);
  await endWithNoRuleBroken();
});

test('nothing is acknowledged beside the replica that is about to lead', async () => {
  await start('--promote-ms', '1500');
  await cluster.setCutFromStore(ISOLATED, true);
  await cluster.platform.set(`/instances/${OLD}/faults`, { isDeafToControl: true });
  await cutPrimary(true);
  let chosen: string | undefined;
  await until('the promotion call', async () => {
    chosen = (await cluster.platform.log()).promotionCalls[0]?.id;
    return chosen !== undefined;
  });
  await cutPrimaryFrom([chosen ?? '']);
  await endUnderNewPrimary();
});

/**
 * A replica ends and is forgotten. The primary then reaches no replica and does not hear the leader, so that the other
 * replica is held and about to be promoted. The one that had ended comes back beside it, and receives what the gateway
 * that hears of none of this still writes: acknowledged there, it is lost with the promotion. What showed the cause: the
 * held replica tells of its hold to whoever asks its status, and the gateway only looked for a later term.
 */
test('nothing is acknowledged by a replica that comes back beside the one that is about to lead', async () => {
  await start('--promote-ms', '1500');
  await cluster.platform.set(`/instances/${BACK}/crash`);
  await until('the replica is forgotten', () =>
    cluster.gateways.some((gateway) => gateway.output().includes(FORGOTTEN)),
  );
  await cluster.setCutFromStore(ISOLATED, true);
  await cluster.platform.set(`/instances/${OLD}/faults`, { isDeafToControl: true });
  await cutPrimary(true);
  await until('the promotion call', async () => {
    return (await cluster.platform.log()).promotionCalls.length > 0;
  });
  await cutPrimaryFrom([HELD]);
  await cluster.platform.set(`/instances/${BACK}/return`);
  await endUnderNewPrimary();
});

test('a gateway that was frozen while a primary was replaced does no harm when it wakes', async () => {
  await start();
  const { process: frozen } = cluster.gateway(ISOLATED);
  frozen.kill('SIGSTOP');
  await cutPrimary(true);
  await cluster.platform.waitForNewPrimary(SERVICE, OLD);
  await served(steady);
  frozen.kill('SIGCONT');
  await cutPrimary(false);
  await oldPrimaryFollows();
  await endWithNoRuleBroken();
});

test.run();
