/**
 * Replication among the members of one database group: log shipping, the wait for synchronous
 * replicas, promotion, and the demotion of an old primary.
 */
import type { Milliseconds } from '../../src/core/units.js';
import type { LogEntry, LogPosition, Member } from './member.js';
import { monotonicMs } from './monotonic.js';

const TICK_INTERVAL_MS = 20;
/** An old primary demotes itself after it could reach the new one for this time. */
const STEP_DOWN_AFTER_MS = 1000;
/** Time for which a replica answers BUSY after it was rolled back. */
const ROLLED_BACK_BUSY_MS = 200;

export interface GroupOptions {
  readonly service: string;
  readonly syncReplicas: number;
  readonly networkMs: Milliseconds;
  readonly promoteMs: Milliseconds;
}

/** A promotion that took effect. */
export interface PromotionEffect extends LogPosition {
  readonly service: string;
  readonly id: string;
  /** Term of the new primary; `term` and `number` are the last position of its log. */
  readonly leads: number;
  readonly at: Milliseconds;
}

/** `deposed`: the primary was replaced or stopped before enough replicas had the entry. */
export type SyncOutcome = 'received' | 'deposed';

interface SyncWait {
  readonly member: Member;
  readonly entry: LogEntry;
  readonly end: (outcome: SyncOutcome) => void;
}

export class DatabaseGroup {
  readonly #cuts = new Set<string>();
  readonly #acknowledgedPositions = new Map<Member, Map<Member, LogPosition>>();
  readonly #newerPrimarySeenSince = new Map<Member, Milliseconds>();
  #syncWaits: SyncWait[] = [];
  /** Highest term of any primary so far, also of one that has started without its log. */
  #highestTerm = 0;
  /** Called after each change of a member's role. */
  onRoleChange: ((member: Member) => void) | undefined;

  constructor(
    readonly options: GroupOptions,
    readonly members: readonly Member[],
    private readonly onPromotion: (effect: PromotionEffect) => void,
  ) {
    setInterval(() => this.#tick(), TICK_INTERVAL_MS).unref();
  }

  get newestTerm(): number {
    return Math.max(...this.members.map(({ term }) => term));
  }

  /** The primary of the newest term, running or not. */
  get newestPrimary(): Member | undefined {
    const primaries = this.members.filter(({ role }) => role === 'primary');
    return primaries.reduce<Member | undefined>(
      (newest, member) => (newest === undefined || member.term > newest.term ? member : newest),
      undefined,
    );
  }

  /** Interrupts replication between exactly these pairs of instances. */
  setCuts(pairs: readonly (readonly [string, string])[]): void {
    this.#cuts.clear();
    for (const [left, right] of pairs) this.#cuts.add(`${left} ${right}`).add(`${right} ${left}`);
  }

  #canReach(from: Member, to: Member): boolean {
    const areRunning = [from, to].every(({ isRunning, isDark }) => isRunning && !isDark);
    return areRunning && !this.#cuts.has(`${from.id} ${to.id}`);
  }

  /** Commits at the primary; the promise resolves when enough replicas have received the entry. */
  commit(
    member: Member,
    run: number,
    writes: LogEntry['writes'],
  ): [LogEntry, Promise<SyncOutcome>] {
    const entry = member.append(run, writes, monotonicMs());
    const received = new Promise<SyncOutcome>((end) =>
      this.#syncWaits.push({ member, entry, end }),
    );
    this.#resolveReceived(member);
    this.#shipFrom(member);
    return [entry, received];
  }

