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
const SERVED_METRIC = 'reader_prefixes';
const MAX_PUBLISHED_VERSION = 8;
const FALLBACKS_METRIC = 'readers_fallbacks_total';
const RECEIVED_METRIC = 'readers_events_from_readers_total';
const VERSION_METRIC = 'configuration_version';

let cluster: DirectCluster;

async function start(): Promise<void> {
  const gatewayFlags = ['--smallest-reader-fleet', String(GATEWAYS - 1)];
  cluster = await DirectCluster.start({ gateways: GATEWAYS, gatewayFlags, cuttable: true });
  await until('readers', async () => (await listWatchers()).length === READERS);
}

test.after.each(async () => {
  for (const index of listRunning()) cluster.gateway(index).process.kill('SIGCONT');
  await cluster.stop();
});

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

const listFollowers = (readers: readonly number[]): number[] =>
  listRunning().filter((index) => !readers.includes(index));

/**
 * Waits until two nodes watch the store and all others are served by readers, and returns the two. Others may watch it for a
 * while at a start, or after a change of readers.
 */
async function awaitSettled(): Promise<readonly number[]> {
  let readers: readonly number[] = [];
  await until('two readers that serve all others', async () => {
    readers = await listWatchers();
    const served = await metrics(SERVED_METRIC);
    const isServed = listFollowers(readers).every((index) => served[index] === PREFIXES);
    return readers.length === READERS && isServed;
  });
  return readers;
}

async function metrics(name: string): Promise<readonly number[]> {
  return Promise.all(listRunning().map((index) => cluster.metric(index, name)));
}

interface CalmPublication {
  readonly readers: readonly number[];
  /** Changes that each gateway received from readers meanwhile. */
  readonly received: readonly number[];
}

/**
 * Publishes until no gateway has read the store itself meanwhile, which is what it does while its readers stand still. Every
 * gateway that is no reader is served before.
 */
async function publishWithoutFallback(version = 2): Promise<CalmPublication> {
  assert.ok(version <= MAX_PUBLISHED_VERSION, 'readers stand still all the time');
  const readers = await awaitSettled();
  const fallbacks = await metrics(FALLBACKS_METRIC);
  const received = await metrics(RECEIVED_METRIC);
  await cluster.publish(ROUTES);
  await awaitInForce(version);
  const isCalm = (await metrics(FALLBACKS_METRIC)).join() === fallbacks.join();
  if (!isCalm || (await listWatchers()).join() !== readers.join()) {
    return publishWithoutFallback(version + 1);
  }
  const now = await metrics(RECEIVED_METRIC);
  return { readers, received: now.map((count, index) => count - (received[index] ?? 0)) };
}

test('two nodes watch the store, and all others receive changes from them', async () => {
  await start();
  const { readers, received } = await publishWithoutFallback();
  assert.is(readers.length, READERS);
  for (const index of listRunning()) {
    assert.is((received[index] ?? 0) > 0, !readers.includes(index), `gateway ${index}`);
  }
  const session = await cluster.open('intake', listFollowers(readers)[0]);
  await session.succeed(() => session.write('a', 'one'));
  session.close();
  assert.equal(await cluster.violations(), []);
});

test('a node whose readers stand still reads the store itself, and is served again when they go on', async () => {
  await start();
  const readers = await awaitSettled();
  const [follower = 0] = listFollowers(readers);
  const fallbacks = await cluster.metric(follower, FALLBACKS_METRIC);
  for (const index of readers) cluster.gateway(index).process.kill('SIGSTOP');
  await until('a fallback', async () => {
    return (await cluster.metric(follower, FALLBACKS_METRIC)) > fallbacks;
  });
  await cluster.publish(ROUTES);
  await until('version 2 from the store', async () => {
    return (await cluster.metric(follower, VERSION_METRIC)) >= 2;
  });
  for (const index of readers) cluster.gateway(index).process.kill('SIGCONT');
  await awaitSettled();
  await awaitInForce(2);
});

test('a node that is not yet subscribed comes to the newest version, and its readers serve it', async () => {
  await start();
  const [follower = 0] = listFollowers(await awaitSettled());
  await cluster.kill(follower);
  cluster.restart(follower);
  await cluster.publish(ROUTES);
  await cluster.ready(cluster.gateway(follower));
  await awaitInForce(2);
  await awaitSettled();
  await cluster.publish(ROUTES);
  await awaitInForce(3);
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
