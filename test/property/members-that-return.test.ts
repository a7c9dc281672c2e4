/**
 * A member is forgotten, and comes back, or another one joins, while a node that has started since is cut off from the store:
 * commits then stand on it and on the primary, as the third member receives nothing, and that node hears of the primary no
 * more. What it reads at the third one must not rest on the members that it happens to know.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import type { SimulatedGroup, SimulatedInstance } from '../support/promotion/group.js';
import { PromotionSimulation } from '../support/promotion/simulation.js';
import { STORE } from '../support/promotion/store.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const WARM_UP_MS = 4000;
/** The entry goes, the leader finds the member dead and forgets it. */
const FORGOTTEN_AFTER_MS = 5000;
const STARTED_AFTER_MS = 1500;
/** Parts of the machine that each keep such a node from reading. */
const BOTH: readonly PromotionMechanism[] = ['forgotten-members', 'current-members'];
/** Every lease of a cut-off node is over by then. */
const LAPSED_AFTER_MS = 2500;
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
  comeBack: Return,
  disabledMechanisms: readonly PromotionMechanism[] = [],
) {
  const simulation = new PromotionSimulation({
    ...{ seed, services: 1, assumedSyncReplicas: 1, disabledMechanisms },
  });
  simulation.run(WARM_UP_MS);
  const { group, network, nodes, leader } = simulation;
  const [forgotten, behind] = group.instances.filter((one) => one !== group.primary);
  const reader = nodes.find((node) => node !== leader);
  if (forgotten === undefined || behind === undefined || reader === undefined) {
    throw new Error('a group has three instances, and there are nodes beside the leader');
  }
  if (comeBack !== NEWCOMER) group.crash(forgotten);
  simulation.run(FORGOTTEN_AFTER_MS);
  reader.kill();
  reader.start();
  simulation.run(STARTED_AFTER_MS);
  network.cut(reader.name, STORE, LONG_MS);
  simulation.run(LAPSED_AFTER_MS);
  for (const one of [forgotten, behind]) {
    if (one.isRunning) one.notReceivingUntil = simulation.clock.now + LONG_MS;
  }
  comeBack(group, forgotten);
  simulation.run(200);
  network.cut(reader.name, group.primary.address, LONG_MS);
  simulation.run(2000);
  return simulation;
}

function staleSeeds(comeBack: Return, disabledMechanisms: readonly PromotionMechanism[]): number[] {
  return SEEDS.filter((seed) => {
    const { violations } = play(seed, comeBack, disabledMechanisms);
    return violations.some((violation) => violation.startsWith('STALE'));
  });
}

for (const [name, comeBack] of Object.entries(RETURNS)) {
  test(`no stale read where a member comes back ${name}`, () => {
    for (const seed of SEEDS) {
      const { violations, eventLog } = play(seed, comeBack);
      assert.equal(violations, [], `seed ${seed}\n${eventLog}`);
    }
  });

  test(`stale reads without what the test is for, where one comes back ${name}`, () => {
    assert.ok(staleSeeds(comeBack, BOTH).length > SEEDS.length / 2);
  });
}

test('the record of the forgotten suffices where they come back', () => {
  for (const comeBack of Object.values(RETURNS)) {
    assert.equal(staleSeeds(comeBack, ['current-members']), []);
  }
});

test.run();
