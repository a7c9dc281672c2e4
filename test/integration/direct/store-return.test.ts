/**
 * What users saw: configurations that had been confirmed were in force on no node for up to 34 s, so that a route which had been dropped
 * was still served. The store had been away for a few seconds before, without anything else in its record.
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
      async () => (await cluster.figure(index, 'configuration_version')) >= version,
      BOUND_MS,
    );
  }
}

/** The store's revision goes back behind several configurations, of which the operator writes the last one again. */
async function returnFromCopy(): Promise<void> {
  await cluster.platform.set('/store/copy');
  for (let count = 0; count < LOST; count += 1) await cluster.publish(ROUTES);
  await cluster.platform.set('/store/return-from-copy', { awayMs: AWAY_MS, rewriteMs: 300 });
  await until('the return', async () => (await cluster.figure(0, 'store_era')) === 1);
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
