/**
 * Nodes watch the store through readers, in virtual time and with random faults drawn from a seed. Each node is notified
 * of every change once, in order and within the duration of a poll, whatever happens to readers.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ReachableNode } from '../../src/core/ownership/owner-roster.js';
import { fallbackReadersOf, readersOf } from '../../src/core/ownership/watch-readers.js';
import type { Milliseconds } from '../../src/core/units.js';
import { seededRandom } from '../support/random.js';
import { MAX_AGE_MS, PREFIX, ReaderNetwork, type VirtualNode } from '../support/reader-network.js';

const RUNS = 40;
const FIRST_SEED = 20261203;
const NODES = 7;
const SIMULATED_MS: Milliseconds = 40_000;
/** Maximum age of relayed data, a check of the readers, and a poll by the node itself. */
const BOUND_MS: Milliseconds = MAX_AGE_MS + 700;
/** Maximum duration of a fault. */
const MAX_FAULT_MS: Milliseconds = 5000;
/** Too large for readers to relay. */
const LARGE_VALUE = 'x'.repeat(20_000);

function nameReaders(network: ReaderNetwork, readers: readonly ReachableNode[]): void {
  for (const { followed, address } of network.nodes) {
    followed.setReaders(readersOf(address, readers), fallbackReadersOf(address, readers));
  }
}

function createNetwork(
  random: () => number,
  needsEveryConfirmation = false,
  linkMbps = 0,
): ReaderNetwork {
  const network = new ReaderNetwork(random, needsEveryConfirmation, linkMbps);
  for (let number = 0; number < NODES; number += 1) network.add('a').follow();
  return network;
}

function addressesOf(network: ReaderNetwork, numbers: readonly number[]): ReachableNode[] {
  return numbers.map((number) => (network.nodes[number] as VirtualNode).address);
}

test('without faults only readers poll the store, and all nodes are notified', async () => {
  const network = createNetwork(seededRandom(1));
  nameReaders(network, addressesOf(network, [0, 1]));
  await network.time.runUntil(6000);
  const before = network.store.polls;
  network.store.write(`${PREFIX}/x`);
  await network.time.runUntil(6100);
  for (const { notified } of network.nodes) assert.equal(notified, [2]);
  await network.time.runUntil(16_100);
  // Each reader's poll ends every 2.5 s, and once more because of the change.
  assert.ok(network.store.polls - before <= 12, `${network.store.polls - before} polls`);
});

test('changes of other prefixes cause no polls by followers', async () => {
  const network = createNetwork(seededRandom(5));
  nameReaders(network, addressesOf(network, [0, 1]));
  await network.time.runUntil(6000);
  for (let now = 6000; now <= 20_000; now += 250) {
    await network.time.runUntil(now);
    network.store.write('elsewhere');
  }
  const followers = network.nodes.slice(2);
  for (const { counters } of followers) assert.is(counters.fallbacks, 0);
});

test('the loss of a reader delays nothing, and without readers the nodes poll the store', async () => {
  const network = createNetwork(seededRandom(2));
  nameReaders(network, addressesOf(network, [0, 1]));
  await network.time.runUntil(6000);
  const [first, second, ...others] = network.nodes as [VirtualNode, VirtualNode, ...VirtualNode[]];
  first.isAlive = false;
  network.store.write(`${PREFIX}/x`);
  await network.time.runUntil(6100);
  for (const { notified } of others) assert.equal(notified, [2]);
  second.isAlive = false;
  network.store.write(`${PREFIX}/y`);
  await network.time.runUntil(8200);
  for (const { notified, counters } of others) {
    assert.equal(notified, [2, 3]);
    assert.ok(counters.fallbacks > 0);
  }
});

test('a reader cut off from the store is used no longer than a poll may take', async () => {
  const network = createNetwork(seededRandom(3));
  nameReaders(network, addressesOf(network, [0, 1]));
  await network.time.runUntil(6000);
  for (const { nodeId } of addressesOf(network, [0, 1])) network.store.cutOff.add(nodeId);
  network.store.write(`${PREFIX}/x`);
  await network.time.runUntil(6000 + BOUND_MS);
  for (const { notified } of network.nodes.slice(2)) assert.equal(notified, [2]);
});

