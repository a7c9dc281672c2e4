/**
 * What this node knows of the members and of itself: takes in updates, refutes what is said wrongly
 * of this node, keeps the deadlines of suspicion, and queues what others must hear.
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

/** Told of what changed; the machine turns it into effects. */
export interface KnowledgeListener {
  onMemberChanged(event: MemberEvent): void;
  /** A member became live that was unknown or dead before. */
  onMemberLive(update: MemberUpdate): void;
  onIncarnationRaised(incarnation: number): void;
  /** The machine list's mark for this node id. */
  isListedLeaving(nodeId: string): boolean;
}

/** What a node knows of itself and the others. */
export class MembershipKnowledge {
  readonly table = new MemberTable();
  readonly queue = new DisseminationQueue();
  readonly #options: MembershipOptions;
  readonly #listener: KnowledgeListener;
  readonly #suspicions = new Deadlines();
  readonly #tombstones = new Deadlines();
  #self: MemberUpdate;

  constructor(self: MemberUpdate, options: MembershipOptions, listener: KnowledgeListener) {
    this.#self = self;
    this.#options = options;
    this.#listener = listener;
  }

  get self(): MemberUpdate {
    return this.#self;
  }

  /** Changes what this node says of itself and, if others must hear of it, queues it. */
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

  /** Sends of each update by this node, at the present number of members. */
  maxSends(): number {
    return Math.ceil(this.#options.retransmitMultiplier * this.#logMembers());
  }

  /**
   * Takes in one update, from its subject or from others. `spread`: pass it on; a node that joins
   * does not repeat the table that it was just given.
   */
  apply(told: MemberUpdate, now: Milliseconds, spread = true): void {
    if (told.nodeId === this.#self.nodeId) {
      this.#applyToSelf(told);
      return;
    }
    const known = this.table.get(told.nodeId);
    // A death of somebody unknown is no news, and must not outlive the tombstones of others.
    if (known === undefined && told.liveness === 'dead') return;
    const merged = known === undefined ? told : mergeUpdates(known, told);
    if (merged !== known) this.#accept(known, merged, now, spread);
  }

  /** A probe of this member failed. The verdict is about what was known when the probe began. */
  suspect(target: MemberUpdate, now: Milliseconds): void {
    const known = this.table.get(target.nodeId);
    if (known === undefined || known.liveness !== 'alive') return;
    if (differsInState(known, target)) return;
    this.apply({ ...known, liveness: 'suspect' }, now);
  }

  /** There is proof that this life of the member is over. */
  declareDead(nodeId: string, now: Milliseconds): void {
    const known = this.table.get(nodeId);
    if (known !== undefined) this.apply({ ...known, liveness: 'dead' }, now);
  }

  runTimers(now: Milliseconds): void {
    for (const nodeId of this.#suspicions.takeDue(now)) this.declareDead(nodeId, now);
    for (const nodeId of this.#tombstones.takeDue(now)) this.table.delete(nodeId);
  }

  /** Ids of dead members that are still remembered. */
  deadIds(): string[] {
    return this.#tombstones.ids();
  }

  /** This node was paused: what it did not hear meanwhile is nobody's fault. */
  postpone(delay: Milliseconds): void {
    this.#suspicions.postpone(delay);
  }

  nextDeadline(): Milliseconds {
    return this.#suspicions.next();
  }

  #accept(
    known: MemberUpdate | undefined,
    merged: MemberUpdate,
    now: Milliseconds,
    spread: boolean,
  ): void {
    const wasLive = known !== undefined && known.liveness !== 'dead';
    const kept = this.table.set(merged);
    const isNews = known === undefined || differsInState(known, merged);
    if (spread && isNews) this.queue.add(kept);
    this.#setDeadlines(known, merged, now);
    if (!wasLive && merged.liveness !== 'dead') this.#listener.onMemberLive(merged);
    this.#tell(known, merged);
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

  #tell(known: MemberUpdate | undefined, merged: MemberUpdate): void {
    const change = changeOf(known, merged);
    if (change === undefined) return;
    this.#listener.onMemberChanged({ change, member: this.describe(merged) });
  }

  #applyToSelf(told: MemberUpdate): void {
    const self = this.#self;
    if (told.incarnation > self.incarnation) {
      // Another life with our name and a later start: our clock was set back over the restart.
      this.updateSelf({ incarnation: told.incarnation + 1, version: 0 });
      this.#listener.onIncarnationRaised(this.#self.incarnation);
      return;
    }
    const isWrong = told.liveness !== 'alive' && self.liveness === 'alive';
    const isCurrent = told.incarnation === self.incarnation && told.version >= self.version;
    if (isWrong && isCurrent) this.updateSelf({ version: told.version + 1 });
  }

  #suspicionMs(): Milliseconds {
    const periods = this.#options.suspicionMultiplier * this.#logMembers();
    return periods * this.#options.probePeriodMs;
  }

  /** log10 of the number of members with this one, at least 1. */
  #logMembers(): number {
    return Math.max(1, Math.log10(this.table.liveCount + 1));
  }
}

function changeOf(
  known: MemberUpdate | undefined,
  merged: MemberUpdate,
): MemberEvent['change'] | undefined {
  const isNewLife = known === undefined || known.incarnation !== merged.incarnation;
  if (merged.liveness === 'dead') {
    if (known?.liveness === 'dead') return undefined;
    return merged.leaving ? 'left' : 'failed';
  }
  if (isNewLife || known.liveness === 'dead') return 'joined';
  if (merged.liveness === 'suspect' && known.liveness !== 'suspect') return 'suspected';
  if (statusOf(known, false) !== statusOf(merged, false)) return 'updated';
  const sameRevision = known.configurationRevision === merged.configurationRevision;
  return sameRevision ? undefined : 'revision-changed';
}
