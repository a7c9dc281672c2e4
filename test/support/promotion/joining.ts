/**
 * Replicas that join while a change of primary is under way, as the mixed model hardly draws them: the leader and most
 * nodes don't reach the old primary, and one node that is cut off from the store still writes there.
 */
import type { PromotionMechanism } from '../../../src/core/promotion/contract.js';
import { MIXED_FAULT_KINDS } from './mix.js';
import { PromotionSimulation } from './simulation.js';
import { STORE } from './store.js';

const WARM_UP_MS = 3000;
const ROUNDS = 4;
/** Every lease of a cut-off node is over by then. */
const CUT_OFF_MS = 3000;
const LONGEST_JOIN_DELAY_MS = 600;
const STEP_MS = 5;
const HELD_WITHIN_MS = 4000;
const STRIKE_MS = 3000;
/** The cut-off node doesn't reach a replica either, so that it can't learn of its hold. */
const CUT_FROM_REPLICA = 0.3;
const MOST_INSTANCES = 5;

/** What one seed broke, and its faults and log lines in order of time. */
export interface JoiningOutcome {
  readonly seed: number;
  readonly violations: readonly string[];
  /** Lost commits that a caller was told of. */
  readonly lostAndTold: readonly number[];
  readonly story: string;
}

/** Joins amid changes, each with other faults after it. */
export function playJoining(
  seed: number,
  disabled: readonly PromotionMechanism[] = [],
): JoiningOutcome {
  const simulation = new PromotionSimulation({ seed, services: 1, disabled });
  simulation.run(WARM_UP_MS);
  for (let round = 0; round < ROUNDS; round += 1) {
    joinInChange(simulation);
    simulation.strike(STRIKE_MS, MIXED_FAULT_KINDS);
  }
  simulation.heal();
  const { violations, story, group } = simulation;
  return { seed, violations, lostAndTold: group.lostAndTold, story };
}

function joinInChange(simulation: PromotionSimulation): void {
  const { clock, network, group, nodes, leader } = simulation;
  const unaware = clock.pick(nodes.filter((node) => node !== leader));
  const longMs = CUT_OFF_MS + HELD_WITHIN_MS;
  simulation.faults.push(`${clock.now.toFixed(0)} replica joins in a change ${unaware.name}`);
  network.cut(unaware.name, STORE, longMs);
  simulation.run(CUT_OFF_MS);
  const primary = group.leader;
  for (const { name } of nodes) {
    if (name !== unaware.name) network.cut(name, primary.address, HELD_WITHIN_MS);
  }
  for (const { address } of group.instances) {
    const isCut = address !== primary.address && clock.chance(CUT_FROM_REPLICA);
    if (isCut) network.cut(unaware.name, address, HELD_WITHIN_MS);
  }
  const isHeld = (): boolean => group.instances.some(({ heldTerm }) => heldTerm > 0);
  if (!simulation.runUntil(isHeld, STEP_MS, HELD_WITHIN_MS)) return;
  simulation.run(clock.between(0, LONGEST_JOIN_DELAY_MS));
  if (group.instances.length < MOST_INSTANCES) group.join();
}
