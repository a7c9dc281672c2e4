/**
 * Guards against a stale read at a replica after an instance joined that the reading node has not heard of. The node is
 * cut off from the store at any moment before, so that its lease may still be valid, and then from the primary. Only the
 * primary and the newcomer receive commits. A position derived from the members that the node knows covers only what was
 * acknowledged before it last knew all of them.
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
/** From before the node can notice the cut until after its lease has expired. */
const CUT_BEFORE_JOIN_MS = [0, 300, 1200, 2500];
const JOIN_BEFORE_SILENCE_MS = [0, 200, 1000];
/** Bound on the staleness of reads in the strictest deployment. */
const STALENESS_MS = 1500;

interface World {
  readonly simulation: PromotionSimulation;
  readonly reader: SimulatedNode;
}

function start(seed: number, disabledMechanisms: readonly PromotionMechanism[] = []): World {
  const simulation = new PromotionSimulation({
    ...{ seed, services: 1, assumedSyncReplicas: 1, disabledMechanisms },
  });
  simulation.run(WARM_UP_MS);
  const reader = simulation.nodes.find((node) => node !== simulation.leader);
  if (reader === undefined) throw new Error('there are nodes beside the leader');
  return { simulation, reader };
}

/** An instance joins, and from then on receives the commits alone. */
function joinAlone({ group, clock }: PromotionSimulation): void {
  for (const one of group.instances) {
    if (one !== group.primary) one.notReceivingUntil = clock.now + LONG_MS;
  }
  group.join();
}

function playJoin(
  seed: number,
  [cutBeforeMs, silenceAfterMs]: readonly [number, number],
  disabledMechanisms: readonly PromotionMechanism[] = [],
): readonly string[] {
  const { simulation, reader } = start(seed, disabledMechanisms);
  const { network, group } = simulation;
  network.cut(reader.name, STORE, LONG_MS);
  simulation.run(cutBeforeMs);
  joinAlone(simulation);
  simulation.run(silenceAfterMs);
  network.cut(reader.name, group.primary.address, LONG_MS);
  simulation.run(2000);
  return simulation.violations;
}

/** Greatest age, over a time, of the state up to which the node knows all members. */
function oldestProofMs({ simulation, reader }: World, forMs: number): number {
  let oldest = 0;
  for (const end = simulation.clock.now + forMs; simulation.clock.now < end; simulation.run(50)) {
    const { machine, now } = reader;
    oldest = Math.max(oldest, now - (machine?.membersCompleteAsOf(now) ?? 0));
  }
  return oldest;
}

for (const cutBeforeMs of CUT_BEFORE_JOIN_MS) {
  test(`no stale read at a node cut off from the store ${cutBeforeMs} ms before an instance joins`, () => {
    for (const silenceAfterMs of JOIN_BEFORE_SILENCE_MS) {
      for (const seed of SEEDS) {
        const violations = playJoin(seed, [cutBeforeMs, silenceAfterMs]);
        assert.equal(violations, [], `seed ${seed}, silence after ${silenceAfterMs} ms`);
      }
    }
  });

  test(`stale reads without the mechanism, cut off ${cutBeforeMs} ms before`, () => {
    for (const seed of SEEDS) {
      const violations = playJoin(seed, [cutBeforeMs, 200], ['current-members']);
      assert.ok(
        violations.some((violation) => violation.startsWith('STALE')),
        `seed ${seed}`,
      );
    }
  });
}

test('reads of some age go on at all nodes while the store is unavailable to all', () => {
  for (const seed of SEEDS) {
    const world = start(seed);
    const { simulation, reader } = world;
    simulation.store.startOutage(LONG_MS, true);
    simulation.network.cut(reader.name, simulation.group.primary.address, LONG_MS);
    simulation.run(2500);
    const readsBefore = reader.readsAtReplicas;
    assert.ok(oldestProofMs(world, 5000) <= STALENESS_MS, `seed ${seed}`);
    assert.ok(reader.readsAtReplicas > readsBefore + 20, `seed ${seed}`);
    assert.equal(simulation.violations, []);
  }
});

test('a node whose peers follow the store learns from them, and claims no outage', () => {
  for (const seed of SEEDS) {
    const world = start(seed);
    const { simulation, reader } = world;
    simulation.network.cut(reader.name, STORE, LONG_MS);
    simulation.run(2500);
    assert.ok(oldestProofMs(world, 5000) <= STALENESS_MS, `seed ${seed}`);
  }
});

test('a node that reaches neither the store nor its peers knows nothing of new members', () => {
  for (const seed of SEEDS) {
    const world = start(seed);
    const { simulation, reader } = world;
    simulation.network.cut(reader.name, STORE, LONG_MS);
    for (const { name } of simulation.nodes) {
      if (name !== reader.name) simulation.network.cut(reader.name, name, LONG_MS);
    }
    simulation.run(5000);
    const { machine, now } = reader;
    const ageMs = now - (machine?.membersCompleteAsOf(now) ?? 0);
    assert.ok(ageMs >= 4500, `seed ${seed}: ${ageMs}`);
  }
});

test.run();
