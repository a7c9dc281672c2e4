/**
 * A replica loses its registration, goes on serving and is for a while the only one that receives commits. It is
 * unresponsive for a shorter time than that after which a member counts as dead. Then it ends with its log, and the
 * primary crashes. A successor must not lack the commits that only these two had.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';
import type { SimulatedInstance } from '../support/promotion/group.js';
import { PromotionSimulation } from '../support/promotion/simulation.js';

const { memberDeadAfterMs } = DEFAULT_PROMOTION_TIMINGS;
const SEEDS = [1, 2, 3, 4, 5];
/** A leaving instance serves for the drain timeout and some seconds more: longer than a primary change takes. */
const LEAVING_MS = 8000;

/** The primary, the replica that leaves, and the one that stays. */
function membersOf({ group }: PromotionSimulation): readonly SimulatedInstance[] {
  return [group.primary, ...group.instances.filter((instance) => instance !== group.primary)];
}

/** Starts a group in which a replica has lost its registration and goes on serving. */
function startWithLeaver(seed: number) {
  const simulation = new PromotionSimulation({ seed });
  simulation.run(3000);
  const [, leaver] = membersOf(simulation);
  if (leaver === undefined) throw new Error('a group has replicas');
  leaver.isRegistered = false;
  return { simulation, leaver };
}

function cutFromNodes(simulation: PromotionSimulation, instance: SimulatedInstance, forMs: number) {
  for (const { name } of simulation.nodes) simulation.network.cut(name, instance.address, forMs);
}

/** While the staying replica lags, the leaving one ends with its log and the primary crashes. */
function endWithPrimary(simulation: PromotionSimulation): void {
  const [primary, leaver, other] = membersOf(simulation);
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

test('a leaving member that is unresponsive for a short time does not count as dead', () => {
  for (const seed of SEEDS) {
    const { simulation, leaver } = startWithLeaver(seed);
    simulation.run(memberDeadAfterMs + 1000);
    cutFromNodes(simulation, leaver, 1200);
    simulation.run(3000);
    endWithPrimary(simulation);
    assertNothingLost(simulation, seed);
  }
});

test('a member that announced its leave and then becomes unreachable is not removed', () => {
  for (const seed of SEEDS) {
    const { simulation, leaver } = startWithLeaver(seed);
    leaver.isRegistered = true;
    leaver.draining = true;
    simulation.run(500);
    leaver.isRegistered = false;
    cutFromNodes(simulation, leaver, 60_000);
    simulation.run(LEAVING_MS);
    endWithPrimary(simulation);
    assertNothingLost(simulation, seed);
  }
});

test('restarted nodes do not count a leaving member as dead at once', () => {
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
