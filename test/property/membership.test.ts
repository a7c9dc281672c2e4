/** Membership over a simulated network: convergence, failure detection, refutation, graceful shutdown. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  hashState,
  type Liveness,
  type MemberUpdate,
  mergeUpdates,
} from '../../src/core/membership/member.js';
import { MembershipNetwork } from '../support/membership-network.js';

const SEED = 20261202;
const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;

function startFleet(seed: number, nodes: number, zones = 3): MembershipNetwork {
  const network = new MembershipNetwork(seed);
  network.startFleet(nodes, zones);
  assert.ok(
    network.run(MINUTE_MS, () => network.isConverged()),
    'the fleet converges',
  );
  return network;
}

/** Time within which all nodes must detect a crash: two probe rounds, suspicion, dissemination. */
function maxDetectionMs(network: MembershipNetwork): number {
  const members = network.nodes.size;
  const { probePeriodMs, suspicionMultiplier, crossZoneFraction } = network.options;
  const roundPeriods = (2 * members) / Math.min(crossZoneFraction, 1 - crossZoneFraction);
  const suspicionPeriods = suspicionMultiplier * Math.max(1, Math.log10(members));
  return (roundPeriods + suspicionPeriods + 10) * probePeriodMs;
}

const updateArbitrary: fc.Arbitrary<MemberUpdate> = fc.record(
  {
    nodeId: fc.constant('n'),
    incarnation: fc.integer({ min: 1, max: 2 }),
    version: fc.integer({ min: 0, max: 2 }),
    liveness: fc.constantFrom<Liveness>('alive', 'suspect', 'dead'),
    leaving: fc.boolean(),
    zone: fc.constant('z'),
    host: fc.constant('h'),
    peerPort: fc.constant(1),
    configurationRevision: fc.integer({ min: 0, max: 2 }),
  },
  { noNullPrototype: true },
);

test('merging updates is commutative, associative and idempotent', () => {
  fc.assert(
    fc.property(updateArbitrary, updateArbitrary, updateArbitrary, (a, b, c) => {
      assert.equal(mergeUpdates(a, b), mergeUpdates(b, a));
      assert.equal(mergeUpdates(mergeUpdates(a, b), c), mergeUpdates(a, mergeUpdates(b, c)));
      assert.is(mergeUpdates(a, a), a);
      assert.is(hashState(mergeUpdates(a, b)), hashState(mergeUpdates(b, a)));
    }),
    { seed: SEED, numRuns: 1000 },
  );
});

test('leaving overrides alive within one incarnation, whatever the version', () => {
  fc.assert(
    fc.property(updateArbitrary, updateArbitrary, (received, known) => {
      const merged = mergeUpdates({ ...known, leaving: true }, received);
      assert.ok(merged.leaving || merged.incarnation > known.incarnation);
    }),
    { seed: SEED },
  );
});

test('a fleet that starts at once converges, also with a fifth of the datagrams lost', () => {
  const network = new MembershipNetwork(SEED);
  network.lossFraction = 0.2;
  network.startFleet(24, 4);
  network.run(MINUTE_MS);
  network.lossFraction = 0;
  assert.ok(network.run(MINUTE_MS, () => network.isConverged()));
});

test('a new node gets the whole member table from one seed, even without datagrams', () => {
  const network = startFleet(SEED, 20);
  const listed = { nodeId: 'n20', zone: 'z0', host: '10.0.0.1', peerPort: 99, leaving: false };
  const [seed] = network.list;
  network.lossFraction = 1;
  network.list = seed === undefined ? [listed] : [seed, listed];
  const newcomer = network.start(listed);
  assert.ok(network.run(2 * SECOND_MS, () => newcomer.machine.isJoined));
  assert.is(newcomer.machine.members().length, 20);
});

test('all nodes of all zones detect a crash within the bound', () => {
  for (let seed = 0; seed < 5; seed += 1) {
    const network = startFleet(SEED + seed, 12, 4);
    const victim = network.node(`n${seed}`);
    victim.crashed = true;
    const isFound = (): boolean => {
      const statuses = network.statusesOf(victim.nodeId);
      return statuses.size === 1 && statuses.has('dead');
    };
    assert.ok(network.run(maxDetectionMs(network), isFound), `seed ${seed}`);
    const [witness] = network.running();
    assert.ok(witness?.changes.includes(`failed ${victim.nodeId}`));
  }
});