  /** Makes a running member the primary after `promoteMs`. */
  promote(member: Member): void {
    setTimeout(() => this.#completePromotion(member), this.options.promoteMs);
  }

  #completePromotion(member: Member): void {
    if (!member.isRunning || member.isDark || member === this.newestPrimary) return;
    const { term, number } = member.received;
    this.#acknowledgedPositions.delete(member);
    this.#highestTerm = Math.max(this.#highestTerm, this.newestTerm) + 1;
    member.becomePrimary(this.#highestTerm);
    const { service } = this.options;
    const at = monotonicMs();
    this.onPromotion({ service, id: member.id, leads: member.term, term, number, at });
    this.onRoleChange?.(member);
    this.#shipFrom(member);
  }

  demote(member: Member): void {
    member.role = 'replica';
    this.#endSyncWaits(member);
    this.onRoleChange?.(member);
  }

  /** Restarts a member with its log, as a replica if another member was promoted. */
  restart(member: Member): void {
    this.#endSyncWaits(member);
    member.heldTerm = 0;
    member.isStalled = false;
    member.isRunning = true;
    member.isDark = false;
    if (member.role === 'primary' && member !== this.newestPrimary) member.role = 'replica';
    this.onRoleChange?.(member);
  }

  /** Restarts a member without its log. */
  restartEmpty(member: Member): void {
    this.#highestTerm = Math.max(this.#highestTerm, this.newestTerm);
    for (const positions of this.#acknowledgedPositions.values()) positions.delete(member);
    this.#acknowledgedPositions.delete(member);
    member.startEmpty();
    this.restart(member);
  }

  #endSyncWaits(member: Member): void {
    const ended = this.#syncWaits.filter((wait) => wait.member === member);
    this.#syncWaits = this.#syncWaits.filter((wait) => wait.member !== member);
    for (const { end } of ended) end('deposed');
  }

  #tick(): void {
    const now = monotonicMs();
    for (const member of this.members) {
      if (member.role !== 'primary' || !member.isRunning) continue;
      this.#shipFrom(member);
      const newer = this.newestPrimary;
      if (newer === undefined || newer === member || !this.#canReach(member, newer)) {
        this.#newerPrimarySeenSince.delete(member);
        continue;
      }
      const since = this.#newerPrimarySeenSince.get(member) ?? now;
      this.#newerPrimarySeenSince.set(member, since);
      if (now - since >= STEP_DOWN_AFTER_MS) this.demote(member);
    }
  }

  #shipFrom(primary: Member): void {
    for (const replica of this.members) {
      if (replica === primary || replica.role === 'primary') continue;
      const { term, number } = primary.received;
      const isCurrent = replica.term === primary.term && replica.hasReceived({ term, number });
      const isKnown = this.#acknowledgedPositions.get(primary)?.get(replica)?.number === number;
      if (!isCurrent || !isKnown) this.#ship(primary, replica);
    }
  }

  #ship(primary: Member, replica: Member): void {
    const { term } = primary;
    const entries = [...primary.entries];
    const { networkMs } = this.options;
    const isCurrent = (): boolean =>
      this.#canReach(primary, replica) && primary.role === 'primary' && primary.term === term;
    setTimeout(() => {
      if (!isCurrent() || replica.role === 'primary' || replica.isStalled) return;
      if (replica.term > term || replica.heldTerm > term) return;
      const now = monotonicMs();
      const wasRolledBack = replica.adoptLog(entries, term, now);
      if (wasRolledBack) replica.busyUntil = now + ROLLED_BACK_BUSY_MS;
      setTimeout(() => {
        if (isCurrent()) this.#acknowledge(primary, replica, entries.at(-1));
      }, networkMs);
    }, networkMs);
  }

  #acknowledge(primary: Member, replica: Member, last: LogEntry | undefined): void {
    const positions = this.#acknowledgedPositions.get(primary) ?? new Map<Member, LogPosition>();
    this.#acknowledgedPositions.set(primary, positions);
    const known = positions.get(replica);
    const isNewer = last !== undefined && (known === undefined || last.number > known.number);
    if (isNewer || known === undefined) positions.set(replica, last ?? { term: 0, number: 0 });
    this.#resolveReceived(primary);
  }

  /** Resolves the waits of commits that enough replicas have received. */
  #resolveReceived(primary: Member): void {
    const positions = [...(this.#acknowledgedPositions.get(primary)?.values() ?? [])];
    const isReceived = ({ member, entry }: SyncWait): boolean => {
      const holders = positions.filter(({ number }) => number >= entry.number);
      return member === primary && holders.length >= this.options.syncReplicas;
    };
    const ended = this.#syncWaits.filter(isReceived);
    this.#syncWaits = this.#syncWaits.filter((wait) => !ended.includes(wait));
    for (const { end } of ended) end('received');
  }
}
