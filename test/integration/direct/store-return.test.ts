/**
 * What users saw: configurations that had been confirmed were in force on no node for up to 34 s, so that a route which had been dropped
 * was still served. In order: the store goes away for seconds and comes back as it was some time before; it gives out again revisions that nodes
 * know; the operator publishes; nodes are told, and take it for something that they know already.
 *
 * Cause: revisions were compared though they were of different histories, at each place where a node keeps one: the kept changes of a followed
 * prefix (told once more to whoever reads anew, so that it counted as told up to the old revision), the highest revision of the
 * configuration, entries of instances, records. Evidence: "history of the store gone" again and again for one position; the era rose; `readers_events_passed` rose
 * by one with each publication (3, 4, 5, 6) while `configuration_version` stood at 7; "newer configuration passed over" after a whole read.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster, ROUTES } from '../../support/direct-cluster.js';
import { until } from '../../support/until.js';

const GATEWAYS = 2;
/** Newer configurations that the copy has not. */
const LOST = 6;
const AWAY_MS = 400;
/** The bound within which a confirmed configuration is in force (`config_apply_ms` of the settings). */
const BOUND_MS = 3000;

let cluster: DirectCluster;

test.after.each(() => cluster.stop());

async function inForce(version: number): Promise<void> {
  for (const index of cluster.gateways.keys()) {
    await until(
      `version ${version} at gateway ${index}`,
      async () => (await cluster.metric(index, 'configuration_version')) >= version,
      BOUND_MS,
    );
  }
}

/** The store's revision goes back behind several configurations, of which the operator writes the last one again. */
async function returnFromCopy(): Promise<void> {
  await cluster.platform.set('/store/copy');
  for (let count = 0; count < LOST; count += 1) await cluster.publish(ROUTES);
  await cluster.platform.set('/store/return-from-copy', { awayMs: AWAY_MS, rewriteMs: 300 });
  await until('the return', async () => (await cluster.metric(0, 'store_era')) === 1);
}

test('a configuration that is confirmed after the store came back from a copy is in force in time', async () => {
  cluster = await DirectCluster.start({ gateways: GATEWAYS });
  await returnFromCopy();
  await inForce(LOST + 1);
  await cluster.publish(ROUTES);
  await inForce(LOST + 2);
  for (const index of cluster.gateways.keys()) {
    assert.not.match(cluster.gateway(index).output(), /configuration passed over/);
  }
});

test.run();
