/**
 * The leader's process stalls while responses to its hold calls wait to be read. Meanwhile a replica restarts, which
 * ends its hold, and it alone receives the writes of a node that does not know of the change. The responses that the
 * leader then reads are older than those writes, so it must not choose the candidate by them.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PromotionSimulation } from '../support/promotion/simulation.js';
import { STORE } from '../support/promotion/store.js';

const SERVICE = 'group-0';
const CUT_MS = 8000;
const STEP_MS = 0.2;
const TIMEOUT_MS = 3000;
const RUNS = 120;
const FIRST_SEED = 1;

/** Plays the case; returns false if the change did not start as described above. */
function play(simulation: PromotionSimulation): boolean {
  simulation.run(3000);
  const { network, clock, group, leader } = simulation;
  const primary = group.primary;
  const [held, restarting] = group.instances.filter((instance) => instance !== primary);
  const cutOffNode = simulation.nodes.find((node) => node !== leader);
  if (leader === undefined || held === undefined || restarting === undefined) return false;
  if (cutOffNode === undefined) return false;
  simulation.run(clock.between(0, 700));
  for (const { name } of simulation.nodes) {
    if (name !== cutOffNode.name) network.cut(name, primary.address, CUT_MS);
  }
  network.cut(cutOffNode.name, STORE, CUT_MS);
  const areHeld = (): boolean => held.heldTerm > 0 && restarting.heldTerm > 0;
  if (!simulation.runUntil(areHeld, STEP_MS, TIMEOUT_MS)) return false;
  leader.stall(clock.between(600, 1100));
  group.crash(restarting);
  clock.after(20, () => group.restart(restarting));
  simulation.run(10_000);
  return true;
}

test('a candidate is chosen by queries sent after the use of the old primary had ended', () => {
  let played = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
    const simulation = new PromotionSimulation({ seed, services: 1 });
    if (play(simulation)) played += 1;
    assert.equal(simulation.violations, [], `seed ${seed} of ${SERVICE}\n${simulation.eventLog}`);
  }
  assert.ok(played > RUNS / 2);
});

test.run();
