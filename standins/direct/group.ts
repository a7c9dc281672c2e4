/**
 * Replication among the members of one database group: shipping entries, the wait for a synchronous
 * replica, promotion, and how an old primary learns of it.
 */
import type { Milliseconds } from '../../src/core/units.js';
import type { LogEntry, LogPosition, Member } from './member.js';
import { monotonicMs } from './monotonic.js';

const TICK_INTERVAL_MS = 20;
/** An old primary that reaches the new one for so long gives up. */
const STEP_DOWN_AFTER_MS = 1000;
/** A replica that was rolled back is busy for so long. */
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
  /** The term it leads; `term` and `number` say what its log ended with. */
  readonly leads: number;
  readonly at: Milliseconds;
}

/** `deposed`: the primary lost the lead, or ended, before a replica had the entry. */
export type SyncOutcome = 'received' | 'deposed';

interface SyncWait {
  readonly member: Member;
  readonly entry: LogEntry;
  readonly end: (outcome: SyncOutcome) => void;
}

export class DatabaseGroup {
  readonly #cuts = new Set<string>();
  readonly #acknowledged = new Map<Member, Map<Member, LogPosition>>();
  readonly #sawNewerSince = new Map<Member, Milliseconds>();
  #waits: SyncWait[] = [];
  /** Told of each change of a member's role. */
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

  /** Cuts exactly these pairs of instances from each other. */
  setCuts(pairs: readonly (readonly [string, string])[]): void {
    this.#cuts.clear();
    for (const [left, right] of pairs) this.#cuts.add(`${left} ${right}`).add(`${right} ${left}`);
  }

  #reaches(from: Member, to: Member): boolean {
    const up = [from, to].every(({ isRunning, isDark }) => isRunning && !isDark);
    return up && !this.#cuts.has(`${from.id} ${to.id}`);
  }

  /** Commits at the primary; the promise ends when a replica has the entry, if one must. */
  commit(
    member: Member,
    run: number,
    writes: LogEntry['writes'],
  ): [LogEntry, Promise<SyncOutcome>] {
    const entry = member.append(run, writes, monotonicMs());
    const received = new Promise<SyncOutcome>((end) => this.#waits.push({ member, entry, end }));
    this.#settle(member);
    this.#shipFrom(member);
    return [entry, received];
  }

  /** Makes a running member the primary after the time that a promotion takes. */
  promote(member: Member): void {
    setTimeout(() => this.#takeLead(member), this.options.promoteMs);
  }

  #takeLead(member: Member): void {
    if (!member.isRunning || member.isDark || member === this.newestPrimary) return;
    const { term, number } = member.received;
    this.#acknowledged.delete(member);
    member.lead(this.newestTerm + 1);
    const { service } = this.options;
    const at = monotonicMs();
    this.onPromotion({ service, id: member.id, leads: member.term, term, number, at });
    this.onRoleChange?.(member);
    this.#shipFrom(member);
  }

  demote(member: Member): void {
    member.role = 'replica';
    this.#endWaits(member);
    this.onRoleChange?.(member);
  }

  /** A member comes back with its log: a replica if another was promoted. */
  restart(member: Member): void {
    this.#endWaits(member);
    member.heldTerm = 0;
    member.isStalled = false;
    member.isRunning = true;
    member.isDark = false;
    if (member.role === 'primary' && member !== this.newestPrimary) member.role = 'replica';
    this.onRoleChange?.(member);
  }

  #endWaits(member: Member): void {
    const ended = this.#waits.filter((wait) => wait.member === member);
    this.#waits = this.#waits.filter((wait) => wait.member !== member);
    for (const { end } of ended) end('deposed');
  }

  #tick(): void {
    const now = monotonicMs();
    for (const member of this.members) {
      if (member.role !== 'primary' || !member.isRunning) continue;
      this.#shipFrom(member);
      const newer = this.newestPrimary;
      if (newer === undefined || newer === member || !this.#reaches(member, newer)) {
        this.#sawNewerSince.delete(member);
        continue;
      }
      const since = this.#sawNewerSince.get(member) ?? now;
      this.#sawNewerSince.set(member, since);
      if (now - since >= STEP_DOWN_AFTER_MS) this.demote(member);
    }
  }

  #shipFrom(primary: Member): void {
    for (const replica of this.members) {
      if (replica === primary || replica.role === 'primary') continue;
      const { term, number } = primary.received;
      const isCurrent = replica.term === primary.term && replica.has({ term, number });
      const isKnown = this.#acknowledged.get(primary)?.get(replica)?.number === number;
      if (!isCurrent || !isKnown) this.#ship(primary, replica);
    }
  }

  #ship(primary: Member, replica: Member): void {
    const { term } = primary;
    const entries = [...primary.entries];
    const { networkMs } = this.options;
    const isCurrent = (): boolean =>
      this.#reaches(primary, replica) && primary.role === 'primary' && primary.term === term;
    setTimeout(() => {
      if (!isCurrent() || replica.role === 'primary' || replica.isStalled) return;
      if (replica.term > term || replica.heldTerm > term) return;
      const now = monotonicMs();
      const rolledBack = replica.follow(entries, term, now);
      if (rolledBack) replica.busyUntil = now + ROLLED_BACK_BUSY_MS;
      setTimeout(() => {
        if (isCurrent()) this.#acknowledge(primary, replica, entries.at(-1));
      }, networkMs);
    }, networkMs);
  }

  #acknowledge(primary: Member, replica: Member, last: LogEntry | undefined): void {
    const positions = this.#acknowledged.get(primary) ?? new Map<Member, LogPosition>();
    this.#acknowledged.set(primary, positions);
    const known = positions.get(replica);
    const isNewer = last !== undefined && (known === undefined || last.number > known.number);
    if (isNewer || known === undefined) positions.set(replica, last ?? { term: 0, number: 0 });
    this.#settle(primary);
  }

  /** Ends the waits of those commits that enough replicas have. */
  #settle(primary: Member): void {
    const positions = [...(this.#acknowledged.get(primary)?.values() ?? [])];
    const isReceived = ({ member, entry }: SyncWait): boolean => {
      const holders = positions.filter(({ number }) => number >= entry.number);
      return member === primary && holders.length >= this.options.syncReplicas;
    };
    const ended = this.#waits.filter(isReceived);
    this.#waits = this.#waits.filter((wait) => !ended.includes(wait));
    for (const { end } of ended) end('received');
  }
}
