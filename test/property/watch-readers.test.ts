/**
 * Nodes that watch the store through readers, in virtual time and with random faults drawn from a seed: each
 * node is notified of every change once, in order and within the time of a poll, whatever happens to readers.
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
const DAY_MS: Milliseconds = 40_000;
/** Maximum age of what readers relay, a check of the readers, and a poll by the node that finds what it missed. */
const BOUND_MS: Milliseconds = MAX_AGE_MS + 700;
/** Maximum duration of a fault. */
const LONGEST_FAULT_MS: Milliseconds = 5000;
/** Larger than what readers relay. */
const LARGE_VALUE = 'x'.repeat(20_000);

function nameReaders(network: ReaderNetwork, readers: readonly ReachableNode[]): void {
  for (const { followed, address } of network.nodes) {
    followed.setReaders(readersOf(address, readers), fallbackReadersOf(address, readers));
  }
}

function networkOf(random: () => number, isProof = false, linkMbps = 0): ReaderNetwork {
  const network = new ReaderNetwork(random, isProof, linkMbps);
  for (let number = 0; number < NODES; number += 1) network.add('a').follow();
  return network;
}

function places(network: ReaderNetwork, numbers: readonly number[]): ReachableNode[] {
  return numbers.map((number) => (network.nodes[number] as VirtualNode).address);
}

test('in calm times only readers ask the store, and all are told', async () => {
  const network = networkOf(seededRandom(1));
  nameReaders(network, places(network, [0, 1]));
  await network.time.runUntil(6000);
  const before = network.store.polls;
  network.store.write(`${PREFIX}/x`);
  await network.time.runUntil(6100);
  for (const { notified } of network.nodes) assert.equal(notified, [2]);
  await network.time.runUntil(16_100);
  // Each reader's poll ends every 2.5 s, and once more because of the change.
  assert.ok(network.store.polls - before <= 12, `${network.store.polls - before} polls`);
});

test('changes of other prefixes send nobody to the store', async () => {
  const network = networkOf(seededRandom(5));
  nameReaders(network, places(network, [0, 1]));
  await network.time.runUntil(6000);
  for (let now = 6000; now <= 20_000; now += 250) {
    await network.time.runUntil(now);
    network.store.write('elsewhere');
  }
  const followers = network.nodes.slice(2);
  for (const { counters } of followers) assert.is(counters.fallbacks, 0);
});

