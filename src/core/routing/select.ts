/**
 * Which replicas may serve a read, and which of them should: pure functions over descriptions.
 */
import type { ObservedInstance } from '../failover/topology.js';
import type { Position } from '../position.js';
import type { GroupRequest, InstanceName, ZoneName } from '../request.js';
import type { Milliseconds } from '../units.js';

/** What the choice needs to know of a replica. */
export interface ReplicaCandidate {
  readonly knowledge: ObservedInstance;
  readonly zone: ZoneName;
  readonly leaving: boolean;
  /** As of when its data are known to be complete. */
  readonly freshAsOf: Milliseconds;
  /** Requests running on it and waiting for it. */
  readonly load: number;
  readonly slots: number;
  readonly serviceTimeMs: Milliseconds;
}

/** Rules that a test may turn off, to see that their absence is noticed. */
export interface EligibilityRules {
  readonly checkPosition: boolean;
  readonly checkStaleness: boolean;
  readonly checkLeaving: boolean;
  /** Off: a read needs neither a known session nor a staleness bound. */
  readonly checkSession: boolean;
}

/** The rules with nothing turned off. */
export const ALL_RULES: EligibilityRules = {
  checkPosition: true,
  checkStaleness: true,
  checkLeaving: true,
  checkSession: true,
};

/** Expected extra time of an instance in another zone than the gateway's. */
const OTHER_ZONE_MS = 1.5;

/**
 * True if a log at `reached` surely contains `wanted`. Along one history LSNs only grow, so a
 * later timeline contains the position only if its LSN is no smaller.
 */
export function containsPosition(reached: Position, wanted: Position): boolean {
  return reached.timeline >= wanted.timeline && reached.lsn >= wanted.lsn;
}

/** True if the request leaves room for a replica: its session is known and it has a bound. */
export function toleratesReplica(request: GroupRequest): boolean {
  return request.stalenessBoundMs > 0 && request.session.type === 'known';
}

/** True if the replica may lawfully serve the read. */
export function isEligible(
  candidate: ReplicaCandidate,
  request: GroupRequest,
  now: Milliseconds,
  rules: EligibilityRules = ALL_RULES,
): boolean {
  const { state, reachability } = candidate.knowledge;
  if (state === undefined || reachability !== 'reachable' || state.writable) return false;
  if (rules.checkLeaving && candidate.leaving) return false;
  if (request.access !== 'read' || request.hold !== 'statement') return false;
  if (rules.checkSession && !toleratesReplica(request)) return false;
  if (rules.checkPosition && !hasSeenSession(candidate, request)) return false;
  return !rules.checkStaleness || now - candidate.freshAsOf <= request.stalenessBoundMs;
}

function hasSeenSession({ knowledge }: ReplicaCandidate, { session }: GroupRequest): boolean {
  if (knowledge.state === undefined || session.type === 'unknown') return false;
  return containsPosition(knowledge.state.replayed, session.position);
}

/** Expected time until an instance would have answered one more request. */
export function expectedTimeMs(candidate: ReplicaCandidate, gatewayZone: ZoneName): Milliseconds {
  const distance = candidate.zone === gatewayZone ? 0 : OTHER_ZONE_MS;
  const waiting = Math.max(0, candidate.load - candidate.slots + 1) / candidate.slots;
  const sharing = candidate.load / candidate.slots;
  return candidate.serviceTimeMs * (1 + waiting + sharing) + distance;
}

/** Eligible replicas, best first. `avoid` comes last. */
export function rankReplicas(
  candidates: readonly ReplicaCandidate[],
  request: GroupRequest,
  ownZone: ZoneName,
  avoid: InstanceName | undefined,
): readonly ReplicaCandidate[] {
  const cost = (candidate: ReplicaCandidate): number => {
    const penalty = candidate.knowledge.name === avoid ? Number.MAX_SAFE_INTEGER : 0;
    return expectedTimeMs(candidate, ownZone || request.zone) + penalty;
  };
  return [...candidates].sort((left, right) => cost(left) - cost(right));
}