test('each node reads a value from the store that is too large to relay', async () => {
  const network = createNetwork(seededRandom(4));
  nameReaders(network, addressesOf(network, [0, 1]));
  await network.time.runUntil(6000);
  const before = network.store.polls;
  network.store.write(`${PREFIX}/x`, LARGE_VALUE);
  await network.time.runUntil(6200);
  for (const { notified } of network.nodes) assert.equal(notified, [2]);
  assert.ok(network.store.polls - before <= NODES + 2);
});

test('after a value that is too large to relay, readers serve again while the store changes', async () => {
  for (const isProof of [false, true]) {
    const network = createNetwork(seededRandom(6), isProof);
    nameReaders(network, addressesOf(network, [0, 1]));
    await network.time.runUntil(6000);
    network.store.write(`${PREFIX}/x`, LARGE_VALUE);
    for (let now = 6000; now <= 9000; now += 50) {
      await network.time.runUntil(now);
      network.store.write('elsewhere');
    }
    const before = network.store.polls;
    for (let now = 9000; now <= 29_000; now += 50) {
      await network.time.runUntil(now);
      network.store.write('elsewhere');
    }
    // Two readers with polls of 2.5 s for 20 s. If readers never served again, all seven nodes would poll.
    assert.ok(network.store.polls - before <= 18, `${network.store.polls - before} polls`);
    for (const { notified } of network.nodes) assert.equal(notified, [2]);
  }
});

test('a reader with a fast link relays large values', async () => {
  const network = createNetwork(seededRandom(7), true, 140);
  nameReaders(network, addressesOf(network, [0, 1]));
  await network.time.runUntil(6000);
  const before = network.store.polls;
  network.store.write(`${PREFIX}/x`, LARGE_VALUE);
  await network.time.runUntil(6200);
  for (const { notified } of network.nodes) assert.equal(notified, [2]);
  assert.ok(network.store.polls - before <= 4, `${network.store.polls - before} polls`);
});

test('nodes that start defer their first poll until readers are assigned, for a limited time', async () => {
  for (const isNamed of [true, false]) {
    const network = new ReaderNetwork(seededRandom(12));
    network.mayLearnReaders = true;
    for (let number = 0; number < NODES; number += 1) network.add('a').follow();
    network.store.write(`${PREFIX}/x`);
    await network.time.runUntil(250);
    assert.is(network.store.polls, 0);
    if (isNamed) nameReaders(network, addressesOf(network, [0, 1]));
    await network.time.runUntil(1500);
    for (const { notified } of network.nodes) assert.equal(notified, [2]);
    // Each first poll returns the change, and is followed by a second one.
    assert.is(network.store.polls, 2 * (isNamed ? 2 : NODES));
  }
});

const ZONES = ['a', 'b', 'c'] as const;
const NODES_PER_ZONE = 3;
/** Two readers in each zone; the first ones of zones a and b watch the store. */
const ZONE_READERS = [0, 1, 3, 4, 6, 7];
const STORE_READERS = [0, 3];

function createZonedNetwork(random: () => number, needsEveryConfirmation = false): ReaderNetwork {
  const network = new ReaderNetwork(random, needsEveryConfirmation);
  for (const zone of ZONES) {
    for (let number = 0; number < NODES_PER_ZONE; number += 1) network.add(zone).follow();
  }
  return network;
}

/** The nodes of the network except those with these numbers. */
function without(network: ReaderNetwork, numbers: readonly number[]): VirtualNode[] {
  return network.nodes.filter((_, number) => !numbers.includes(number));
}

test('of the readers of several zones two poll the store, and all nodes are notified', async () => {
  for (const isProof of [false, true]) {
    const network = createZonedNetwork(seededRandom(8), isProof);
    nameReaders(network, addressesOf(network, ZONE_READERS));
    await network.time.runUntil(6000);
    const before = network.store.polls;
    network.store.write(`${PREFIX}/x`);
    await network.time.runUntil(6200);
    for (const { notified } of network.nodes) assert.equal(notified, [2]);
    await network.time.runUntil(26_200);
    // Two nodes with polls of 2.5 s for 20 s, and one more poll each for the change.
    assert.ok(network.store.polls - before <= 20, `${network.store.polls - before} polls`);
    for (const { counters } of network.nodes) assert.is(counters.fallbacks, 0);
  }
});