test('packet loss alone leaves no node marked dead', () => {
  const network = startFleet(SEED, 10);
  network.lossFraction = 0.35;
  network.run(3 * MINUTE_MS);
  network.lossFraction = 0;
  assert.ok(network.run(2 * MINUTE_MS, () => network.isConverged()));
});

test('both sides of a partition merge again without the machine list', () => {
  const network = startFleet(SEED, 12);
  const isLeft = (nodeId: string): boolean => Number(nodeId.slice(1)) < 5;
  network.isCut = (from, to) => isLeft(from.nodeId) !== isLeft(to.nodeId);
  for (const node of network.running()) network.dispatch(node, { type: 'list-changed', nodes: [] });
  network.run(2 * MINUTE_MS);
  assert.equal(network.node('n0').machine.member('n11')?.status, 'dead');
  assert.equal(network.node('n11').machine.member('n0')?.status, 'dead');
  network.isCut = () => false;
  assert.ok(network.run(3 * MINUTE_MS, () => network.isConverged()));
});

test('a node paused beyond the suspicion timeout rejoins and considers no other node dead', () => {
  const network = startFleet(SEED, 8);
  const paused = network.node('n3');
  paused.paused = true;
  network.run(MINUTE_MS);
  assert.equal([...network.statusesOf('n3')], ['dead']);
  const before = paused.changes.length;
  network.resume(paused);
  assert.ok(network.run(MINUTE_MS, () => network.isConverged()));
  const after = paused.changes.slice(before);
  assert.not.ok(
    after.some((change) => change.startsWith('failed')),
    after.join(),
  );
});

test('a node is not suspected if only one member can not reach it', () => {
  const network = startFleet(SEED, 8);
  const pair = new Set(['n0', 'n1']);
  network.isCut = (from, to) => pair.has(from.nodeId) && pair.has(to.nodeId);
  network.run(2 * MINUTE_MS);
  for (const node of network.running()) {
    const suspicions = node.changes.filter((change) => change.startsWith('suspected'));
    assert.equal(suspicions, []);
  }
});

test('a node that is paused repeatedly suspects no other node because of its own pauses', () => {
  const network = startFleet(SEED, 6);
  const paused = network.node('n3');
  for (let round = 0; round < 100; round += 1) {
    paused.paused = true;
    network.run(2 * SECOND_MS);
    network.resume(paused);
    network.run(network.random() * 2 * SECOND_MS);
  }
  assert.not.ok(paused.changes.some((change) => change.startsWith('suspected')));
});

test('a suspicion does not expire while the node that holds it is paused', () => {
  const network = startFleet(SEED, 6);
  const holder = network.node('n3');
  network.isCut = (_from, to) => to.nodeId === 'n3';
  const suspects = (): boolean => holder.changes.some((change) => change.startsWith('suspected'));
  assert.ok(network.run(MINUTE_MS, suspects));
  holder.paused = true;
  network.isCut = () => false;
  network.run(MINUTE_MS);
  network.resume(holder);
  assert.ok(network.run(MINUTE_MS, () => network.isConverged()));
  assert.not.ok(holder.changes.some((change) => change.startsWith('failed')));
});

test('a new incarnation at the same address replaces the old one, also with an earlier clock', () => {
  for (const incarnationShift of [1, -MINUTE_MS]) {
    const network = startFleet(SEED, 8);
    network.node('n2').crashed = true;
    network.run(SECOND_MS);
    const restarted = network.restart('n2', network.now + incarnationShift);
    const isBack = (): boolean => network.isConverged();
    assert.ok(network.run(2 * MINUTE_MS, isBack), `shift ${incarnationShift}`);
    assert.is(restarted.machine.members().length, 7);
  }
});

test('all nodes see a leaving node as leaving, and its stop as left', () => {
  const network = startFleet(SEED, 9);
  const leaver = network.node('n4');
  network.dispatch(leaver, { type: 'leave' });
  const isLeaving = (): boolean => [...network.statusesOf('n4')].join() === 'leaving';
  assert.ok(network.run(5 * SECOND_MS, isLeaving));
  network.run(MINUTE_MS);
  assert.ok(isLeaving(), 'it stays leaving until it stops');
  network.dispatch(leaver, { type: 'stop' });
  leaver.crashed = true;
  assert.ok(network.run(10 * SECOND_MS, () => [...network.statusesOf('n4')].join() === 'dead'));
  assert.ok(network.node('n0').changes.includes('left n4'));
  assert.not.ok(network.node('n0').changes.includes('failed n4'));
});

