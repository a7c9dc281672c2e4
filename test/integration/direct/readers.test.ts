/** Fleets in which a few nodes read the store for the others, with real processes. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster, ROUTES } from '../../support/direct-cluster.js';
import { until } from '../../support/until.js';

const GATEWAYS = 5;
const READERS = 2;
/** The configuration and the directory. */
const PREFIXES = 2;
const WATCHES = 'store_watches';
const VERSION = 'configuration_version';

let cluster: DirectCluster;

async function start(): Promise<void> {
  const gatewayFlags = ['--smallest-reader-fleet', String(GATEWAYS - 1)];
  cluster = await DirectCluster.start({ gateways: GATEWAYS, gatewayFlags, cuttable: true });
  await until('readers', async () => (await watchers()).length === READERS);
}

test.after.each(() => cluster.stop());

const running = (): number[] =>
  [...cluster.gateways.entries()]
    .filter(([, { process: child }]) => child.exitCode === null && child.signalCode === null)
    .map(([index]) => index);

/** Gateways that watch the store; throws nothing while some watch a part of it. */
async function watchers(): Promise<number[]> {
  const figures = await Promise.all(
    running().map(async (index) => ({ index, watches: await cluster.metric(index, WATCHES) })),
  );
  if (figures.some(({ watches }) => watches !== 0 && watches !== PREFIXES)) return [];
  return figures.filter(({ watches }) => watches > 0).map(({ index }) => index);
}

async function inForce(version: number): Promise<void> {
  for (const index of running()) {
    await until(
      `version ${version} at gateway ${index}`,
      async () => (await cluster.metric(index, VERSION)) >= version,
    );
  }
}

test('two nodes read the store, and all others hear of changes from them', async () => {
  await start();
  const readers = await watchers();
  await cluster.publish(ROUTES);
  await inForce(2);
  for (const index of running()) {
    const isReader = readers.includes(index);
    const told = await cluster.metric(index, 'readers_events_from_readers_total');
    assert.is(told > 0, !isReader, `gateway ${index}`);
  }
  const session = await cluster.open(
    'intake',
    running().find((index) => !readers.includes(index)),
  );
  await session.succeed(() => session.write('a', 'one'));
  session.close();
  assert.equal(await cluster.violations(), []);
});

test('a reader that is killed is replaced, and nothing is missed meanwhile', async () => {
  await start();
  const [first] = await watchers();
  await cluster.kill(first as number);
  await cluster.publish(ROUTES);
  await inForce(2);
  await until('another reader', async () => {
    const now = await watchers();
    return now.length === READERS && !now.includes(first as number);
  });
  await cluster.publish(ROUTES);
  await inForce(3);
});

test('readers that the store ignores are left, and a node that it ignores hears from readers', async () => {
  await start();
  const readers = await watchers();
  const others = running().filter((index) => !readers.includes(index));
  await cluster.setCutFromStore(others[0] as number, true);
  await cluster.publish(ROUTES);
  await inForce(2);
  await cluster.setCutFromStore(others[0] as number, false);
  for (const index of readers) await cluster.setCutFromStore(index, true);
  await cluster.publish(ROUTES);
  for (const index of others) {
    await until(
      `version 3 at gateway ${index}`,
      async () => (await cluster.metric(index, VERSION)) >= 3,
    );
  }
});

test.run();