test('the loss of one polling reader delays no zone, and without both the other readers poll', async () => {
  const network = createZonedNetwork(seededRandom(9));
  nameReaders(network, addressesOf(network, ZONE_READERS));
  await network.time.runUntil(6000);
  const [first, second] = STORE_READERS.map((number) => network.nodes[number] as VirtualNode);
  if (first !== undefined) first.isAlive = false;
  network.store.write(`${PREFIX}/x`);
  await network.time.runUntil(6200);
  for (const { notified } of without(network, [0])) assert.equal(notified, [2]);
  if (second !== undefined) second.isAlive = false;
  network.store.write(`${PREFIX}/y`);
  await network.time.runUntil(8400);
  for (const { notified } of without(network, STORE_READERS)) assert.equal(notified, [2, 3]);
  // Zone c still has both its readers, so that its other node does not need the store.
  assert.is((network.nodes[8] as VirtualNode).counters.fallbacks, 0);
});

test('polling readers cut off from the store are used no longer than a poll may take', async () => {
  const network = createZonedNetwork(seededRandom(10));
  nameReaders(network, addressesOf(network, ZONE_READERS));
  await network.time.runUntil(6000);
  for (const { nodeId } of addressesOf(network, STORE_READERS)) network.store.cutOff.add(nodeId);
  network.store.write(`${PREFIX}/x`);
  await network.time.runUntil(6000 + BOUND_MS);
  for (const { notified } of without(network, STORE_READERS)) assert.equal(notified, [2]);
});

test('the proven freshness at a follower is never later than what the store confirmed', async () => {
  const network = createZonedNetwork(seededRandom(11), true);
  nameReaders(network, addressesOf(network, ZONE_READERS));
  await network.time.runUntil(6000);
  for (const { nodeId } of addressesOf(network, STORE_READERS)) network.store.cutOff.add(nodeId);
  await network.time.runUntil(6100);
  network.store.write(`${PREFIX}/x`);
  const writtenAt = network.time.now;
  for (let now = writtenAt; now <= writtenAt + BOUND_MS; now += 50) {
    await network.time.runUntil(now);
    for (const { notified, provenCurrentAsOf } of network.nodes) {
      assert.ok(
        notified.includes(2) || provenCurrentAsOf <= writtenAt,
        `${provenCurrentAsOf} at ${now}`,
      );
    }
  }
});

test('a zone that the store refuses follows readers of other zones, and polls the store rarely', async () => {
  const network = createZonedNetwork(seededRandom(13));
  nameReaders(network, addressesOf(network, ZONE_READERS));
  await network.time.runUntil(6000);
  const refused = [0, 3, 6, 7, 8];
  const initialPolls = network.store.pollsOf('n8');
  for (const { nodeId } of addressesOf(network, refused)) network.store.refused.add(nodeId);
  network.store.write(`${PREFIX}/x`);
  await network.time.runUntil(9000);
  for (const { notified } of without(network, STORE_READERS)) assert.equal(notified, [2]);
  const before = network.store.pollsOf('n8');
  assert.ok(before - initialPolls <= 1, `${before - initialPolls} polls`);
  network.store.write(`${PREFIX}/y`);
  await network.time.runUntil(9300);
  for (const { notified } of without(network, STORE_READERS)) assert.equal(notified, [2, 3]);
  await network.time.runUntil(19_000);
  assert.is(network.store.pollsOf('n8') - before, 0);
});

