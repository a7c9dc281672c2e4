/** Primaries are replaced under any schedule of faults without a violation. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PromotionSimulation } from '../support/promotion/simulation.js';

const RUNS = Number(process.env.PROMOTION_RUNS ?? 60);
const FIRST_SEED = Number(process.env.PROMOTION_SEED ?? 20261202);

test('a crashed primary is replaced, and all nodes trust the new one', () => {
  const simulation = new PromotionSimulation({ seed: 1 });
  simulation.run(4000);
  const old = simulation.group.primary;
  simulation.group.crash(old);
  simulation.run(2000);
  assert.is.not(simulation.group.primary.id, old.id);
  for (const { machine, now } of simulation.nodes) {
    assert.is(machine?.primaryOf('group-0', now)?.id, simulation.group.primary.id);
    assert.is(machine?.mayTrustPrimary('group-0', now), true);
  }
  assert.equal(simulation.violations, []);
});

test('no schedule of faults causes a violation, and writes succeed afterwards', () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
    const simulation = new PromotionSimulation({ seed });
    simulation.run(3000);
    simulation.injectFaults(30_000);
    simulation.waitForFaultsToEnd();
    simulation.run(12_000);
    const context = `seed ${seed}\n${simulation.eventLog}`;
    assert.equal(simulation.violations, [], context);
    const before = simulation.group.acknowledged.length;
    simulation.run(2000);
    assert.ok(simulation.group.acknowledged.length > before, `writes stopped, ${context}`);
  }
});

test.run();
