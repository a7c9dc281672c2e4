/** Primaries with successors at their addresses, which have their logs. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { EVERY_FAULT_KIND, PromotionSimulation } from '../support/promotion/simulation.js';

const RUNS = 25;
const FIRST_SEED = 20_261_203;
const NEVER_HEALED_MS = 600_000;

test('the successor at a primary’s address becomes primary though a member that left is unresponsive', () => {
  const simulation = new PromotionSimulation({ seed: 3 });
  simulation.run(4000);
  const { group, network, nodes } = simulation;
  // Only a promoted primary is in a record; before that, the role that instances report counts.
  const first = group.primary;
  group.crash(first);
  simulation.run(3000);
  group.restart(first);
  simulation.run(3000);
  const old = group.primary.id;
  assert.is.not(old, first.id);
  const [left] = group.instances.filter((instance) => instance !== group.primary);
  assert.ok(left);
  left.isRegistered = false;
  for (const { address } of group.instances) network.cut(left.address, address, NEVER_HEALED_MS);
  for (const { name } of nodes) network.cut(left.address, name, NEVER_HEALED_MS);
  group.crash(group.primary);
  simulation.run(500);
  group.replace(group.primary);
  simulation.run(3000);
  const { primary: successor } = group;
  assert.is.not(successor.id, old);
  for (const { machine, now } of nodes) {
    assert.is(machine?.primaryOf(group.service, now)?.id, successor.id);
  }
  const before = group.acknowledged.length;
  simulation.run(1000);
  assert.ok(group.acknowledged.length > before, 'writes go on');
  assert.equal(simulation.violations, []);
});

test('no schedule of faults with such successors causes a violation, and writes succeed afterwards', () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
    const simulation = new PromotionSimulation({ seed });
    simulation.run(3000);
    simulation.injectFaults(20_000, [...EVERY_FAULT_KIND, 'primary replaced in place']);
    simulation.waitForFaultsToEnd();
    simulation.run(12_000);
    const context = `seed ${seed}\n${simulation.faultLog.join('\n')}`;
    assert.equal(simulation.violations, [], context);
    const before = simulation.group.acknowledged.length;
    simulation.run(2000);
    assert.ok(simulation.group.acknowledged.length > before, `writes stopped, ${context}`);
  }
});

test.run();
