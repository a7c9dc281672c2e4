/** Clusters in which a few nodes (the readers) watch the store for the others, with real processes. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster, ROUTES } from '../../support/direct-cluster.js';
import { until } from '../../support/until.js';

const GATEWAYS = 5;
const READERS = 2;
/** Watched prefixes: the configuration and the directory. */
const PREFIXES = 2;
const WATCHES_METRIC = 'store_watches';
const VERSION_METRIC = 'configuration_version';

let cluster: DirectCluster;

async function start(): Promise<void> {
  const gatewayFlags = ['--smallest-reader-fleet', String(GATEWAYS - 1)];
  cluster = await DirectCluster.start({ gateways: GATEWAYS, gatewayFlags, cuttable: true });
  await until('readers', async () => (await listWatchers()).length === READERS);
}

test.after.each(() => cluster.stop());

const listRunning = (): number[] =>
  [...cluster.gateways.entries()]
    .filter(([, { process: child }]) => child.exitCode === null && child.signalCode === null)
    .map(([index]) => index);

/** Gateways that watch the store; empty while any gateway watches only a part of the prefixes. */
async function listWatchers(): Promise<number[]> {
  const figures = await Promise.all(
    listRunning().map(async (index) => ({
      index,
      watches: await cluster.metric(index, WATCHES_METRIC),
    })),
  );
  if (figures.some(({ watches }) => watches !== 0 && watches !== PREFIXES)) return [];
  return figures.filter(({ watches }) => watches > 0).map(({ index }) => index);
}

async function awaitInForce(version: number): Promise<void> {
  for (const index of listRunning()) {
    await until(
      `version ${version} at gateway ${index}`,
      async () => (await cluster.metric(index, VERSION_METRIC)) >= version,
    );
  }
}

test('two nodes watch the store, and all others receive changes from them', async () => {
  await start();
  const readers = await listWatchers();
  await cluster.publish(ROUTES);
  await awaitInForce(2);
  for (const index of listRunning()) {
    const isReader = readers.includes(index);
    const received = await cluster.metric(index, 'readers_events_from_readers_total');
    assert.is(received > 0, !isReader, `gateway ${index}`);
  }
  const session = await cluster.open(
    'intake',
    listRunning().find((index) => !readers.includes(index)),
  );
  await session.succeed(() => session.write('a', 'one'));
  session.close();
  assert.equal(await cluster.violations(), []);
});

test('a killed reader is replaced, and no configuration is missed meanwhile', async () => {
  await start();
  const [first] = await listWatchers();
  await cluster.kill(first as number);
  await cluster.publish(ROUTES);
  await awaitInForce(2);
  await until('another reader', async () => {
    const now = await listWatchers();
    return now.length === READERS && !now.includes(first as number);
  });
  await cluster.publish(ROUTES);
  await awaitInForce(3);
});

test('a node cut off from the store receives changes from readers, and readers cut off from it are replaced', async () => {
  await start();
  const readers = await listWatchers();
  const others = listRunning().filter((index) => !readers.includes(index));
  await cluster.setCutFromStore(others[0] as number, true);
  await cluster.publish(ROUTES);
  await awaitInForce(2);
  await cluster.setCutFromStore(others[0] as number, false);
  for (const index of readers) await cluster.setCutFromStore(index, true);
  await cluster.publish(ROUTES);
  for (const index of others) {
    await until(
      `version 3 at gateway ${index}`,
      async () => (await cluster.metric(index, VERSION_METRIC)) >= 3,
    );
  }
});

test.run();
