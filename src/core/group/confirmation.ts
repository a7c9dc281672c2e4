/**
 * Majority confirmation: what ran on the primary is held back until a majority of instances has
 * answered a probe sent after it finished and none of them shows a later timeline. Works in
 * batches, like the read-index round of Raft: one probe covers everything finished before it.
 */
import type { Topology } from '../failover/topology.js';
import { majorityOf, timelineOf } from '../failover/topology.js';
import type { Position } from '../position.js';
import type { InstanceName, RequestId } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { ConfirmationMode } from './contract.js';

/** Something that ran on a primary and waits for its confirmation. */
export interface PendingConfirmation {
  readonly requestId: RequestId;
  readonly primary: InstanceName;
  /** Position after it ran; its timeline is the term to confirm. */
  readonly position: Position;
  /** `term` for reads, the group's mode for writes. */
  readonly mode: ConfirmationMode;
  /** Only probes later than this in the owner's order count; undefined: `sinceTime` decides. */
  readonly afterSequence: number | undefined;
  /** Only probes sent at or after this time count. */
  readonly sinceTime: Milliseconds;
  readonly finishedAt: Milliseconds;
  readonly deadline: Milliseconds;
}

/** What present knowledge says of a run. */
export type ConfirmationVerdict = 'confirmed' | 'replaced' | 'pending';

/**
 * What the instances known now say of one pending confirmation. Instances on `strayTimeline` say
 * nothing.
 */
export function judge(
  pending: PendingConfirmation,
  topology: Topology,
  strayTimeline?: number,
): ConfirmationVerdict {
  let support = 1;
  for (const instance of topology.instances.values()) {
    if (instance.state === undefined) continue;
    const timeline = timelineOf(instance.state);
    if (timeline === strayTimeline) continue;
    if (timeline > pending.position.timeline) return 'replaced';
    if (instance.name === pending.primary) continue;
    if (isSupport(pending, topology, instance.name)) support += 1;
  }
  return support >= majorityOf(topology.instances.size) ? 'confirmed' : 'pending';
}

function isSupport(pending: PendingConfirmation, topology: Topology, name: InstanceName): boolean {
  const instance = topology.instances.get(name);
  if (instance?.state === undefined) return false;
  if (instance.observedAt < pending.sinceTime) return false;
  const after = pending.afterSequence;
  if (after !== undefined && instance.observedSequence <= after) return false;
  if (pending.mode === 'term') return true;
  const { receivedPosition: received } = instance.state;
  return received.timeline === pending.position.timeline && received.lsn >= pending.position.lsn;
}

/** A confirmation that came to an end. */
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

  /** How long the oldest has waited; undefined if none waits. */
  oldestAgeMs(now: Milliseconds): Milliseconds | undefined {
    const [oldest] = this.pending.values();
    return oldest === undefined ? undefined : now - oldest.finishedAt;
  }

  /** Takes out what the present knowledge settles. */
  settle(
    topology: Topology,
    now: Milliseconds,
    strayTimeline: number | undefined,
  ): SettledConfirmation[] {
    const settled: SettledConfirmation[] = [];
    for (const pending of this.pending.values()) {
      const verdict = judge(pending, topology, strayTimeline);
      if (verdict !== 'pending') settled.push({ pending, verdict });
      else if (now >= pending.deadline) settled.push({ pending, verdict: 'timed-out' });
    }
    for (const { pending } of settled) this.pending.delete(pending.requestId);
    return settled;
  }
}