test('changes relayed while a node has no watch are delivered to its next watch', async () => {
  const network = createZonedNetwork(seededRandom(15));
  network.reconnectMs = 1000;
  nameReaders(network, addressesOf(network, ZONE_READERS));
  await network.time.runUntil(6000);
  const [own, other] = addressesOf(network, [6, 7]) as [ReachableNode, ReachableNode];
  // The node's readers are unreachable while the store refuses its polls; then the links recover.
  network.store.refused.add('n8');
  for (const { nodeId } of [own, other]) network.cutLinks.add(`n8-${nodeId}`);
  (network.nodes[8] as VirtualNode).followed.setReaders({ type: 'others', readers: [own, other] });
  await network.time.runUntil(9000);
  network.cutLinks.clear();
  for (let now = 9000; now <= 14_000; now += 100) {
    await network.time.runUntil(now);
    network.store.write(now % 500 === 0 ? `${PREFIX}/${now}` : 'elsewhere');
  }
  await network.time.runUntil(14_500);
  const before = network.store.pollsOf('n8');
  const [first, last] = [network.nodes[0], network.nodes[8]] as [VirtualNode, VirtualNode];
  assert.equal(last.notified, first.notified);
  await network.time.runUntil(20_000);
  assert.is(network.store.pollsOf('n8') - before, 0);
});

test('during a change of readers, the former readers and the data of the new ones remain in use', async () => {
  const network = createZonedNetwork(seededRandom(16));
  nameReaders(network, addressesOf(network, ZONE_READERS));
  await network.time.runUntil(6000);
  const before = network.store.polls;
  const others = [1, 2, 4, 5, 7, 8];
  nameReaders(network, addressesOf(network, others));
  await network.time.runUntil(6500);
  network.store.write(`${PREFIX}/x`);
  await network.time.runUntil(6800);
  for (const { notified } of network.nodes) assert.equal(notified, [2]);
  // Two new readers poll, and once more after the change; the former two stop after their pending polls.
  assert.ok(network.store.polls - before <= 4, `${network.store.polls - before} polls`);
  for (const { counters } of network.nodes) assert.ok(counters.fallbacks <= 1);
});

test('new readers relay at once what they received from the readers that they replace', async () => {
  const network = createNetwork(seededRandom(17));
  nameReaders(network, addressesOf(network, [0, 1]));
  await network.time.runUntil(6000);
  for (const node of network.nodes.slice(0, 2)) node.isAlive = false;
  nameReaders(network, addressesOf(network, [2, 3]));
  // Shorter than a poll of the store, longer than the timeout of an unresponsive reader.
  await network.time.runUntil(8300);
  for (const { counters } of network.nodes.slice(4)) assert.is(counters.fallbacks, 0);
});

test('readers that relay old data to each other do not count it as newer', async () => {
  const network = createZonedNetwork(seededRandom(14));
  nameReaders(network, addressesOf(network, ZONE_READERS));
  await network.time.runUntil(6000);
  for (const { address } of network.nodes) network.store.cutOff.add(address.nodeId);
  // Each of the two is configured to follow the other one.
  const pair = addressesOf(network, [6, 7]);
  for (const node of network.nodes.slice(6, 8)) {
    const others = pair.filter(({ nodeId }) => nodeId !== node.address.nodeId);
    node.followed.setReaders({ type: 'relay', readers: others });
  }
  await network.time.runUntil(6300);
  const newest = (): Milliseconds =>
    Math.max(...network.nodes.slice(6, 8).map(({ followed }) => followed.confirmedAt ?? 0));
  const before = newest();
  assert.ok(before > 0);
  await network.time.runUntil(6000 + MAX_AGE_MS / 2);
  assert.ok(newest() <= before, `${newest()} after ${before}`);
});

/** Faults by name; each starts a fault and returns the function that ends it. */
const FAULTS: Readonly<
  Record<string, (network: ReaderNetwork, random: () => number) => () => void>
