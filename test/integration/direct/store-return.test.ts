/**
 * Guards against confirmed configurations that take effect on no node for up to 34 s, so that a removed route is still
 * served. The store is down for a few seconds and is restored from an older backup, so that it assigns revisions again which
 * nodes already know. The operator publishes; nodes receive the change, and treat it as already known.
 *
 * The cause was a comparison of revisions from different store histories, wherever a node keeps a revision: the kept changes of a
 * watched prefix (relayed again to a node that reads anew, which then counted as informed up to the old revision), the highest
 * revision of the configuration, registrations of instances, records. Symptoms: "history of the store gone" repeatedly for one
 * position; the store era rose; `readers_events_passed` rose by one with each publication (3, 4, 5, 6) while `configuration_version`
 * stayed at 7; "newer configuration passed over" after a full read.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster, ROUTES } from '../../support/direct-cluster.js';
import { until } from '../../support/until.js';

const GATEWAYS = 2;
/** Configurations published after the backup, which the restored store lacks. */
const LOST_CONFIGURATIONS = 6;
const STORE_OUTAGE_MS = 400;
/** Maximum time until a confirmed configuration is in force (`config_apply_ms` of the settings). */
const MAX_APPLY_MS = 3000;

let cluster: DirectCluster;

test.after.each(() => cluster.stop());

async function awaitInForce(version: number): Promise<void> {
  for (const index of cluster.gateways.keys()) {
    await until(
      `version ${version} at gateway ${index}`,
      async () => (await cluster.metric(index, 'configuration_version')) >= version,
      MAX_APPLY_MS,
    );
  }
}

/** Restores the store to a state before several configurations, of which the operator writes the last one again. */
async function restoreStoreFromBackup(): Promise<void> {
  await cluster.platform.set('/store/copy');
  for (let count = 0; count < LOST_CONFIGURATIONS; count += 1) await cluster.publish(ROUTES);
  await cluster.platform.set('/store/return-from-copy', {
    awayMs: STORE_OUTAGE_MS,
    rewriteMs: 300,
  });
  await until('the restored store', async () => (await cluster.metric(0, 'store_era')) === 1);
}

test('a configuration confirmed after the store was restored from a backup is in force within its time limit', async () => {
  cluster = await DirectCluster.start({ gateways: GATEWAYS });
  await restoreStoreFromBackup();
  await awaitInForce(LOST_CONFIGURATIONS + 1);
  await cluster.publish(ROUTES);
  await awaitInForce(LOST_CONFIGURATIONS + 2);
  for (const index of cluster.gateways.keys()) {
    assert.not.match(cluster.gateway(index).output(), /configuration passed over/);
  }
});

test.run();
