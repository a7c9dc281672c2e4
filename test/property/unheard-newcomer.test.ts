/**
 * A member is removed after a crash and comes back, or a new one joins, while a node that started in between is cut off
 * from the store. Only that member and the primary receive commits, the third member receives nothing, and then the node
 * can't reach the primary. A read at the third member must not rely only on the members that this node knows.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import type { SimulatedGroup, SimulatedInstance } from '../support/promotion/group.js';
import { PromotionSimulation } from '../support/promotion/simulation.js';
import { STORE } from '../support/promotion/store.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const WARM_UP_MS = 4000;
/** By then the registration has expired, and the leader has found the member dead and removed it. */
const REMOVED_AFTER_MS = 5000;
const STARTED_AFTER_MS = 1500;
/** All leases of a cut-off node have expired by then. */
const LEASES_EXPIRED_AFTER_MS = 2500;
const LONG_MS = 30_000;

type Return = (group: SimulatedGroup, member: SimulatedInstance) => void;

const RETURNS: Readonly<Record<string, Return>> = {
  'under its id': (group, member) => group.restart(member),
  'under its id, without an entry': (group, member) => {
    member.isRegistered = false;
    group.restart(member);
  },
  'in place, under another id': (group, member) => group.replace(member),
};
const NEWCOMER: Return = (group) => group.join();

function play(
  seed: number,
  returnMember: Return,
  disabledMechanisms: readonly PromotionMechanism[] = [],
) {
  const simulation = new PromotionSimulation({
    ...{ seed, services: 1, assumedSyncReplicas: 1, disabledMechanisms },
  });
  simulation.run(WARM_UP_MS);
  const { group, network, nodes, leader } = simulation;
  const [removed, lagging] = group.instances.filter((one) => one !== group.primary);
  const reader = nodes.find((node) => node !== leader);
  if (removed === undefined || lagging === undefined || reader === undefined) {
    throw new Error('a group has three instances, and there are nodes beside the leader');
  }
  if (returnMember !== NEWCOMER) group.crash(removed);
  simulation.run(REMOVED_AFTER_MS);
  reader.kill();
  reader.start();
  simulation.run(STARTED_AFTER_MS);
  network.cut(reader.name, STORE, LONG_MS);
  simulation.run(LEASES_EXPIRED_AFTER_MS);
  for (const one of [removed, lagging]) {
    if (one.isRunning) one.notReceivingUntil = simulation.clock.now + LONG_MS;
  }
  returnMember(group, removed);
  simulation.run(200);
  network.cut(reader.name, group.primary.address, LONG_MS);
  simulation.run(2000);
  return simulation;
}

function staleSeeds(
  returnMember: Return,
  disabledMechanisms: readonly PromotionMechanism[],
): number[] {
  return SEEDS.filter((seed) => {
    const { violations } = play(seed, returnMember, disabledMechanisms);
    return violations.some((violation) => violation.startsWith('STALE'));
  });
}

test('no stale read where a newcomer joins that the node has not heard of', () => {
  for (const seed of SEEDS) {
    const { violations, eventLog } = play(seed, NEWCOMER);
    assert.equal(violations, [], `seed ${seed}\n${eventLog}`);
  }
});

test('a list that may be old suffices for none of them', () => {
  for (const returnMember of [...Object.values(RETURNS), NEWCOMER]) {
    assert.equal(staleSeeds(returnMember, ['forgotten-members']), []);
  }
});

test.run();
