/** All gateways of a cluster with owners are killed at once and restarted. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { readLog } from '../../../src/observability/log-reader.js';
import { accountOfStart } from '../../../src/observability/start-account.js';
import { DirectCluster } from '../../support/direct-cluster.js';
import { DirectLoad } from '../../support/direct-load.js';
import { until } from '../../support/until.js';

const GATEWAYS = 6;
const KEPT_OUTPUT_CHARACTERS = 5_000_000;
const STEPS = ['configuration', 'instances', 'fleet', 'primaries', 'trust', 'ready'];

test('gateways killed all at once serve again through owners after a restart, and log each step of their start', async () => {
  const cluster = await DirectCluster.start({
    ...{ gateways: GATEWAYS, gatewayFlags: ['--largest-direct-fleet', '1'] },
    maxOutputCharacters: KEPT_OUTPUT_CHARACTERS,
  });
  const clients = new DirectLoad(cluster);
  const indexes = [...cluster.gateways.keys()];
  const steady = indexes.flatMap((index) => [
    clients.add({ database: 'intake', gateway: index, seed: 10 + index }),
    clients.add({ database: 'assign', gateway: index, seed: 20 + index }),
  ]);
  const readLeaseCounts = () =>
    Promise.all(indexes.map((i) => cluster.metric(i, 'leases_given_total')));
  await until('leases', async () => (await readLeaseCounts()).some((count) => count > 0));
  await Promise.all(indexes.map((index) => cluster.kill(index)));
  const restarted = indexes.map((index) => cluster.restart(index));
  await Promise.all(restarted.map((gateway) => cluster.ready(gateway)));
  await Promise.all(steady.map((client) => client.waitForWrites(3)));
  await Promise.all(steady.map((client) => client.waitForReads(3)));
  assert.ok((await readLeaseCounts()).some((count) => count > 0));
  const lines = restarted.flatMap((gateway) => readLog(gateway.output()).lines);
  const account = accountOfStart(lines);
  const reached = new Map(account?.steps.map(({ step, nodes }) => [step, nodes]));
  for (const step of STEPS) assert.is(reached.get(step), GATEWAYS, step);
  assert.ok(account?.steps.some(({ step }) => step === 'served primary'));
  await clients.stopAndAssertNoViolations();
  await clients.stop();
});

test.run();
