/**
 * Tracks every instance of a service that may hold an acknowledged commit that no other has received. An instance
 * whose registration is gone is removed only once another is proven to have what it had.
 */
import type { InstanceEntry, InstanceStatus } from '../../direct/contract.js';
import { comparePositions, type Position } from '../position.js';
import type { Milliseconds } from '../units.js';
import type { ControlFailure } from './contract.js';
import type { LeaderStore } from './leader-store.js';
import type { PromotionTimings } from './options.js';
import type { Primaries } from './primaries.js';
import type { PromotionRuntime } from './runtime.js';
import { Scope } from './scope.js';

const CHECK_PERIOD_MS = 1000;
/** Time for which a registration must be missing before its member is checked. */
const CHECK_MISSING_AFTER_MS = 1000;
const MAX_DEPARTED_MEMBERS = 6;

export class GroupMembers {
  readonly #scope: Scope;
  #isWriting = false;
  /** End of the primary's log, by id of a missing member: read after that member was found dead. */
  readonly #primaryEndAfterDeath = new Map<string, Position>();
  /** Time of the last response of any kind from each missing member. */
  readonly #lastResponseAt = new Map<string, Milliseconds>();
  #startedAt: Milliseconds = Number.POSITIVE_INFINITY;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly primaries: Primaries,
    private readonly store: LeaderStore,
    readonly service: string,
  ) {
    this.#scope = new Scope(runtime);
  }

  start(): void {
    this.#startedAt = this.runtime.now;
    this.update();
    this.#probeDeparted();
    this.#scope.after(CHECK_PERIOD_MS, () => this.#check());
  }

  stop(): void {
    this.#scope.end();
  }

  /** All members: those that are registered, and those that only records or nodes still list. */
  current(): InstanceEntry[] {
    const present = this.primaries.registeredInstances(this.service);
    const addresses = new Set(present.map(addressOf));
    // A missing member's log passes to the instance that now has its address, unless that is a new incarnation of
    // the member itself.
    const missing = this.#knownMembers()
      .filter((member) => !this.primaries.isRegistered(member.id))
      .filter(
        (member) => this.primaries.hasNewIncarnation(member) || !addresses.has(addressOf(member)),
      );
    return [...present, ...missing];
  }

  #knownMembers(): readonly InstanceEntry[] {
    const { members } = this.store.handoverOf(this.service);
    const ids = new Set(members.map(({ id }) => id));
    const others = new Map<string, InstanceEntry>();
    const additional = [...this.store.membersNewerThanHandover(this.service), ...this.#unlisted()];
    for (const member of additional) if (!ids.has(member.id)) others.set(member.id, member);
    return others.size === 0 ? members : [...members, ...others.values()];
  }

  /** Members that no record lists and that this node has seen, or other nodes by their acknowledgements. */
  #unlisted(): readonly InstanceEntry[] {
    if (this.runtime.isDisabled('unlisted-members')) return [];
    return [
      ...this.primaries.unlisted(this.service),
      ...this.store.unlistedMembersFromNodes(this.service),
    ];
  }

  /** Departed members without a registration, in case they come back. */
  departed(): InstanceEntry[] {
    const current = this.current();
    const recorded = this.store.handoverOf(this.service).departed;
    const departed = this.runtime.era.hasStoreBeenRestored
      ? [...recorded, ...this.#remembered(recorded)]
      : recorded;
    return departed.filter(({ id }) => current.every((member) => member.id !== id));
  }

  /**
   * A restore of the store may have reverted the handover record: any instance that this node remembers may since
   * have been removed from the members, and may come back.
   */
  #remembered(recorded: readonly InstanceEntry[]): InstanceEntry[] {
    const ids = new Set(recorded.map(({ id }) => id));
    return this.primaries.rememberedInstances(this.service).filter(({ id }) => !ids.has(id));
  }

  /** Brings the handover record in the store up to date. */
  update(): void {
    const members = this.current();
    const handover = this.store.handoverOf(this.service);
    const primary = this.primaries.primaryIdOf(this.service) ?? handover.primary;
    const isSame = primary === handover.primary && areSameMembers(members, handover.members);
    const isPublished = this.store.areMembersPublished(this.service);
    if ((isSame && isPublished) || members.length === 0) return;
    this.#write(members, primary);
  }

  #write(
    members: readonly InstanceEntry[],
    primary: string | undefined,
    departed?: readonly InstanceEntry[],
  ): void {
    if (this.#isWriting) return;
    this.#isWriting = true;
    const known = this.store.handoverOf(this.service);
    const handover = { ...known, members, primary, departed: departed ?? known.departed };
    const onDone = this.#scope.guard((succeeded: boolean) => {
      this.#isWriting = false;
      const waitMs = succeeded ? 0 : this.runtime.timings.storeRetryDelayMs;
      this.#scope.after(waitMs, () => this.update());
    });
    this.store.write({ service: this.service, handover }, onDone);
  }

  #check(): void {
    this.#scope.after(CHECK_PERIOD_MS, () => this.#check());
    this.update();
    this.#probeDeparted();
    const missing = this.current().filter(({ id }) => {
      const missingMs = this.primaries.missingForMs(id, this.runtime.now);
      return missingMs !== undefined && missingMs >= CHECK_MISSING_AFTER_MS;
    });
    for (const known of [this.#primaryEndAfterDeath, this.#lastResponseAt]) {
      for (const id of known.keys()) {
        if (!missing.some((member) => member.id === id)) known.delete(id);
      }
    }
    const primaryId = this.primaries.primaryIdOf(this.service);
    if (primaryId === undefined) return;
    for (const member of missing) if (member.id !== primaryId) this.#checkMember(member, primaryId);
  }

  /** A departed member that responds may count towards commits again, registered or not. */
  #probeDeparted(): void {
    if (this.runtime.isDisabled('forgotten-members')) return;
    for (const member of this.departed()) {
      const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
        if (answer !== 'refused' && answer !== 'silent') this.#readmit(member);
      });
      this.runtime.control('status', member, 0, onAnswer);
    }
  }

  #readmit(member: InstanceEntry): void {
    const { members, departed, primary } = this.store.handoverOf(this.service);
    if (this.#isWriting || members.some(({ id }) => id === member.id)) return;
    this.runtime.log('info', 'member is back', { service: this.service, member: member.id });
    const others = departed.filter(({ id }) => id !== member.id);
    this.#write([...members, member], primary, others);
  }

  #checkMember(member: InstanceEntry, primaryId: string): void {
    const end = this.#primaryEndAfterDeath.get(member.id);
    if (end !== undefined) {
      this.#findReplicaWith(end, member, primaryId);
      return;
    }
    if (this.primaries.hasNewIncarnation(member)) {
      this.#readPrimaryEnd(member, primaryId);
      return;
    }
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      if (answer !== 'silent') this.#lastResponseAt.set(member.id, this.runtime.now);
      const silentForMs = this.#silentForMs(member.id);
      if (isMemberDead(answer, silentForMs, this.runtime.timings)) {
        this.#readPrimaryEnd(member, primaryId);
      }
    });
    this.runtime.control('status', member, 0, onAnswer);
  }

  /**
   * A member that has responded since its registration ended is alive, and this leader knows of no silence before
   * its own first query.
   */
  #silentForMs(id: string): Milliseconds {
    const { now } = this.runtime;
    const missingMs = this.primaries.missingForMs(id, now) ?? 0;
    const lastResponseAt = this.#lastResponseAt.get(id) ?? Number.NEGATIVE_INFINITY;
    return Math.min(missingMs, now - Math.max(this.#startedAt, lastResponseAt));
  }

  #readPrimaryEnd(member: InstanceEntry, primaryId: string): void {
    const primary = this.primaries.instance(primaryId);
    if (primary === undefined) return;
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      if (typeof answer === 'string' || answer.role !== 'primary') return;
      this.#primaryEndAfterDeath.set(member.id, answer.received);
      this.#findReplicaWith(answer.received, member, primaryId);
    });
    this.runtime.control('status', primary, 0, onAnswer);
  }

  #findReplicaWith(end: Position, member: InstanceEntry, primaryId: string): void {
    for (const replica of this.primaries.registeredInstances(this.service)) {
      if (replica.id === primaryId) continue;
      const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
        if (typeof answer === 'string' || answer.role !== 'replica') return;
        if (comparePositions(answer.received, end) >= 0) this.#removeMember(member);
      });
      this.runtime.control('status', replica, 0, onAnswer);
    }
  }

  #removeMember({ id }: InstanceEntry): void {
    this.#primaryEndAfterDeath.delete(id);
    const handover = this.store.handoverOf(this.service);
    const members = handover.members.filter((member) => member.id !== id);
    if (members.length === handover.members.length || this.primaries.isRegistered(id)) return;
    if (this.primaries.primaryIdOf(this.service) === undefined) return;
    const removed = handover.members.filter((one) => one.id === id);
    const departed = [...removed, ...handover.departed.filter((one) => one.id !== id)];
    if (!this.runtime.isDisabled('forgotten-members')) {
      for (const one of removed) this.primaries.addDeparted(one, this.runtime.now);
    }
    const left = members.map((one) => one.id);
    this.runtime.log('info', 'member forgotten', { service: this.service, member: id, left });
    this.#write(members, handover.primary, departed.slice(0, MAX_DEPARTED_MEMBERS));
  }
}

/**
 * Whether a missing member certainly receives nothing any more: judged by its response to a query now, and by the
 * time for which, with the store available, its registration has been missing without any response. An announced
 * shutdown makes no difference: cut off from the store and from this node, the member may continue to serve, and be
 * the only one that receives commits.
 */
export function isMemberDead(
  answer: InstanceStatus | ControlFailure,
  silentForMs: Milliseconds,
  { memberDeadAfterMs }: Pick<PromotionTimings, 'memberDeadAfterMs'>,
): boolean {
  return answer === 'refused' || (answer === 'silent' && silentForMs >= memberDeadAfterMs);
}

function addressOf({ host, port }: InstanceEntry): string {
  return `${host}:${port}`;
}

function areSameMembers(left: readonly InstanceEntry[], right: readonly InstanceEntry[]): boolean {
  if (left.length !== right.length) return false;
  return left.every((member) =>
    right.some(({ id, host, port }) => {
      return id === member.id && host === member.host && port === member.port;
    }),
  );
}
