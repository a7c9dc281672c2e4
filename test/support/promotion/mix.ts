/** One seed of the mixed model: every kind of fault, overlapping, with reads at replicas and a check that all heals. */
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
const STRIKE_MS = 30_000;
/** Longer than a leaving member may be silent before it counts as dead, and than a call of the promotion settles. */
const SETTLE_MS = 30_000;
const PROGRESS_MS = 2000;

export const MIXED_FAULT_KINDS: readonly FaultKind[] = [
  ...EVERY_FAULT_KIND,
  ...LATENESS_FAULT_KINDS,
  ...PARTIAL_STORE_FAULT_KINDS,
];

/** What makes an old primary the best candidate for its own place, and candidates that end amid their calls. */
export const GONE_CANDIDATE_KINDS: readonly FaultKind[] = [
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

/** What nodes know of what a copy of the store lacks. */
export const RETURN_MECHANISMS: readonly PromotionMechanism[] = [
  'era-coverage',
  'later-term',
  'noted-primary',
];

/**
 * These, and what nodes know of members beyond entries and notes. Each question and read that they add or spare changes the course of a
 * seed: one that was found before shows its story with them switched off.
 */
export const LATER_MECHANISMS: readonly PromotionMechanism[] = [
  'unlisted-members',
  'forgotten-members',
  'current-members',
  ...RETURN_MECHANISMS,
];

/** Returns of the store from a copy, beside all else. */
export const STORE_RETURN_KINDS: readonly FaultKind[] = [
  ...MIXED_FAULT_KINDS,
  ...Array.from({ length: 5 }, () => STORE_RETURN_FAULT_KINDS).flat(),
];

function isStoreReturn(kind: FaultKind): boolean {
  return STORE_RETURN_FAULT_KINDS.some((one) => one === kind);
}

/** What a seed showed: broken promises, and services that no write gets through to. */
export interface MixOutcome {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly stopped: readonly string[];
  /** Faults and log lines in order of time. */
  readonly story: string;
}

export function playMix(
  seed: number,
  kinds: readonly FaultKind[] = MIXED_FAULT_KINDS,
  disabled: readonly PromotionMechanism[] = [],
): MixOutcome {
  const simulation = new PromotionSimulation({ seed, replicaReadsTrusting: 1, disabled });
  if (kinds.some((kind) => isStoreReturn(kind))) simulation.store.keepCopies();
  simulation.run(WARM_UP_MS);
  simulation.strike(STRIKE_MS, kinds);
  simulation.heal();
  simulation.run(SETTLE_MS);
  const groups = [...simulation.groups.values()];
  const before = new Map(groups.map(({ service, commits }) => [service, commits]));
  simulation.run(PROGRESS_MS);
  const stopped = groups
    .filter(({ service, commits }) => commits === before.get(service))
    .map(({ service }) => service);
  return { seed, violations: simulation.violations, stopped, story: simulation.story };
}

/** True if the seed broke nothing and every service takes writes again. */
export function isClean({ violations, stopped }: MixOutcome): boolean {
  return violations.length === 0 && stopped.length === 0;
}