> = {
  readerDies: (network, random) => {
    const node = pick(network.nodes, random);
    node.isAlive = false;
    return () => {
      node.isAlive = true;
    };
  },
  linkCut: ({ nodes, cutLinks }, random) => {
    const link = `${pick(nodes, random).address.nodeId}-${pick(nodes, random).address.nodeId}`;
    cutLinks.add(link);
    return () => void cutLinks.delete(link);
  },
  storeIgnores: ({ nodes, store }, random) => {
    const { nodeId } = pick(nodes, random).address;
    store.cutOff.add(nodeId);
    return () => void store.cutOff.delete(nodeId);
  },
  storeRefuses: ({ nodes, store }, random) => {
    const { nodeId } = pick(nodes, random).address;
    store.refused.add(nodeId);
    return () => void store.refused.delete(nodeId);
  },
  historyForgotten: ({ store }) => {
    store.compact();
    return () => {};
  },
  otherReaders: (network, random) => {
    const first = Math.floor(random() * NODES);
    nameReaders(
      network,
      addressesOf(network, [first, (first + 1 + Math.floor(random() * 5)) % NODES]),
    );
    return () => {};
  },
};

function pick<Item>(items: readonly Item[], random: () => number): Item {
  return items[Math.floor(random() * items.length)] as Item;
}

/** Finds the nodes that have had access to the store for the last `BOUND_MS`. */
class HealthyNodes {
  readonly #lastUnhealthyAt = new Map<string, Milliseconds>();

  refresh({ nodes, store, time }: ReaderNetwork): VirtualNode[] {
    return nodes.filter(({ address: { nodeId }, isAlive }) => {
      const isUnhealthy = !isAlive || store.cutOff.has(nodeId) || store.refused.has(nodeId);
      if (isUnhealthy) this.#lastUnhealthyAt.set(nodeId, time.now);
      return time.now - (this.#lastUnhealthyAt.get(nodeId) ?? Number.NEGATIVE_INFINITY) > BOUND_MS;
    });
  }
}

const ZONED_FAULTS: typeof FAULTS = {
  ...FAULTS,
  otherReaders: (network, random) => {
    const left = ZONES.map(() => Math.floor(random() * NODES_PER_ZONE));
    const named = network.nodes.filter(
      (_, number) => left[Math.floor(number / NODES_PER_ZONE)] !== number % NODES_PER_ZONE,
    );
    nameReaders(
      network,
      named.map(({ address }) => address),
    );
    return () => {};
  },
};

test('under any faults each node is notified of every change, once, in order and in time', () =>
  playSeeds((random) => {
    const network = createNetwork(random);
    nameReaders(network, addressesOf(network, [0, 1]));
    return network;
  }, FAULTS));

test('the same in several zones, where readers of zones follow the polling readers', () =>
  playSeeds((random) => {
    const network = createZonedNetwork(random, random() < 0.5);
    nameReaders(network, addressesOf(network, ZONE_READERS));
    return network;
  }, ZONED_FAULTS));

async function playSeeds(
  networkFor: (random: () => number) => ReaderNetwork,
  faults: typeof FAULTS,
): Promise<void> {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
    const random = seededRandom(seed);
    const network = networkFor(random);
    const { store, time } = network;
    const served = new HealthyNodes();
    const writtenAt = new Map<number, Milliseconds>();
    const log: string[] = [];
    for (let now = 100; now <= SIMULATED_MS; now += 100) {
      await time.runUntil(now);
      if (random() < 0.15) {
        store.write(`${PREFIX}/${now}`, random() < 0.1 ? LARGE_VALUE : '');
        writtenAt.set(store.revision, now);
      } else if (random() < 0.1) store.write('elsewhere');
      if (random() < 0.06 && now < SIMULATED_MS - 2 * MAX_FAULT_MS) {
        const [name, inject] = pick(Object.entries(faults), random);
        log.push(`${now} ${name}`);
        time.after(MAX_FAULT_MS * random(), inject(network, random));
      }
      for (const node of served.refresh(network)) {
        const due = [...writtenAt].filter(([, at]) => at < now - BOUND_MS).map(([key]) => key);
        const missing = due.filter((revision) => !node.notified.includes(revision));
        const context = `seed ${seed}, ${node.address.nodeId} at ${now}: ${log.join(', ')}`;
        assert.equal(missing, [], context);
      }
    }
    for (const { notified, address } of network.nodes) {
      const inOrder = [...new Set(notified)].sort((left, right) => left - right);
      assert.equal(notified, inOrder, `seed ${seed}, ${address.nodeId}: ${log.join(', ')}`);
    }
  }
}

test.run();