test('the machine list does not revive dead nodes; its leaving mark is obeyed', () => {
  const network = startFleet(SEED, 8);
  network.node('n1').crashed = true;
  network.run(maxDetectionMs(network));
  const marked = network.list.map((node) => ({ ...node, leaving: node.nodeId === 'n5' }));
  for (const node of network.running())
    network.dispatch(node, { type: 'list-changed', nodes: marked });
  network.run(MINUTE_MS);
  assert.equal([...network.statusesOf('n1')], ['dead']);
  assert.equal([...network.statusesOf('n5')], ['leaving']);
  assert.ok(network.node('n5').changes.includes('told-to-leave'));
});

test('a leaving mark meant for an earlier incarnation does not stop a new one at once', () => {
  const network = startFleet(SEED, 4);
  network.list = network.list.map((node) => ({ ...node, leaving: node.nodeId === 'n1' }));
  network.node('n1').crashed = true;
  const restarted = network.restart('n1');
  network.run(network.options.maxMachineListLagMs / 2);
  assert.not.ok(restarted.changes.includes('told-to-leave'));
  network.list = network.list.map((node) => ({ ...node, leaving: false }));
  for (const node of network.running()) {
    network.dispatch(node, { type: 'list-changed', nodes: network.list });
  }
  network.run(network.options.maxMachineListLagMs);
  assert.not.ok(restarted.changes.includes('told-to-leave'));
  assert.ok(network.isConverged());
});

test('updates in a datagram stay within the limit, and an idle cluster disseminates nothing', () => {
  const network = startFleet(SEED, 30, 3);
  assert.ok(network.largestUpdates <= network.options.maxUpdateBytes);
  network.run(MINUTE_MS);
  const before = network.datagrams;
  network.run(MINUTE_MS);
  const periods = MINUTE_MS / network.options.probePeriodMs;
  const perNodeAndPeriod = (network.datagrams - before) / 30 / periods;
  // Per period, each node sends one ping and one ack.
  assert.ok(perNodeAndPeriod <= 2.1, `${perNodeAndPeriod} datagrams`);
});

type Fault = 'crash' | 'restart' | 'pause' | 'resume' | 'cut' | 'heal' | 'lossy' | 'lossless';
interface FaultStep {
  readonly fault: Fault;
  readonly node: number;
  readonly afterMs: number;
}

const faultArbitrary: fc.Arbitrary<FaultStep> = fc.record({
  fault: fc.constantFrom<Fault>(
    'crash',
    'restart',
    'pause',
    'resume',
    'cut',
    'heal',
    'lossy',
    'lossless',
  ),
  node: fc.nat(6),
  afterMs: fc.integer({ min: 100, max: 8000 }),
});

function inject(network: MembershipNetwork, { fault, node: index }: FaultStep): void {
  const node = network.node(`n${index}`);
  if (fault === 'crash') node.crashed = true;
  else if (fault === 'restart') network.restart(node.nodeId);
  else if (fault === 'pause') node.paused = true;
  else if (fault === 'resume') network.resume(node);
  else if (fault === 'cut') network.isCut = (from, to) => (from === node) !== (to === node);
  else if (fault === 'heal') network.isCut = () => false;
  else network.lossFraction = fault === 'lossy' ? 0.3 : 0;
}

test('after any schedule of faults all live nodes converge', () => {
  fc.assert(
    fc.property(fc.integer(), fc.array(faultArbitrary, { maxLength: 12 }), (seed, steps) => {
      const network = new MembershipNetwork(seed);
      network.startFleet(7, 3);
      for (const step of steps) {
        network.run(step.afterMs);
        inject(network, step);
      }
      network.isCut = () => false;
      network.lossFraction = 0;
      for (const node of network.running()) network.resume(node);
      assert.ok(network.run(5 * MINUTE_MS, () => network.isConverged()));
    }),
    { seed: SEED, numRuns: 60 },
  );
});

test.run();
