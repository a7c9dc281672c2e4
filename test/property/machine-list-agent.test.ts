/** The machine list on many nodes: two readers per zone, pushed changes, comparison of digests, loss of all readers. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  isCurrent,
  type ListNode,
  listedEntriesOf,
  MachineListNetwork,
  type MachineState,
} from '../support/machine-list-network.js';

const SEED = 20_261_202;
const ZONES = ['a', 'b', 'c'];
const NODES = 15;
const START_MS = 20_000;
/** Time for a push or, if it is lost, for one or two comparisons of digests. */
const PROPAGATION_MS = 15_000;
/** Time until nodes without heartbeats of a reader poll for themselves: 1.5 times the age limit and a poll. */
const SELF_POLLING_MS = 60_000;
/** Time until membership reports a crash and the next candidate becomes a reader. */
const SUCCESSION_MS = 10_000;
const LARGE_ZONE = 255;
/** Minimum age of a reader's last heartbeat at which a node polls for itself. */
const SELF_POLLING_AGE_MS = 30_000;
const NEVER_MS = 1_000_000;
const READERS = 2 * ZONES.length;

function startNetwork(seed: number): MachineListNetwork {
  const network = new MachineListNetwork(seed);
  for (let index = 0; index < NODES; index += 1) {
    network.start(`n${index}`, ZONES[index % ZONES.length] ?? 'a');
  }
  network.publish('m0', 'live');
  network.publish('m1', 'live');
  network.run(START_MS);
  return network;
}

function readersOf(network: MachineListNetwork): ListNode[] {
  return network.live.filter(({ isReader }) => isReader);
}

function assertCurrent(network: MachineListNetwork, nodes = network.live): void {
  for (const node of nodes) {
    assert.ok(isCurrent(node, network), `${node.member.nodeId} lacks version ${network.version}`);
  }
}

/** Asserts that each applied list was one of the service's, and that versions never decreased. */
function assertNothingLost(network: MachineListNetwork): void {
  for (const { applied, member } of network.nodes) {
    for (const [index, { stamp, entries }] of applied.entries()) {
      assert.equal(entries, network.history.get(stamp.version), `${member.nodeId}, a mixed list`);
      const before = applied[index - 1]?.stamp.version ?? 0;
      assert.ok(stamp.version >= before, `${member.nodeId} reverted to ${stamp.version}`);
    }
  }
}

test('two nodes of each zone poll, all have the list, and no others poll', () => {
  const network = startNetwork(SEED);
  assert.is(readersOf(network).length, READERS);
  assertCurrent(network);
  const polls = network.nodes.map((node) => (node.isReader ? 0 : node.polls));
  network.publish('m1', 'leaving');
  network.run(PROPAGATION_MS);
  assertCurrent(network);
  network.run(10 * SELF_POLLING_MS);
  assert.equal(
    network.nodes.map((node) => (node.isReader ? 0 : node.polls)),
    polls,
    'nodes that are no readers have polled',
  );
});

test('killed or paused readers are replaced by the next candidates', () => {
  for (const fault of ['killed', 'paused'] as const) {
    const network = startNetwork(SEED);
    for (const reader of readersOf(network)) {
      if (fault === 'killed') network.kill(reader);
      else network.pause(reader, 10 * SELF_POLLING_MS);
    }
    network.publish('m0', 'leaving');
    network.run(SUCCESSION_MS + PROPAGATION_MS);
    assertCurrent(
      network,
      network.live.filter(({ pausedUntil }) => pausedUntil <= network.now),
    );
    network.run(10 * SELF_POLLING_MS);
    assertCurrent(network);
    assertNothingLost(network);
  }
});

test('while all readers are cut off from the service, the other nodes poll for themselves', () => {
  const network = startNetwork(SEED);
  const readers = readersOf(network);
  for (const reader of readers) reader.isCutFromService = true;
  network.run(SELF_POLLING_MS);
  assert.is(readersOf(network).length, NODES, 'no node receives heartbeats of a reader');
  network.publish('m0', 'leaving');
  network.run(PROPAGATION_MS);
  assertCurrent(network);
  for (const reader of readers) reader.isCutFromService = false;
  network.run(SELF_POLLING_MS);
  assert.is(readersOf(network).length, READERS);
  assertNothingLost(network);
});

test('a zone whose readers are cut off gets changes from other zones', () => {
  const network = startNetwork(SEED);
  for (const node of network.live) node.isCutFromService = node.member.zone === 'a';
  network.publish('m0', 'leaving');
  network.run(SELF_POLLING_MS);
  assertCurrent(network);
});

