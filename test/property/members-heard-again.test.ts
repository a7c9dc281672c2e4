/**
 * Guards against the replacement of a sound primary after no node had reached any member for a time. Suspicions and failed
 * probes from that time say nothing about the primary, and each needless change costs callers seconds.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import { PromotionSimulation } from '../support/promotion/simulation.js';
import { STORE } from '../support/promotion/store.js';

const SEEDS = Array.from({ length: 10 }, (_, index) => index + 1);
const WARM_UP_MS = 5000;
const SILENCE_MS = 2500;
const AFTERMATH_MS = 8000;
/** For how long the store is silent too; leases last 2 s. */
const STORE_SILENCE_MS = [0, 1000, 1500, 2000, 2300] as const;

/** No node reaches a member for `SILENCE_MS`. */
function silenceMembers({ nodes, network, group }: PromotionSimulation): void {
  for (const { name } of nodes) {
    for (const { address } of group.instances) network.cut(name, address, SILENCE_MS);
  }
}

/** No node reaches a member for a while; returns whether the primary was replaced afterwards. */
function isReplaced(
  seed: number,
  nodes: number,
  storeSilenceMs: number,
  disabledMechanisms: readonly PromotionMechanism[] = [],
): boolean {
  const simulation = new PromotionSimulation({ seed, nodes, services: 1, disabledMechanisms });
  const { network, group } = simulation;
  simulation.run(WARM_UP_MS);
  const before = group.primary;
  silenceMembers(simulation);
  for (const { name } of simulation.nodes) network.cut(name, STORE, storeSilenceMs);
  simulation.run(SILENCE_MS + AFTERMATH_MS);
  assert.equal(simulation.violations, []);
  return group.primary !== before;
}

for (const storeSilenceMs of STORE_SILENCE_MS) {
  test(`a sound primary stays after all members were silent, and the store for ${storeSilenceMs} ms`, () => {
    for (const nodes of [2, 4]) {
      const replaced = SEEDS.filter((seed) => isReplaced(seed, nodes, storeSilenceMs));
      assert.equal(replaced, [], `${nodes} nodes`);
    }
  });
}

test('without the mechanism it is replaced', () => {
  for (const seed of SEEDS) {
    assert.ok(isReplaced(seed, 4, 1500, ['fresh-suspicions']), `seed ${seed}`);
  }
});

test('a primary that ends while all members are silent is replaced once the others respond', () => {
  for (const seed of SEEDS) {
    const simulation = new PromotionSimulation({ seed, services: 1 });
    const { group } = simulation;
    simulation.run(WARM_UP_MS);
    const before = group.primary;
    silenceMembers(simulation);
    simulation.run(SILENCE_MS / 2);
    group.crash(before);
    simulation.run(SILENCE_MS / 2);
    const isDone = simulation.runUntil(() => group.primary !== before, 50, AFTERMATH_MS);
    assert.ok(isDone, `seed ${seed}`);
  }
});

test.run();
