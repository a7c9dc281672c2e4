/**
 * Nodes that follow the store through readers, in virtual time and under faults drawn by seed: each is told
 * every change once and in order, and knows it within the bound of a poll, whatever befalls readers.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ReachableNode } from '../../src/core/ownership/owner-roster.js';
import { readersOf } from '../../src/core/ownership/watch-readers.js';
import type { Milliseconds } from '../../src/core/units.js';
import { seededRandom } from '../support/random.js';
import { MAX_AGE_MS, PREFIX, ReaderNetwork, type VirtualNode } from '../support/reader-network.js';

const RUNS = 40;
const FIRST_SEED = 20261203;
const NODES = 7;
const DAY_MS: Milliseconds = 40_000;
/** What readers may keep from a node, a look at them, and a poll of its own that finds what it missed. */
const BOUND_MS: Milliseconds = MAX_AGE_MS + 700;
/** So long a fault strikes. */
const LONGEST_FAULT_MS: Milliseconds = 5000;
/** More than readers pass on. */
const LARGE_VALUE = 'x'.repeat(20_000);

function nameReaders(network: ReaderNetwork, readers: readonly ReachableNode[]): void {
  for (const { followed, place } of network.nodes) followed.setReaders(readersOf(place, readers));
}

function networkOf(random: () => number, isProof = false, linkMbps = 0): ReaderNetwork {
  const network = new ReaderNetwork(random, isProof, linkMbps);
  for (let number = 0; number < NODES; number += 1) network.add('a').follow();
  return network;
}

function places(network: ReaderNetwork, numbers: readonly number[]): ReachableNode[] {
  return numbers.map((number) => (network.nodes[number] as VirtualNode).place);
}

test('in calm times only readers ask the store, and all are told', async () => {
  const network = networkOf(seededRandom(1));
  nameReaders(network, places(network, [0, 1]));
  await network.time.runUntil(6000);
  const before = network.store.polls;
  network.store.write(`${PREFIX}/x`);
  await network.time.runUntil(6100);
  for (const { told } of network.nodes) assert.equal(told, [2]);
  await network.time.runUntil(16_100);
  // Each reader has its poll answered every 2.5 s, and once more by the change.
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
  for (const { told } of others) assert.equal(told, [2]);
  second.isAlive = false;
  network.store.write(`${PREFIX}/y`);
  await network.time.runUntil(8200);
  for (const { told, counters } of others) {
    assert.equal(told, [2, 3]);
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
  for (const { told } of network.nodes.slice(2)) assert.equal(told, [2]);
});

test('a value too large to pass on is read from the store by each node', async () => {
  const network = networkOf(seededRandom(4));
  nameReaders(network, places(network, [0, 1]));
  await network.time.runUntil(6000);
  const before = network.store.polls;
  network.store.write(`${PREFIX}/x`, LARGE_VALUE);
  await network.time.runUntil(6200);
  for (const { told } of network.nodes) assert.equal(told, [2]);
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
    // Two readers and 20 s of polls of 2.5 s; each of the seven nodes made as many before.
    assert.ok(network.store.polls - before <= 18, `${network.store.polls - before} polls`);
    for (const { told } of network.nodes) assert.equal(told, [2]);
  }
});

test('a reader with a fast link passes large values on', async () => {
  const network = networkOf(seededRandom(7), true, 140);
  nameReaders(network, places(network, [0, 1]));
  await network.time.runUntil(6000);
  const before = network.store.polls;
  network.store.write(`${PREFIX}/x`, LARGE_VALUE);
  await network.time.runUntil(6200);
  for (const { told } of network.nodes) assert.equal(told, [2]);
  assert.ok(network.store.polls - before <= 4, `${network.store.polls - before} polls`);
});

/** What strikes, by name; each gives what ends it. */
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
    const link = `${pick(nodes, random).place.nodeId}-${pick(nodes, random).place.nodeId}`;
    cutLinks.add(link);
    return () => void cutLinks.delete(link);
  },
  storeIgnores: ({ nodes, store }, random) => {
    const { nodeId } = pick(nodes, random).place;
    store.cutOff.add(nodeId);
    return () => void store.cutOff.delete(nodeId);
  },
  storeRefuses: ({ nodes, store }, random) => {
    const { nodeId } = pick(nodes, random).place;
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

/** Nodes that the store serves, and did for the bound before. */
class Served {
  readonly #badAt = new Map<string, Milliseconds>();

  look({ nodes, store, time }: ReaderNetwork): VirtualNode[] {
    return nodes.filter(({ place: { nodeId }, isAlive }) => {
      const isBad = !isAlive || store.cutOff.has(nodeId) || store.refused.has(nodeId);
      if (isBad) this.#badAt.set(nodeId, time.now);
      return time.now - (this.#badAt.get(nodeId) ?? Number.NEGATIVE_INFINITY) > BOUND_MS;
    });
  }
}

test('under any faults each node is told every change, once, in order and in time', async () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
    const random = seededRandom(seed);
    const network = networkOf(random);
    const { store, time } = network;
    nameReaders(network, places(network, [0, 1]));
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
        const [name, strike] = pick(Object.entries(FAULTS), random);
        log.push(`${now} ${name}`);
        time.after(LONGEST_FAULT_MS * random(), strike(network, random));
      }
      for (const node of served.look(network)) {
        const due = [...writtenAt].filter(([, at]) => at < now - BOUND_MS).map(([key]) => key);
        const missing = due.filter((revision) => !node.told.includes(revision));
        const context = `seed ${seed}, ${node.place.nodeId} at ${now}: ${log.join(', ')}`;
        assert.equal(missing, [], context);
      }
    }
    for (const { told, place } of network.nodes) {
      const inOrder = [...new Set(told)].sort((left, right) => left - right);
      assert.equal(told, inOrder, `seed ${seed}, ${place.nodeId}: ${log.join(', ')}`);
    }
  }
});

test.run();
