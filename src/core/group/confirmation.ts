/**
 * Majority confirmation: the response of a request that ran on the primary is withheld until a
 * majority of instances has responded to a probe that is new enough and none of them reports a
 * later timeline. For a write, the probe must have been sent after the write finished. As in Raft's
 * ReadIndex, confirmations are batched: one probe counts for every request that finished before it.
 */
import type { Topology } from '../failover/topology.js';
import { majorityOf, timelineOf } from '../failover/topology.js';
import type { Position } from '../position.js';
import type { InstanceName, RequestId } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { ConfirmationMode } from './contract.js';

/** A request that ran on a primary and waits for its confirmation. */
export interface PendingConfirmation {
  readonly requestId: RequestId;
  readonly primary: InstanceName;
  /** Log position after the request ran; its timeline is the term to confirm. */
  readonly position: Position;
  /** `term` for reads, the group's mode for writes. */
  readonly mode: ConfirmationMode;
  /** Only probes with a higher sequence number count; undefined if only `sinceTime` decides. */
  readonly afterSequence: number | undefined;
  /** Only probes sent at or after this time count. */
  readonly sinceTime: Milliseconds;
  readonly finishedAt: Milliseconds;
  readonly deadline: Milliseconds;
}

/** Result of checking a pending confirmation against the instances' reported state. */
export type ConfirmationVerdict = 'confirmed' | 'replaced' | 'pending';

/**
 * Checks one pending confirmation against the instances' reported state. Instances on
 * `minorityTimeline` are ignored: they neither confirm the request nor count as a replacement.
 */
export function judgeConfirmation(
  pending: PendingConfirmation,
  topology: Topology,
  minorityTimeline?: number,
): ConfirmationVerdict {
  let support = 1;
  for (const instance of topology.instances.values()) {
    if (instance.state === undefined) continue;
    const timeline = timelineOf(instance.state);
    if (timeline === minorityTimeline) continue;
    if (timeline > pending.position.timeline) return 'replaced';
    if (instance.name === pending.primary) continue;
    if (isConfirmedBy(pending, topology, instance.name)) support += 1;
  }
  return support >= majorityOf(topology.instances.size) ? 'confirmed' : 'pending';
}

function isConfirmedBy(
  pending: PendingConfirmation,
  topology: Topology,
  name: InstanceName,
): boolean {
  const instance = topology.instances.get(name);
  if (instance?.state === undefined) return false;
  if (instance.observedAt < pending.sinceTime) return false;
  const after = pending.afterSequence;
  if (after !== undefined && instance.observedSequence <= after) return false;
  if (pending.mode === 'term') return true;
  const { receivedPosition: received } = instance.state;
  return received.timeline === pending.position.timeline && received.lsn >= pending.position.lsn;
}

/** A confirmation that was decided or timed out. */
export interface SettledConfirmation {
  readonly pending: PendingConfirmation;
  readonly verdict: 'confirmed' | 'replaced' | 'timed-out';
}

/** All pending confirmations of a group. */
export class ConfirmationTable {
  private readonly pending = new Map<RequestId, PendingConfirmation>();

  get size(): number {
    return this.pending.size;
  }

  add(pending: PendingConfirmation): void {
    this.pending.set(pending.requestId, pending);
  }

  remove(requestId: RequestId): void {
    this.pending.delete(requestId);
  }

  /** How long the oldest pending confirmation has waited; undefined if there is none. */
  oldestAgeMs(now: Milliseconds): Milliseconds | undefined {
    const [oldest] = this.pending.values();
    return oldest === undefined ? undefined : now - oldest.finishedAt;
  }

  /** Removes and returns the confirmations that are decided or have timed out. */
  takeSettled(
    topology: Topology,
    now: Milliseconds,
    minorityTimeline: number | undefined,
  ): SettledConfirmation[] {
    const settled: SettledConfirmation[] = [];
    for (const pending of this.pending.values()) {
      const verdict = judgeConfirmation(pending, topology, minorityTimeline);
      if (verdict !== 'pending') settled.push({ pending, verdict });
      else if (now >= pending.deadline) settled.push({ pending, verdict: 'timed-out' });
    }
    for (const { pending } of settled) this.pending.delete(pending.requestId);
    return settled;
  }
}
