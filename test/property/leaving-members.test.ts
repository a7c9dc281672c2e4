/**
 * A replica without an entry serves on and is, for a while, the only one that receives commits. It was not heard
 * once, which is less than the silence after which a member counts as dead. Then it ends with its log, and the
 * primary crashes: who takes over must not lack what only the two of them had.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';
import type { SimulatedInstance } from '../support/promotion/group.js';
import { PromotionSimulation } from '../support/promotion/simulation.js';

const { memberDeadAfterMs } = DEFAULT_PROMOTION_TIMINGS;
const SEEDS = [1, 2, 3, 4, 5];
/** An instance that leaves serves on for the time to drain and some seconds more; longer than a change of primary takes. */
const LONG_LEAVE_MS = 8000;

/** A primary, a replica that leaves without saying so, and one that stays. */
function groupOf({ group }: PromotionSimulation): readonly SimulatedInstance[] {
  return [group.primary, ...group.instances.filter((instance) => instance !== group.primary)];
}

/** One of the replicas has lost its entry, and serves on. */
function startWithLeaver(seed: number) {
  const simulation = new PromotionSimulation({ seed });
  simulation.run(3000);
  const [, leaver] = groupOf(simulation);
  if (leaver === undefined) throw new Error('a group has replicas');
  leaver.isRegistered = false;
  return { simulation, leaver };
}

function cutFromNodes(simulation: PromotionSimulation, instance: SimulatedInstance, forMs: number) {
  for (const { name } of simulation.nodes) simulation.network.cut(name, instance.address, forMs);
}

/** The one that stays lags; the one that leaves ends with its log, and the primary crashes right then. */
function endWithPrimary(simulation: PromotionSimulation): void {
  const [primary, leaver, other] = groupOf(simulation);
  if (primary === undefined || leaver === undefined || other === undefined) {
    throw new Error('a group has three instances');
  }
  other.notReceivingUntil = simulation.clock.now + 3000;
  simulation.run(1000);
  simulation.group.crash(primary);
  simulation.group.remove(leaver);
  simulation.run(5000);
  simulation.group.restart(primary);
  simulation.run(8000);
}

function assertNothingLost(simulation: PromotionSimulation, seed: number): void {
  assert.equal(simulation.violations, [], `seed ${seed}\n${simulation.eventLog}`);
}

test('one silence late in a long leave makes no member dead', () => {
  for (const seed of SEEDS) {
    const { simulation, leaver } = startWithLeaver(seed);
    simulation.run(memberDeadAfterMs + 1000);
    cutFromNodes(simulation, leaver, 1200);
    simulation.run(3000);
    endWithPrimary(simulation);
    assertNothingLost(simulation, seed);
  }
});

test('a member that said it leaves, and is out of reach of nodes and store, is not forgotten', () => {
  for (const seed of SEEDS) {
    const { simulation, leaver } = startWithLeaver(seed);
    leaver.isRegistered = true;
    leaver.draining = true;
    simulation.run(500);
    leaver.isRegistered = false;
    cutFromNodes(simulation, leaver, 60_000);
    simulation.run(LONG_LEAVE_MS);
    endWithPrimary(simulation);
    assertNothingLost(simulation, seed);
  }
});

test('nodes that start anew take no leaving member for dead at once', () => {
  for (const seed of SEEDS) {
    const { simulation, leaver } = startWithLeaver(seed);
    simulation.run(500);
    for (const node of simulation.nodes) node.kill();
    simulation.run(500);
    for (const node of simulation.nodes) node.start();
    cutFromNodes(simulation, leaver, 5000);
    simulation.run(7000);
    endWithPrimary(simulation);
    assertNothingLost(simulation, seed);
  }
});

test.run();
