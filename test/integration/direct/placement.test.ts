/** Reads of a fleet with readers while one of a service's instances is slow, with real processes. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster } from '../../support/direct-cluster.js';
import type { RecordedSession } from '../../support/direct-session.js';
import { until } from '../../support/until.js';

const GATEWAYS = 5;
const SESSIONS_PER_GATEWAY = 3;
const SLOW_FACTOR = 40;
/** Reads by which an instance's share is judged. */
const LAST_READS = 400;
/** An instance that is known to be ill gets less than this part of the reads. */
const MOST_OF_ILL = 0.02;
/** One that is well gets more than this. */
const LEAST_OF_WELL = 0.1;

let cluster: DirectCluster;

test.after.each(() => cluster.stop());

/** The sum of a figure over all gateways. */
async function total(name: string): Promise<number> {
  const figures = await Promise.all(
    cluster.gateways.map((_gateway, index) => cluster.metric(index, name)),
  );
  return figures.reduce((sum, figure) => sum + figure, 0);
}

/** The part of the service's last reads that ran at an instance. */
async function shareOf(instanceId: string): Promise<number> {
  const { runs } = await cluster.platform.log();
  const reads = runs.filter(({ service, kind }) => service === 'orders' && kind === 'read');
  const last = reads.slice(-LAST_READS);
  return last.filter(({ instance }) => instance === instanceId).length / LAST_READS;
}

/** Reads one after the other until it is told to stop. */
async function keepReading(session: RecordedSession, isOver: () => boolean): Promise<void> {
  while (!isOver()) await session.succeed(() => session.read('a'));
  session.close();
}

test('nodes tell each other of a slow replica, leave it alone, and use it again once it is well', async () => {
  const gatewayFlags = ['--smallest-reader-fleet', String(GATEWAYS - 1)];
  cluster = await DirectCluster.start({ gateways: GATEWAYS, gatewayFlags });
  const writer = await cluster.open('intake');
  await writer.succeed(() => writer.write('a', 'one'));
  writer.close();
  const instances = await cluster.platform.instances();
  const slow = instances.find(({ service, role }) => service === 'orders' && role === 'replica');
  if (slow === undefined) throw new Error('no replica');

  let isOver = false;
  const reading: Promise<void>[] = [];
  for (const index of cluster.gateways.keys()) {
    for (let count = 0; count < SESSIONS_PER_GATEWAY; count += 1) {
      const session = await cluster.open('lookup', index);
      const read = keepReading(session, () => isOver);
      // Awaited in the end; what fails before that keeps its own name.
      read.catch(() => undefined);
      reading.push(read);
    }
  }
  await until('digests', async () => (await total('digests_taken_total')) > GATEWAYS);
  await until('an even use', async () => (await shareOf(slow.id)) > LEAST_OF_WELL);
  await cluster.platform.set(`/instances/${slow.id}/faults`, { slowFactor: SLOW_FACTOR });
  await until('few reads', async () => (await shareOf(slow.id)) < MOST_OF_ILL);
  await cluster.platform.set(`/instances/${slow.id}/faults`, { slowFactor: 1 });
  await until('use again', async () => (await shareOf(slow.id)) > LEAST_OF_WELL);
  isOver = true;
  await Promise.all(reading);
  assert.is(await total('digests_malformed_total'), 0);
  assert.is(await total('digests_implausible_total'), 0);
  assert.equal(await cluster.violations(), []);
});

test.run();