test('a reader that is lost delays nothing, and without any the store is asked', async () => {
  const network = networkOf(seededRandom(2));
  nameReaders(network, places(network, [0, 1]));
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

test('a reader that the store ignores is not relied on for longer than a poll may take', async () => {
  const network = networkOf(seededRandom(3));
  nameReaders(network, places(network, [0, 1]));
  await network.time.runUntil(6000);
  for (const { nodeId } of places(network, [0, 1])) network.store.cutOff.add(nodeId);
  network.store.write(`${PREFIX}/x`);
  await network.time.runUntil(6000 + BOUND_MS);
  for (const { notified } of network.nodes.slice(2)) assert.equal(notified, [2]);
});

test('a value too large to pass on is read from the store by each node', async () => {
  const network = networkOf(seededRandom(4));
  nameReaders(network, places(network, [0, 1]));
  await network.time.runUntil(6000);
  const before = network.store.polls;
  network.store.write(`${PREFIX}/x`, LARGE_VALUE);
  await network.time.runUntil(6200);
  for (const { notified } of network.nodes) assert.equal(notified, [2]);
  assert.ok(network.store.polls - before <= NODES + 2);
});

test('after a value too large to pass on readers serve again, while the store goes on changing', async () => {
  for (const isProof of [false, true]) {
    const network = networkOf(seededRandom(6), isProof);
    nameReaders(network, places(network, [0, 1]));
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

test('a reader with a fast link passes large values on', async () => {
  const network = networkOf(seededRandom(7), true, 140);
  nameReaders(network, places(network, [0, 1]));
  await network.time.runUntil(6000);
  const before = network.store.polls;
  network.store.write(`${PREFIX}/x`, LARGE_VALUE);
  await network.time.runUntil(6200);
  for (const { notified } of network.nodes) assert.equal(notified, [2]);
  assert.ok(network.store.polls - before <= 4, `${network.store.polls - before} polls`);
});

test('nodes that begin leave their first poll to readers that are named soon, and wait no longer', async () => {
  for (const isNamed of [true, false]) {
    const network = new ReaderNetwork(seededRandom(12));
    network.mayLearnReaders = true;
    for (let number = 0; number < NODES; number += 1) network.add('a').follow();
    network.store.write(`${PREFIX}/x`);
    await network.time.runUntil(250);
    assert.is(network.store.polls, 0);
    if (isNamed) nameReaders(network, places(network, [0, 1]));
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

function zonedNetwork(random: () => number, isProof = false): ReaderNetwork {
  const network = new ReaderNetwork(random, isProof);
  for (const zone of ZONES) {
    for (let number = 0; number < NODES_PER_ZONE; number += 1) network.add(zone).follow();
  }
  return network;
}

/** The nodes of the network except those with these numbers. */
function without(network: ReaderNetwork, numbers: readonly number[]): VirtualNode[] {
  return network.nodes.filter((_, number) => !numbers.includes(number));
}

test('of the readers of several zones two ask the store, and all nodes are told', async () => {
  for (const isProof of [false, true]) {
    const network = zonedNetwork(seededRandom(8), isProof);
    nameReaders(network, places(network, ZONE_READERS));
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

test('a reader of the store that is lost delays no zone, and without both the others ask it', async () => {
  const network = zonedNetwork(seededRandom(9));
  nameReaders(network, places(network, ZONE_READERS));
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

test('readers of the store that it ignores are not relied on for longer than a poll may take', async () => {
  const network = zonedNetwork(seededRandom(10));
  nameReaders(network, places(network, ZONE_READERS));
  await network.time.runUntil(6000);
  for (const { nodeId } of places(network, STORE_READERS)) network.store.cutOff.add(nodeId);
  network.store.write(`${PREFIX}/x`);
  await network.time.runUntil(6000 + BOUND_MS);
  for (const { notified } of without(network, STORE_READERS)) assert.equal(notified, [2]);
});

test('what a follower of a relay is proven is no younger than what the store told', async () => {
  const network = zonedNetwork(seededRandom(11), true);
  nameReaders(network, places(network, ZONE_READERS));
  await network.time.runUntil(6000);
  for (const { nodeId } of places(network, STORE_READERS)) network.store.cutOff.add(nodeId);
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

test('a zone that the store turns away hears readers of other zones, and asks the store seldom', async () => {
  const network = zonedNetwork(seededRandom(13));
  nameReaders(network, places(network, ZONE_READERS));
  await network.time.runUntil(6000);
  const turnedAway = [0, 3, 6, 7, 8];
  const atFirst = network.store.pollsOf('n8');
  for (const { nodeId } of places(network, turnedAway)) network.store.refused.add(nodeId);
  network.store.write(`${PREFIX}/x`);
  await network.time.runUntil(9000);
  for (const { notified } of without(network, STORE_READERS)) assert.equal(notified, [2]);
  const before = network.store.pollsOf('n8');
  assert.ok(before - atFirst <= 1, `${before - atFirst} polls`);
  network.store.write(`${PREFIX}/y`);
  await network.time.runUntil(9300);
  for (const { notified } of without(network, STORE_READERS)) assert.equal(notified, [2, 3]);
  await network.time.runUntil(19_000);
  assert.is(network.store.pollsOf('n8') - before, 0);
});

test('what readers tell a node while it watches nothing is told once it watches again', async () => {
  const network = zonedNetwork(seededRandom(15));
  network.reconnectMs = 1000;
  nameReaders(network, places(network, ZONE_READERS));
  await network.time.runUntil(6000);
  const [own, other] = places(network, [6, 7]) as [ReachableNode, ReachableNode];
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

test('while other readers begin, those from before and what the new ones heard serve on', async () => {
  const network = zonedNetwork(seededRandom(16));
  nameReaders(network, places(network, ZONE_READERS));
  await network.time.runUntil(6000);
  const before = network.store.polls;
  const others = [1, 2, 4, 5, 7, 8];
  nameReaders(network, places(network, others));
  await network.time.runUntil(6500);
  network.store.write(`${PREFIX}/x`);
  await network.time.runUntil(6800);
  for (const { notified } of network.nodes) assert.equal(notified, [2]);
  // Two new readers poll, and once more after the change; the former two stop after their pending polls.
  assert.ok(network.store.polls - before <= 4, `${network.store.polls - before} polls`);
  for (const { counters } of network.nodes) assert.ok(counters.fallbacks <= 1);
});

test('nodes that are named in place of readers that died tell at once what these had told them', async () => {
  const network = networkOf(seededRandom(17));
  nameReaders(network, places(network, [0, 1]));
  await network.time.runUntil(6000);
  for (const node of network.nodes.slice(0, 2)) node.isAlive = false;
  nameReaders(network, places(network, [2, 3]));
  // Shorter than a poll of the store, longer than the timeout of an unresponsive reader.
  await network.time.runUntil(8300);
  for (const { counters } of network.nodes.slice(4)) assert.is(counters.fallbacks, 0);
});

test('readers that tell each other what is old grow no younger by that', async () => {
  const network = zonedNetwork(seededRandom(14));
  nameReaders(network, places(network, ZONE_READERS));
  await network.time.runUntil(6000);
  for (const { address } of network.nodes) network.store.cutOff.add(address.nodeId);
  // Each of the two is told that the other one reads the store.
  const pair = places(network, [6, 7]);
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
    nameReaders(network, places(network, [first, (first + 1 + Math.floor(random() * 5)) % NODES]));
    return () => {};
  },
};

function pick<Item>(items: readonly Item[], random: () => number): Item {
  return items[Math.floor(random() * items.length)] as Item;
}

/** Finds the nodes that the store serves and has served for the last `BOUND_MS`. */
class Served {
  readonly #badAt = new Map<string, Milliseconds>();

  look({ nodes, store, time }: ReaderNetwork): VirtualNode[] {
    return nodes.filter(({ address: { nodeId }, isAlive }) => {
      const isBad = !isAlive || store.cutOff.has(nodeId) || store.refused.has(nodeId);
      if (isBad) this.#badAt.set(nodeId, time.now);
      return time.now - (this.#badAt.get(nodeId) ?? Number.NEGATIVE_INFINITY) > BOUND_MS;
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

test('under any faults each node is told every change, once, in order and in time', () =>
  playDays((random) => {
    const network = networkOf(random);
    nameReaders(network, places(network, [0, 1]));
    return network;
  }, FAULTS));

test('the same in several zones, where readers of zones follow those of the store', () =>
  playDays((random) => {
    const network = zonedNetwork(random, random() < 0.5);
    nameReaders(network, places(network, ZONE_READERS));
    return network;
  }, ZONED_FAULTS));

async function playDays(
  networkFor: (random: () => number) => ReaderNetwork,
  faults: typeof FAULTS,
): Promise<void> {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
    const random = seededRandom(seed);
    const network = networkFor(random);
    const { store, time } = network;
    const served = new Served();
    const writtenAt = new Map<number, Milliseconds>();
    const log: string[] = [];
    for (let now = 100; now <= DAY_MS; now += 100) {
      await time.runUntil(now);
      if (random() < 0.15) {
        store.write(`${PREFIX}/${now}`, random() < 0.1 ? LARGE_VALUE : '');
        writtenAt.set(store.revision, now);
      } else if (random() < 0.1) store.write('elsewhere');
      if (random() < 0.06 && now < DAY_MS - 2 * LONGEST_FAULT_MS) {
        const [name, strike] = pick(Object.entries(faults), random);
        log.push(`${now} ${name}`);
        time.after(LONGEST_FAULT_MS * random(), strike(network, random));
      }
      for (const node of served.look(network)) {
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
