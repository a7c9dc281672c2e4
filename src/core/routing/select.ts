/** Determines which replicas may serve a read and ranks them by expected response time. */
import type { ObservedInstance } from '../failover/topology.js';
import type { Position } from '../position.js';
import type { GroupRequest, InstanceName, ZoneName } from '../request.js';
import type { Milliseconds } from '../units.js';

/** A replica as seen by replica selection. */
export interface ReplicaCandidate {
  readonly instance: ObservedInstance;
  readonly zone: ZoneName;
  readonly leaving: boolean;
  /** Latest time as of which it is known to have replayed all of the primary's writes. */
  readonly freshAsOf: Milliseconds;
  /** Number of requests that are running on it or waiting for it. */
  readonly load: number;
  readonly slots: number;
  readonly serviceTimeMs: Milliseconds;
}

/** Rules that a test can turn off to verify that a violation is detected. */
export interface EligibilityRules {
  readonly checkPosition: boolean;
  readonly checkStaleness: boolean;
  readonly checkLeaving: boolean;
  /** If false, a read needs neither a known session nor a staleness bound. */
  readonly checkSession: boolean;
}

/** All rules turned on. */
export const ALL_RULES: EligibilityRules = {
  checkPosition: true,
  checkStaleness: true,
  checkLeaving: true,
  checkSession: true,
};

/** Expected additional response time of an instance in another zone. */
const CROSS_ZONE_LATENCY_MS = 1.5;

/**
 * True if a log that extends to `reached` is certain to contain `wanted`. LSNs only grow along one
 * history, so a log on a later timeline contains the position only if its LSN is at least as large.
 */
export function containsPosition(reached: Position, wanted: Position): boolean {
  return reached.timeline >= wanted.timeline && reached.lsn >= wanted.lsn;
}

/** True if the request's session is known and its staleness bound is greater than zero. */
export function allowsReplica(request: GroupRequest): boolean {
  return request.stalenessBoundMs > 0 && request.session.type === 'known';
}

/** True if the replica may serve the read under the given rules. */
export function isEligible(
  candidate: ReplicaCandidate,
  request: GroupRequest,
  now: Milliseconds,
  rules: EligibilityRules = ALL_RULES,
): boolean {
  const { state, reachability } = candidate.instance;
  if (state === undefined || reachability !== 'reachable' || state.writable) return false;
  if (rules.checkLeaving && candidate.leaving) return false;
  if (request.access !== 'read' || request.hold !== 'statement') return false;
  if (rules.checkSession && !allowsReplica(request)) return false;
  if (rules.checkPosition && !hasReplayedSessionPosition(candidate, request)) return false;
  return !rules.checkStaleness || now - candidate.freshAsOf <= request.stalenessBoundMs;
}

function hasReplayedSessionPosition(
  { instance }: ReplicaCandidate,
  { session }: GroupRequest,
): boolean {
  if (instance.state === undefined || session.type === 'unknown') return false;
  return containsPosition(instance.state.replayedPosition, session.position);
}

/** Expected time for the replica to answer one additional request. */
export function expectedResponseTimeMs(
  candidate: ReplicaCandidate,
  localZone: ZoneName,
): Milliseconds {
  const zoneLatencyMs = candidate.zone === localZone ? 0 : CROSS_ZONE_LATENCY_MS;
  const queueingFactor = Math.max(0, candidate.load - candidate.slots + 1) / candidate.slots;
  const concurrencyFactor = candidate.load / candidate.slots;
  return candidate.serviceTimeMs * (1 + queueingFactor + concurrencyFactor) + zoneLatencyMs;
}

/** Sorts eligible replicas by expected response time, shortest first; `avoidedInstance` is last. */
export function rankReplicas(
  candidates: readonly ReplicaCandidate[],
  request: GroupRequest,
  ownerZone: ZoneName,
  avoidedInstance: InstanceName | undefined,
): readonly ReplicaCandidate[] {
  const costMs = (candidate: ReplicaCandidate): number => {
    const penalty = candidate.instance.name === avoidedInstance ? Number.MAX_SAFE_INTEGER : 0;
    return expectedResponseTimeMs(candidate, ownerZone || request.zone) + penalty;
  };
  return [...candidates].sort((left, right) => costMs(left) - costMs(right));
}
