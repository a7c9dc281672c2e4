/** The mixed model: overlapping faults of all kinds, reads at replicas, and a check that every service recovers. */
import type { PromotionMechanism } from '../../../src/core/promotion/contract.js';
import {
  CANDIDATE_FAULT_KINDS,
  EVERY_FAULT_KIND,
  type FaultKind,
  LATENESS_FAULT_KINDS,
  PARTIAL_STORE_FAULT_KINDS,
  PromotionSimulation,
  STORE_RETURN_FAULT_KINDS,
} from './simulation.js';

const WARM_UP_MS = 3000;
const FAULTS_MS = 30_000;
/** Longer than a leaving member may be unresponsive before it counts as dead, and than a promotion call settles. */
const SETTLING_MS = 30_000;
const PROGRESS_MS = 2000;

export const MIXED_FAULT_KINDS: readonly FaultKind[] = [
  ...EVERY_FAULT_KIND,
  ...LATENESS_FAULT_KINDS,
  ...PARTIAL_STORE_FAULT_KINDS,
];

/** Faults that make an old primary the best candidate itself, and candidates that end during their promotion calls. */
export const GONE_CANDIDATE_MIX: readonly FaultKind[] = [
  ...CANDIDATE_FAULT_KINDS,
  ...CANDIDATE_FAULT_KINDS,
  'primary cut from replicas',
  'primary cut from leader',
  'all replicas deaf',
  'replica crash',
  'replica leaves unannounced',
  'platform answers lost',
  'primary replaced in place',
  'node kill',
];

/** Mechanisms by which nodes keep facts that a restored store lacks. */
const STORE_RESTORE_MECHANISMS: readonly PromotionMechanism[] = [
  'era-coverage',
  'later-term',
  'noted-primary',
];

/**
 * The mechanisms above, and those by which nodes know members without a registration or record. Each request that they
 * add or save changes the course of a seed, so seeds found without them show their fault only with them disabled.
 */
export const LATER_MECHANISMS: readonly PromotionMechanism[] = [
  'unlisted-members',
  'forgotten-members',
  'current-members',
  'fresh-suspicions',
  ...STORE_RESTORE_MECHANISMS,
];

/** All faults, with restores of the store from a backup at a higher rate. */
export const STORE_RESTORE_MIX: readonly FaultKind[] = [
  ...MIXED_FAULT_KINDS,
  ...Array.from({ length: 5 }, () => STORE_RETURN_FAULT_KINDS).flat(),
];

function isStoreRestore(kind: FaultKind): boolean {
  return STORE_RETURN_FAULT_KINDS.some((one) => one === kind);
}

/** Result of a seed: violations, and services that no longer accept writes. */
export interface MixOutcome {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly servicesWithoutWrites: readonly string[];
  /** Faults and log lines by time. */
  readonly eventLog: string;
}

export function simulateMixedFaults(
  seed: number,
  kinds: readonly FaultKind[] = MIXED_FAULT_KINDS,
  disabledMechanisms: readonly PromotionMechanism[] = [],
): MixOutcome {
  const simulation = new PromotionSimulation({
    seed,
    assumedSyncReplicas: 1,
    disabledMechanisms: disabledMechanisms,
  });
  if (kinds.some((kind) => isStoreRestore(kind))) simulation.store.takeBackups();
  simulation.run(WARM_UP_MS);
  simulation.injectFaults(FAULTS_MS, kinds);
  simulation.waitForFaultsToEnd();
  simulation.run(SETTLING_MS);
  const groups = [...simulation.groups.values()];
  const before = new Map(groups.map(({ service, commits }) => [service, commits]));
  simulation.run(PROGRESS_MS);
  const servicesWithoutWrites = groups
    .filter(({ service, commits }) => commits === before.get(service))
    .map(({ service }) => service);
  return {
    seed,
    violations: simulation.violations,
    servicesWithoutWrites: servicesWithoutWrites,
    eventLog: simulation.eventLog,
  };
}

/** True if the seed has no violation and every service accepts writes again. */
export function isClean({ violations, servicesWithoutWrites }: MixOutcome): boolean {
  return violations.length === 0 && servicesWithoutWrites.length === 0;
}
