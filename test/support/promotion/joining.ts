/**
 * Replicas that join during a primary change, which the mixed model rarely draws: the leader and most nodes can't
 * reach the old primary, and one node that is cut off from the store still writes there.
 */
import type { PromotionMechanism } from '../../../src/core/promotion/contract.js';
import { MIXED_FAULT_KINDS } from './mix.js';
import { PromotionSimulation } from './simulation.js';
import { STORE } from './store.js';

const WARM_UP_MS = 3000;
const ROUNDS = 4;
/** All leases of a cut-off node have expired by then. */
const CUT_OFF_MS = 3000;
const MAX_JOIN_DELAY_MS = 600;
const STEP_MS = 5;
const HOLD_TIMEOUT_MS = 4000;
const FAULTS_MS = 3000;
/** Probability that the cut-off node can't reach a replica either, and so can't learn that it is held. */
const REPLICA_CUT_PROBABILITY = 0.3;
const MAX_INSTANCES = 5;

/** Result of a seed: violations, and faults and log lines by time. */
export interface JoiningOutcome {
  readonly seed: number;
  readonly violations: readonly string[];
  /** Lost commits that were acknowledged to a caller. */
  readonly lostAndReported: readonly number[];
  readonly eventLog: string;
}

/** Plays joins during primary changes, each followed by other faults. */
export function simulateJoins(
  seed: number,
  disabledMechanisms: readonly PromotionMechanism[] = [],
): JoiningOutcome {
  const simulation = new PromotionSimulation({
    seed,
    services: 1,
    disabledMechanisms: disabledMechanisms,
  });
  simulation.run(WARM_UP_MS);
  for (let round = 0; round < ROUNDS; round += 1) {
    joinDuringChange(simulation);
    simulation.injectFaults(FAULTS_MS, MIXED_FAULT_KINDS);
  }
  simulation.waitForFaultsToEnd();
  const { violations, eventLog, group } = simulation;
  return { seed, violations, lostAndReported: group.lostAndReported, eventLog };
}

function joinDuringChange(simulation: PromotionSimulation): void {
  const { clock, network, group, nodes, leader } = simulation;
  const cutOffNode = clock.pick(nodes.filter((node) => node !== leader));
  const totalCutMs = CUT_OFF_MS + HOLD_TIMEOUT_MS;
  simulation.faultLog.push(`${clock.now.toFixed(0)} replica joins in a change ${cutOffNode.name}`);
  network.cut(cutOffNode.name, STORE, totalCutMs);
  simulation.run(CUT_OFF_MS);
  const primary = group.primary;
  for (const { name } of nodes) {
    if (name !== cutOffNode.name) network.cut(name, primary.address, HOLD_TIMEOUT_MS);
  }
  for (const { address } of group.instances) {
    const isCut = address !== primary.address && clock.chance(REPLICA_CUT_PROBABILITY);
    if (isCut) network.cut(cutOffNode.name, address, HOLD_TIMEOUT_MS);
  }
  const isHeld = (): boolean => group.instances.some(({ heldTerm }) => heldTerm > 0);
  if (!simulation.runUntil(isHeld, STEP_MS, HOLD_TIMEOUT_MS)) return;
  simulation.run(clock.between(0, MAX_JOIN_DELAY_MS));
  if (group.instances.length < MAX_INSTANCES) group.join();
}
