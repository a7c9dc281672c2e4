/**
 * A node's view of the members and of itself: applies updates, refutes wrong reports about this node,
 * keeps the deadlines of suspicions, and queues updates for dissemination.
 */
import type { Milliseconds } from '../units.js';
import type { MemberEvent, MembershipOptions } from './contract.js';
import { Deadlines } from './deadlines.js';
import { DisseminationQueue } from './dissemination.js';
import {
  describeMember,
  differsInState,
  type Member,
  type MemberUpdate,
  mergeUpdates,
  statusOf,
} from './member.js';
import { MemberTable } from './member-table.js';

/** Receives changes of the state; the state machine turns them into effects. */
export interface MembershipListener {
  onMemberChanged(event: MemberEvent): void;
  /** A member that was unknown or dead became live. */
  onMemberLive(update: MemberUpdate): void;
  onIncarnationRaised(incarnation: number): void;
  /** Whether the machine list marks this node id as leaving. */
  isListedLeaving(nodeId: string): boolean;
}

/** A node's view of itself and of the other members. */
export class MembershipState {
  readonly table = new MemberTable();
  readonly queue = new DisseminationQueue();
  readonly #options: MembershipOptions;
  readonly #listener: MembershipListener;
  readonly #suspicions = new Deadlines();
  readonly #tombstones = new Deadlines();
  #self: MemberUpdate;

  constructor(self: MemberUpdate, options: MembershipOptions, listener: MembershipListener) {
    this.#self = self;
    this.#options = options;
    this.#listener = listener;
  }

  get self(): MemberUpdate {
    return this.#self;
  }

  /** Changes this node's own entry and queues it if its state has changed. */
  updateSelf(change: Partial<MemberUpdate>): void {
    const previous = this.#self;
    this.#self = { ...previous, ...change };
    if (differsInState(previous, this.#self)) this.queue.add(this.#self);
  }

  isLive(nodeId: string): boolean {
    const known = this.table.get(nodeId);
    return known !== undefined && known.liveness !== 'dead';
  }

  describe(update: MemberUpdate): Member {
    return describeMember(update, this.#listener.isListedLeaving(update.nodeId));
  }

  /** How often this node sends each update, for the current number of members. */
  maxSends(): number {
    return Math.ceil(this.#options.retransmitMultiplier * this.#logMembers());
  }

  /**
   * Applies one update, from its subject or from another member. `spread`: also queue it for
   * dissemination; a joining node does not repeat the table that it has just received.
   */
  apply(received: MemberUpdate, now: Milliseconds, spread = true): void {
    if (received.nodeId === this.#self.nodeId) {
      this.#applyToSelf(received);
      return;
    }
    const known = this.table.get(received.nodeId);
    // The death of an unknown member is irrelevant, and a tombstone for it would keep the entry in circulation after
    // the tombstones of the other nodes have expired.
    if (known === undefined && received.liveness === 'dead') return;
    const merged = known === undefined ? received : mergeUpdates(known, received);
    if (merged !== known) this.#store(known, merged, now, spread);
  }

  /** Suspects a member whose probe failed, unless its state has changed since the probe started. */
  suspect(target: MemberUpdate, now: Milliseconds): void {
    const known = this.table.get(target.nodeId);
    if (known === undefined || known.liveness !== 'alive') return;
    if (differsInState(known, target)) return;
    this.apply({ ...known, liveness: 'suspect' }, now);
  }

  /** Declares the member dead: there is proof that its known incarnation has ended. */
  declareDead(nodeId: string, now: Milliseconds): void {
    const known = this.table.get(nodeId);
    if (known !== undefined) this.apply({ ...known, liveness: 'dead' }, now);
  }

  runTimers(now: Milliseconds): void {
    for (const nodeId of this.#suspicions.takeDue(now)) this.declareDead(nodeId, now);
    for (const nodeId of this.#tombstones.takeDue(now)) this.table.delete(nodeId);
  }

  /** Ids of dead members that have not been removed yet. */
  deadIds(): string[] {
    return this.#tombstones.ids();
  }

  /** Postpones the suspicions after this node was paused: it could not receive refutations meanwhile. */
  postpone(delay: Milliseconds): void {
    this.#suspicions.postpone(delay);
  }

  nextDeadline(): Milliseconds {
    return this.#suspicions.next();
  }

  #store(
    known: MemberUpdate | undefined,
    merged: MemberUpdate,
    now: Milliseconds,
    spread: boolean,
  ): void {
    const wasLive = known !== undefined && known.liveness !== 'dead';
    const kept = this.table.set(merged);
    const differs = known === undefined || differsInState(known, merged);
    if (spread && differs) this.queue.add(kept);
    this.#setDeadlines(known, merged, now);
    if (!wasLive && merged.liveness !== 'dead') this.#listener.onMemberLive(merged);
    this.#notifyChange(known, merged);
  }

  #setDeadlines(known: MemberUpdate | undefined, merged: MemberUpdate, now: Milliseconds): void {
    const { nodeId, liveness, incarnation, version } = merged;
    const isSameState =
      known?.liveness === liveness &&
      known.incarnation === incarnation &&
      known.version === version;
    if (isSameState) return;
    this.#suspicions.clear(nodeId);
    this.#tombstones.clear(nodeId);
    if (liveness === 'suspect') this.#suspicions.set(nodeId, now + this.#suspicionMs());
    if (liveness === 'dead') this.#tombstones.set(nodeId, now + this.#options.deadRetentionMs);
  }

  #notifyChange(known: MemberUpdate | undefined, merged: MemberUpdate): void {
    const change = changeOf(known, merged);
    if (change === undefined) return;
    this.#listener.onMemberChanged({ change, member: this.describe(merged) });
  }

  #applyToSelf(received: MemberUpdate): void {
    const self = this.#self;
    if (received.incarnation > self.incarnation) {
      // A previous process with this node id has a higher incarnation: the clock was set back before the restart.
      this.updateSelf({ incarnation: received.incarnation + 1, version: 0 });
      this.#listener.onIncarnationRaised(this.#self.incarnation);
      return;
    }
    const needsRefutation = received.liveness !== 'alive' && self.liveness === 'alive';
    const isCurrent = received.incarnation === self.incarnation && received.version >= self.version;
    if (needsRefutation && isCurrent) this.updateSelf({ version: received.version + 1 });
  }

  #suspicionMs(): Milliseconds {
    const periods = this.#options.suspicionMultiplier * this.#logMembers();
    return periods * this.#options.probePeriodMs;
  }

  /** log10 of the number of members including this node, at least 1. */
  #logMembers(): number {
    return Math.max(1, Math.log10(this.table.liveCount + 1));
  }
}

function changeOf(
  known: MemberUpdate | undefined,
  merged: MemberUpdate,
): MemberEvent['change'] | undefined {
  const isNewIncarnation = known === undefined || known.incarnation !== merged.incarnation;
  if (merged.liveness === 'dead') {
    if (known?.liveness === 'dead') return undefined;
    return merged.leaving ? 'left' : 'failed';
  }
  if (isNewIncarnation || known.liveness === 'dead') return 'joined';
  if (merged.liveness === 'suspect' && known.liveness !== 'suspect') return 'suspected';
  if (statusOf(known, false) !== statusOf(merged, false)) return 'updated';
  const sameRevision = known.configurationRevision === merged.configurationRevision;
  return sameRevision ? undefined : 'revision-changed';
}