test('the list of a service that restarted with an earlier version is applied, a single late response is not', () => {
  const network = startNetwork(SEED);
  for (let index = 0; index < 5; index += 1) network.publish('m0', index % 2 ? 'live' : 'leaving');
  network.run(PROPAGATION_MS);
  network.resetVersion(3, new Map<string, MachineState>([['m2', 'leaving']]));
  network.run(2 * PROPAGATION_MS);
  assertCurrent(network);
  assert.ok(network.live.every(({ agent }) => agent.replica.stamp.epoch === 1));
  network.publish('m3', 'live');
  network.run(PROPAGATION_MS);
  assertCurrent(network);
});

test('in a zone of 255 nodes, heartbeats reach all before any node polls for itself', () => {
  const network = new MachineListNetwork(SEED);
  network.startZone('a', LARGE_ZONE);
  network.run(START_MS);
  const oldest = () =>
    Math.max(
      ...network.live.map(({ agent }) => agent.status(network.now).heartbeatAgeMs ?? NEVER_MS),
    );
  for (let round = 0; round < 30; round += 1) {
    network.run(2000);
    assert.ok(oldest() < SELF_POLLING_AGE_MS, `a heartbeat of ${oldest()} ms`);
  }
  assert.is(readersOf(network).length, 2);
});

type Step =
  | { readonly type: 'publish'; readonly name: string; readonly state: MachineState | 'absent' }
  | { readonly type: 'kill' | 'restart' | 'cut-service' | 'heal-service'; readonly index: number }
  | { readonly type: 'pause'; readonly index: number; readonly ms: number }
  | { readonly type: 'loss'; readonly share: number }
  | { readonly type: 'service'; readonly down: boolean }
  | { readonly type: 'pass'; readonly ms: number };

const indexArbitrary = fc.nat({ max: NODES - 1 });
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('publish' as const),
      name: fc.constantFrom('m0', 'm1', 'm2', 'm3'),
      state: fc.constantFrom<MachineState | 'absent'>('live', 'leaving', 'absent'),
    }),
  },
  fc.record({
    type: fc.constantFrom('kill' as const, 'restart', 'cut-service', 'heal-service'),
    index: indexArbitrary,
  }),
  fc.record({
    type: fc.constant('pause' as const),
    index: indexArbitrary,
    ms: fc.integer({ min: 1, max: 60_000 }),
  }),
  fc.record({ type: fc.constant('loss' as const), share: fc.constantFrom(0, 0.2, 0.9) }),
  fc.record({ type: fc.constant('service' as const), down: fc.boolean() }),
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('pass' as const),
      ms: fc.integer({ min: 1, max: 40_000 }),
    }),
  },
);

function executeStep(network: MachineListNetwork, step: Step): void {
  const node = 'index' in step ? network.live[step.index % network.live.length] : undefined;
  if (step.type === 'publish') network.publish(step.name, step.state);
  else if (step.type === 'loss') network.lossFraction = step.share;
  else if (step.type === 'service') network.isServiceDown = step.down;
  else if (step.type === 'pass') network.run(step.ms);
  else if (node === undefined) return;
  else if (step.type === 'pause') network.pause(node, step.ms);
  else if (step.type === 'cut-service') node.isCutFromService = true;
  else if (step.type === 'heal-service') node.isCutFromService = false;
  else if (step.type === 'restart' || network.live.length > ZONES.length) {
    network.kill(node);
    if (step.type === 'restart') network.start(node.member.nodeId, node.member.zone);
  }
}

test('under any faults no node applies a wrong list, and all converge', () => {
  fc.assert(
    fc.property(fc.nat(), fc.array(stepArbitrary, { maxLength: 30 }), (seed, steps) => {
      const network = startNetwork(seed);
      for (const step of steps) executeStep(network, step);
      network.lossFraction = 0;
      network.isServiceDown = false;
      for (const node of network.nodes) node.isCutFromService = false;
      network.run(2 * SELF_POLLING_MS);
      network.publish('m0', 'leaving');
      network.run(PROPAGATION_MS);
      assertCurrent(network);
      for (const node of network.live) assert.is(listedEntriesOf(node).get('m0'), 'leaving');
      assertNothingLost(network);
    }),
    { seed: SEED, numRuns: 60 },
  );
});

test.run();
