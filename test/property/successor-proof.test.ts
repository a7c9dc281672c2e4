/**
 * During one primary change, the old primary is replaced at its address and another member ends for good with its log.
 * The successor at the old primary's address has the old primary's log. Every promotion needs that log, and having it
 * is enough proof for a promotion.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PromotionSimulation } from '../support/promotion/simulation.js';

const SEEDS = [1, 2, 3, 4, 5];
const STEP_MS = 5;
const LAG_MS = 4000;
/** Outage of the platform's promotion endpoint: the change is still in progress when the members end. */
const OUTAGE_MS = 3000;
const SETTLE_MS = 12_000;

function isChanging({ leader, group }: PromotionSimulation): boolean {
  return leader?.machine?.isChanging(group.service) ?? false;
}

function play(seed: number): PromotionSimulation {
  const simulation = new PromotionSimulation({ seed, services: 1 });
  simulation.run(4000);
  const { group, clock, platform } = simulation;
  const primary = group.primary;
  const [ending, lagging] = group.instances.filter((instance) => instance !== primary);
  if (ending === undefined || lagging === undefined) throw new Error('a group has three instances');
  lagging.notReceivingUntil = clock.now + LAG_MS;
  simulation.run(500);
  platform.downUntil = clock.now + OUTAGE_MS;
  group.crash(primary);
  const hasStarted = simulation.runUntil(() => isChanging(simulation), STEP_MS, OUTAGE_MS);
  assert.ok(hasStarted, `no change has started, seed ${seed}`);
  group.remove(ending);
  group.join();
  simulation.run(500);
  group.replace(primary);
  simulation.run(SETTLE_MS);
  return simulation;
}

test('a change succeeds when only the successor at the primary’s address has the log', () => {
  for (const seed of SEEDS) {
    const simulation = play(seed);
    assert.equal(simulation.violations, [], `seed ${seed}\n${simulation.eventLog}`);
    const before = simulation.group.commits;
    simulation.run(1000);
    assert.ok(
      simulation.group.commits > before,
      `writes stopped, seed ${seed}\n${simulation.eventLog}`,
    );
  }
});

test.run();
