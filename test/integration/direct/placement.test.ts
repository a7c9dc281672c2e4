/** Placement of reads in a cluster with readers while one instance of a service is slow, with real processes. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster } from '../../support/direct-cluster.js';
import type { RecordedSession } from '../../support/direct-session.js';
import { until } from '../../support/until.js';

const GATEWAYS = 5;
const SESSIONS_PER_GATEWAY = 3;
const SLOW_FACTOR = 40;
/** Number of reads from which an instance's fraction is computed. */
const LAST_READS = 400;
/** An instance known to be slow gets less than this fraction of the reads. */
const MAX_SLOW_FRACTION = 0.02;
/** A healthy instance gets more than this fraction. */
const MIN_HEALTHY_FRACTION = 0.1;

let cluster: DirectCluster;

test.after.each(() => cluster.stop());

/** The sum of a metric over all gateways. */
async function sumMetric(name: string): Promise<number> {
  const figures = await Promise.all(
    cluster.gateways.map((_gateway, index) => cluster.metric(index, name)),
  );
  return figures.reduce((sum, figure) => sum + figure, 0);
}

/** The fraction of the service's last reads that ran at an instance. */
async function readFractionOf(instanceId: string): Promise<number> {
  const { runs } = await cluster.platform.log();
  const reads = runs.filter(({ service, kind }) => service === 'orders' && kind === 'read');
  const last = reads.slice(-LAST_READS);
  return last.filter(({ instance }) => instance === instanceId).length / LAST_READS;
}

/** Sends reads one after the other until stopped. */
async function keepReading(session: RecordedSession, isStopped: () => boolean): Promise<void> {
  while (!isStopped()) await session.succeed(() => session.read('a'));
  session.close();
}

test('gateways exchange observations of a slow replica, avoid it, and use it again once it is healthy', async () => {
  const gatewayFlags = ['--smallest-reader-fleet', String(GATEWAYS - 1)];
  cluster = await DirectCluster.start({ gateways: GATEWAYS, gatewayFlags });
  const writer = await cluster.open('intake');
  await writer.succeed(() => writer.write('a', 'one'));
  writer.close();
  const instances = await cluster.platform.instances();
  const slow = instances.find(({ service, role }) => service === 'orders' && role === 'replica');
  if (slow === undefined) throw new Error('no replica');

  let isStopped = false;
  const reading: Promise<void>[] = [];
  for (const index of cluster.gateways.keys()) {
    for (let count = 0; count < SESSIONS_PER_GATEWAY; count += 1) {
      const session = await cluster.open('lookup', index);
      const read = keepReading(session, () => isStopped);
      // Awaited at the end of the test; until then a failure must not end the process as an unhandled rejection.
      read.catch(() => undefined);
      reading.push(read);
    }
  }
  await until('digests', async () => (await sumMetric('digests_taken_total')) > GATEWAYS);
  await until(
    'reads at the replica',
    async () => (await readFractionOf(slow.id)) > MIN_HEALTHY_FRACTION,
  );
  await cluster.platform.set(`/instances/${slow.id}/faults`, { slowFactor: SLOW_FACTOR });
  await until(
    'few reads at the slow replica',
    async () => (await readFractionOf(slow.id)) < MAX_SLOW_FRACTION,
  );
  await cluster.platform.set(`/instances/${slow.id}/faults`, { slowFactor: 1 });
  await until(
    'reads at the healthy replica',
    async () => (await readFractionOf(slow.id)) > MIN_HEALTHY_FRACTION,
  );
  isStopped = true;
  await Promise.all(reading);
  assert.is(await sumMetric('digests_malformed_total'), 0);
  assert.is(await sumMetric('digests_implausible_total'), 0);
  assert.equal(await cluster.violations(), []);
});

test.run();
