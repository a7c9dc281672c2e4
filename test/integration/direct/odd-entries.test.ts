/**
 * Guards against gateways that end, or no longer follow the list of instances, since another writer left an odd entry
 * among the registrations: also where the list comes from a peer.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster } from '../../support/direct-cluster.js';
import { LoadClient } from '../../support/direct-load.js';
import { ODD_ENTRIES } from '../../support/odd-entries.js';
import { until } from '../../support/until.js';

const SERVICE = 'orders';
const FIRST_PRIMARY = 'i-orders-1';
const RESTARTED = 1;
const SKIPPED_EVENT = '"event":"document not understood"';
const SNAPSHOT_LINE = 'serving from a snapshot of a peer';

let cluster: DirectCluster;
let clients: LoadClient[] = [];

test.after.each(async () => {
  await Promise.allSettled(clients.map((client) => client.stop()));
  await cluster.stop();
});

async function awaitWrites(): Promise<void> {
  await Promise.all(clients.map((client) => client.waitForWrites(5)));
}

function skippedEntries(gateway: number): number {
  return cluster.gateway(gateway).output().split(SKIPPED_EVENT).length - 1;
}

test('odd entries among the registrations end no gateway, and changes after them are followed', async () => {
  cluster = await DirectCluster.start({ gateways: 2 });
  await cluster.waitForPeers();
  clients = [0, 1].map(
    (gateway) => new LoadClient(cluster, { database: 'intake', gateway, seed: gateway + 1 }),
  );
  await awaitWrites();
  for (const { what, key, text } of ODD_ENTRIES) {
    const skippedBefore = [0, 1].map(skippedEntries);
    await cluster.platform.set('/store/entries', { key, text });
    await until(`${what} is skipped`, () =>
      skippedBefore.every((count, gateway) => skippedEntries(gateway) > count),
    );
    await awaitWrites();
  }
  await cluster.platform.set(`/instances/${FIRST_PRIMARY}/drain`, {
    replacementId: `${FIRST_PRIMARY}-next`,
  });
  await cluster.platform.waitForNewPrimary(SERVICE, FIRST_PRIMARY);
  await awaitWrites();

  await clients[RESTARTED]?.stop();
  await cluster.kill(RESTARTED);
  await cluster.platform.stopStoreOutsideChanges({ down: 'silent', leasesWait: false });
  const restarted = cluster.restart(RESTARTED);
  await cluster.ready(restarted);
  assert.ok(restarted.output().includes(SNAPSHOT_LINE));
  clients.push(new LoadClient(cluster, { database: 'intake', gateway: RESTARTED, seed: 3 }));
  await clients.at(-1)?.waitForWrites(5);
  await Promise.all(clients.map((client) => client.stop()));
  for (const { process } of cluster.gateways) assert.is(process.exitCode, null);
  assert.equal(await cluster.violations(), []);
});

test.run();
