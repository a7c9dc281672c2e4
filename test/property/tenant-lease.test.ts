/** The leased shares of a tenant's connection limit stay within the limit in sum under any schedule of faults. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { loadHash64 } from '../../src/core/ownership/hash.js';
import { LEASE_TEST_OPTIONS, LeaseNetwork, type LeaseNode } from '../support/lease-network.js';

const SEED = 20261202;
const LIMIT = 40;
const NODES = 5;
const hash = await loadHash64();

const FAULTS = [
  'pause',
  'resume',
  'resume',
  'restart',
  'candidate',
  'guess',
  'guess',
  'cut-off',
  'join-again',
  'lossy',
  'reliable',
  'slow',
  'fast',
  'demand',
  'demand',
  'list',
] as const;

interface FaultStep {
  readonly fault: (typeof FAULTS)[number];
  readonly node: number;
  readonly value: number;
  readonly afterMs: number;
}

const stepArbitrary: fc.Arbitrary<FaultStep> = fc.record({
  fault: fc.constantFrom(...FAULTS),
  node: fc.nat(NODES - 1),
  value: fc.nat(NODES - 1),
  afterMs: fc.integer({ min: 20, max: 1500 }),
});

function inject(network: LeaseNetwork, { fault, node: index, value }: FaultStep): void {
  const node = nodeAt(network, index);
  if (fault === 'pause') node.paused = true;
  else if (fault === 'resume') network.resume(node);
  else if (fault === 'restart') network.restart(node);
  else if (fault === 'candidate') node.isCandidate = !node.isCandidate;
  else if (fault === 'guess') node.allocatorGuess = value;
  else if (fault === 'cut-off') network.setCutOff([index, value]);
  else if (fault === 'join-again') network.setCutOff([]);
  else if (fault === 'lossy') network.lossFraction = value / 10;
  else if (fault === 'reliable') network.lossFraction = 0;
  else if (fault === 'slow') network.maxLatencyMs = 900;
  else if (fault === 'fast') network.maxLatencyMs = 20;
  else if (fault === 'demand') node.demand = value * 10;
  else toggleListed(network, index);
}

function toggleListed(network: LeaseNetwork, index: number): void {
  const others = network.list.filter((listed) => listed !== index);
  if (others.length === network.list.length) network.changeList([...others, index]);
  else if (others.length > 0) network.changeList(others);
}

function nodeAt(network: LeaseNetwork, index: number): LeaseNode {
  const node = network.nodes[index];
  if (node === undefined) throw new RangeError(`no node ${index}`);
  return node;
}

/** Starts a network without faults: the first node allocates for all nodes, and each node has callers. */
function startWithoutFaults(demand: number): LeaseNetwork {
  const network = new LeaseNetwork(SEED, NODES, LIMIT, hash);
  nodeAt(network, 0).isCandidate = true;
  for (const node of network.nodes) node.demand = demand;
  return network;
}

test('the sum of shares stays within the limit under any schedule of faults', () => {
  let mostHeld = 0;
  let elections = 0;
  fc.assert(
    fc.property(
      fc.integer(),
      fc.array(stepArbitrary, { minLength: 15, maxLength: 40, size: 'max' }),
      (seed, steps) => {
        const network = new LeaseNetwork(seed, NODES, LIMIT, hash);
        for (const node of network.nodes) node.isCandidate = node.index % 2 === 0;
        for (const node of network.nodes) node.demand = LIMIT;
        const check = (): void => {
          const sum = network.sumHeld();
          mostHeld = Math.max(mostHeld, sum);
          assert.ok(sum <= LIMIT, `held ${sum}`);
          assert.ok(network.sumOpen() <= LIMIT, `open ${network.sumOpen()}`);
        };
        network.run(2000, check);
        for (const step of steps) {
          inject(network, step);
          network.run(step.afterMs, check);
        }
        const allocators = network.nodes.filter((node) =>
          node.allocator?.hasAuthority(node.clock(network.now)),
        );
        elections += allocators.length;
      },
    ),
    { seed: SEED, numRuns: 150, endOnFailure: true, includeErrorInReport: true },
  );
  assert.is(mostHeld, LIMIT, 'the limit was reached');
  assert.ok(elections > 0);
});

test('one node can use the whole limit', () => {
  const network = startWithoutFaults(0);
  nodeAt(network, 3).demand = LIMIT;
  network.run(3000);
  assert.is(nodeAt(network, 3).open, LIMIT);
});

test('a node that joins takes no connection that is in use', () => {
  const network = startWithoutFaults(0);
  nodeAt(network, 3).demand = LIMIT;
  network.run(3000);
  nodeAt(network, 4).demand = 10;
  network.run(10_000);
  assert.is(nodeAt(network, 3).open, LIMIT);
  assert.is(network.interruptedCallers, 0);
  nodeAt(network, 3).demand = LIMIT - 10;
  network.run(3000);
  assert.is(nodeAt(network, 4).open, 10);
});

test('idle connections of one node are granted to another', () => {
  const network = startWithoutFaults(0);
  nodeAt(network, 1).demand = LIMIT;
  network.run(3000);
  nodeAt(network, 1).demand = 0;
  nodeAt(network, 2).demand = LIMIT;
  network.run(6000);
  assert.is(nodeAt(network, 2).open, LIMIT);
});

test('callers keep their connections when the allocator changes', () => {
  const network = startWithoutFaults(LIMIT / NODES);
  network.run(4000);
  assert.is(network.sumOpen(), LIMIT);
  nodeAt(network, 0).isCandidate = false;
  nodeAt(network, 2).isCandidate = true;
  for (const node of network.nodes) node.allocatorGuess = 2;
  network.run(10_000, () => assert.is(network.sumOpen(), LIMIT));
  assert.is(network.interruptedCallers, 0);
});

test('without an allocator shares are kept until their lease expires', () => {
  const network = startWithoutFaults(LIMIT / NODES);
  network.run(4000);
  nodeAt(network, 0).isCandidate = false;
  network.run(LEASE_TEST_OPTIONS.leaseMs / 2);
  assert.is(network.sumOpen(), LIMIT);
  network.run(LEASE_TEST_OPTIONS.leaseMs);
  assert.is(network.sumOpen(), 0);
});

test('a lowered limit disconnects callers evenly on all nodes', () => {
  const network = startWithoutFaults(LIMIT / NODES);
  network.run(4000);
  network.limit = LIMIT / 2;
  network.run(3000);
  const open = network.nodes.map((node) => node.open);
  assert.is(network.sumOpen(), LIMIT / 2, open.join());
  assert.ok(Math.min(...open) >= LIMIT / (2 * NODES) - 1, open.join());
});

test('the share of a paused node expires, and the others get it', () => {
  const network = startWithoutFaults(LIMIT / NODES);
  network.run(4000);
  const paused = nodeAt(network, 4);
  paused.paused = true;
  nodeAt(network, 1).demand = LIMIT;
  network.run(10_000);
  assert.ok(network.sumOpen() > LIMIT - NODES);
  network.resume(paused);
  assert.is(paused.open, 0);
});

test.run();
