/**
 * Guards against stale reads at replicas while the store turns some nodes away and serves instances and other nodes. Nodes
 * without it ask each other; that several of them lack the store is no proof that no instance can have joined.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import type { SimulatedNode } from '../support/promotion/node.js';
import { PromotionSimulation } from '../support/promotion/simulation.js';
import { STORE } from '../support/promotion/store.js';

const SEEDS = Array.from({ length: 10 }, (_, index) => index + 1);
const WARM_UP_MS = 5000;
const LONG_MS = 30_000;
/** Bound on the staleness of reads in the strictest deployment. */
const STALENESS_MS = 1500;

/** How the store turns nodes away: its responses are lost, or it refuses their calls. */
const REFUSALS = {
  silent: ({ network }: PromotionSimulation, nodes: readonly string[]) => {
    for (const node of nodes) network.cut(node, STORE, LONG_MS);
  },
  refused: ({ store }: PromotionSimulation, nodes: readonly string[]) => {
    store.refuseNodes(nodes, LONG_MS);
  },
} as const;

interface Course {
  readonly nodes: number;
  /** How many of them lose the store; the leader is the last. */
  readonly withoutStore: number;
  readonly cutBeforeJoinMs: number;
  readonly joinBeforeSilenceMs: number;
  readonly how: keyof typeof REFUSALS;
}

function start(
  seed: number,
  nodes: number,
  disabledMechanisms: readonly PromotionMechanism[] = [],
): PromotionSimulation {
  const simulation = new PromotionSimulation({
    ...{ seed, services: 1, nodes, assumedSyncReplicas: 1, disabledMechanisms },
  });
  simulation.run(WARM_UP_MS);
  return simulation;
}

function leaderLast({ nodes, leader }: PromotionSimulation): SimulatedNode[] {
  const followers = nodes.filter((node) => node !== leader);
  return leader === undefined ? followers : [...followers, leader];
}

/** An instance joins, and from then on receives the commits alone. */
function joinAlone({ group, clock }: PromotionSimulation): void {
  for (const one of group.instances) {
    if (one !== group.primary) one.notReceivingUntil = clock.now + LONG_MS;
  }
  group.join();
}

/** Age of the state up to which the node knows all members. */
function proofAgeMs({ machine, now }: SimulatedNode): number {
  return now - (machine?.membersCompleteAsOf(now) ?? 0);
}

/** The nodes without the store lose the primary too, after an instance has joined. */
function staleReads(
  seed: number,
  course: Course,
  disabledMechanisms: readonly PromotionMechanism[] = [],
): readonly string[] {
  const simulation = start(seed, course.nodes, disabledMechanisms);
  const { network, group } = simulation;
  const names = leaderLast(simulation).map(({ name }) => name);
  const cutOff = names.slice(0, course.withoutStore);
  REFUSALS[course.how](simulation, cutOff);
  simulation.run(course.cutBeforeJoinMs);
  joinAlone(simulation);
  simulation.run(course.joinBeforeSilenceMs);
  for (const name of cutOff) network.cut(name, group.primary.address, LONG_MS);
  simulation.run(4000);
  return simulation.violations.filter((violation) => violation.startsWith('STALE'));
}

function assertNoneStale(course: Course): void {
  const stale = SEEDS.filter((seed) => staleReads(seed, course).length > 0);
  assert.equal(stale, [], JSON.stringify(course));
}

const TIMES = [
  { cutBeforeJoinMs: 2500, joinBeforeSilenceMs: 200 },
  { cutBeforeJoinMs: 4000, joinBeforeSilenceMs: 1000 },
] as const;

for (const [nodes, withoutStore] of [
  [4, 3],
  [6, 5],
  [9, 8],
  [9, 4],
] as const) {
  test(`no stale read while ${withoutStore} of ${nodes} nodes get no response from the store`, () => {
    for (const times of TIMES) assertNoneStale({ nodes, withoutStore, how: 'silent', ...times });
  });
}

test('no stale read while the store refuses all nodes and serves instances', () => {
  for (const times of TIMES)
    assertNoneStale({ nodes: 4, withoutStore: 4, how: 'refused', ...times });
});

test('no stale read while all nodes get no response from the store, and it serves instances', () => {
  for (const times of TIMES)
    assertNoneStale({ nodes: 4, withoutStore: 4, how: 'silent', ...times });
});

test('stale reads without the mechanism', () => {
  const course = { nodes: 9, withoutStore: 8, how: 'silent', ...TIMES[0] } as const;
  for (const seed of SEEDS) {
    assert.ok(staleReads(seed, course, ['current-members']).length > 0, `seed ${seed}`);
  }
});

test('reads of some age go on in a larger fleet while the store is unavailable to all', () => {
  for (const seed of SEEDS) {
    const simulation = start(seed, 12);
    const [reader] = leaderLast(simulation);
    if (reader === undefined) throw new Error('there are nodes');
    simulation.store.startOutage(LONG_MS, true);
    simulation.network.cut(reader.name, simulation.group.primary.address, LONG_MS);
    simulation.run(4000);
    const readsBefore = reader.readsAtReplicas;
    for (let steps = 0; steps < 100; steps += 1) {
      simulation.run(50);
      const ageMs = proofAgeMs(reader);
      assert.ok(ageMs <= STALENESS_MS, `seed ${seed}: ${ageMs}`);
    }
    assert.ok(reader.readsAtReplicas > readsBefore + 20, `seed ${seed}`);
    assert.equal(simulation.violations, []);
  }
});

test('a node proves no outage while a peer is silent, and again once it responds', () => {
  for (const seed of SEEDS) {
    const simulation = start(seed, 4);
    const [reader, silent] = leaderLast(simulation);
    if (reader === undefined || silent === undefined) throw new Error('there are nodes');
    for (const { name } of simulation.nodes) {
      if (name !== silent.name) simulation.network.cut(name, silent.name, 8000);
    }
    simulation.store.startOutage(LONG_MS, true);
    const startedAt = reader.now;
    simulation.run(7500);
    const provenAt = reader.machine?.membersCompleteAsOf(reader.now) ?? 0;
    assert.ok(provenAt - startedAt < 100, `seed ${seed}: ${provenAt - startedAt}`);
    simulation.run(2000);
    const ageMs = proofAgeMs(reader);
    assert.ok(ageMs <= STALENESS_MS, `seed ${seed}: ${ageMs}`);
  }
});

test.run();
