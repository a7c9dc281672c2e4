/**
 * Grants shares of one instance's connection limit. The right to grant is a lock in the instance
 * itself, held on the prober's connection and confirmed by its probes, so that two granters with
 * different views can't grant at once.
 *
 * A new granter waits until the one before it has surely stopped, then renews what holders report,
 * and grants anew only when every share that it was not told of has surely lapsed.
 */
import type { Milliseconds } from '../units.js';
import {
  type BudgetLeaseOptions,
  type HolderId,
  leasableConnections,
  type ShareAnswer,
  type ShareRequest,
  withDrift,
} from './budget-lease.js';
import {
  type DivisionInput,
  divideEvenly,
  freeOf,
  isOverLimit,
  type OtherHolder,
  partOfLoweredLimit,
  type ShareDivision,
} from './share-division.js';

/** What goes into the granter. */
export type GranterEvent =
  /** A probe that was sent at `sentAt` on the connection that holds the lock was answered. */
  | {
      readonly type: 'authority-confirmed';
      readonly sentAt: Milliseconds;
      /** No other granter has renewed its authority for so long already; default 0. */
      readonly quietMs?: Milliseconds;
    }
  /** The connection that held the lock is gone. */
  | { readonly type: 'authority-lost' }
  | { readonly type: 'limit-changed'; readonly limit: number }
  /** Every node that could hold a share has sent a request in the present term. */
  | { readonly type: 'holders-complete' };

/** Connections that a holder may believe to have, until this time on the granter's clock. */
interface GrantedShare {
  readonly connections: number;
  readonly until: Milliseconds;
}

interface HolderRecord {
  readonly lastNumber: number;
  readonly wanted: number;
  readonly needed: number;
  readonly inUse: number;
  readonly shares: readonly GrantedShare[];
  /** What is left to it of what it used when the limit was last lowered. */
  readonly loweredTo: number | undefined;
  /** A holder that has not asked again until then is forgotten. */
  readonly activeUntil: Milliseconds;
}

interface Authority {
  /** Identifies this holding of the lock; unique over all granters. */
  readonly term: string;
  /** Since then no other granter has renewed its authority. */
  readonly acquiredAt: Milliseconds;
  readonly confirmedUntil: Milliseconds;
  /** All shares granted before are known. */
  readonly holdersComplete: boolean;
}

/** Divides an instance's connections among its owners. */
export class BudgetGranter {
  readonly #granterId: string;
  readonly #options: BudgetLeaseOptions;
  readonly #divide: ShareDivision;
  readonly #holders = new Map<HolderId, HolderRecord>();
  #authority: Authority | undefined;
  #acquisitions = 0;
  #limit: number;

  /** `granterId` must be unique for the life of the process, such as node id and incarnation. */
  constructor(
    granterId: string,
    limit: number,
    options: BudgetLeaseOptions,
    divide: ShareDivision = divideEvenly,
  ) {
    this.#granterId = granterId;
    this.#limit = limit;
    this.#options = options;
    this.#divide = divide;
  }

  handle(event: GranterEvent, now: Milliseconds): void {
    if (event.type === 'limit-changed') this.#changeLimit(event.limit);
    else if (event.type === 'authority-lost') this.#loseAuthority();
    else if (event.type === 'holders-complete') this.#completeHolders();
    else this.#confirm(event.sentAt, event.quietMs ?? 0, now);
  }

  /** Names the present holding of the right to grant; undefined without it. */
  term(now: Milliseconds): string | undefined {
    return this.hasAuthority(now) ? this.#authority?.term : undefined;
  }

  /** True while shares of an earlier granter may be out that this one does not know of. */
  isWaiting(now: Milliseconds): boolean {
    const authority = this.#authority;
    if (authority === undefined) return false;
    return !authority.holdersComplete && now - authority.acquiredAt < this.#lapseMs();
  }

  /** True once the granter before has surely stopped granting. */
  isAlone(now: Milliseconds): boolean {
    const authority = this.#authority;
    return authority !== undefined && now - authority.acquiredAt >= this.#silenceMs();
  }

  /** True if this node may grant now. */
  hasAuthority(now: Milliseconds): boolean {
    return this.#authority !== undefined && now < this.#authority.confirmedUntil;
  }

  answer(request: ShareRequest, now: Milliseconds): ShareAnswer {
    const { holder, number } = request;
    const authority = this.#authority;
    if (authority === undefined || now >= authority.confirmedUntil) {
      return refusal(number, 'no-authority');
    }
    if (!this.isAlone(now)) return refusal(number, 'waiting');
    // Without the term the request may have been sent while another granter could still act.
    if (request.term !== authority.term) return refusal(number, 'term-unknown', authority.term);
    const record = this.#holders.get(holder);
    if (record !== undefined && number <= record.lastNumber) return refusal(number, 'stale');
    const input = this.#divisionInput(request, now);
    const loweredTo = isOverLimit(input) ? this.#loweredTo(input, request) : record?.loweredTo;
    const connections = this.#decide(input, loweredTo);
    const mayGrowSoon = this.isWaiting(now) || this.#isUnusedElsewhere(holder, now);
    this.#record(request, connections, loweredTo, now);
    return { type: 'granted', number, connections, mayGrowSoon };
  }

  /** Connections that holders may believe to have, in sum. */
  outstanding(now: Milliseconds): number {
    let sum = 0;
    for (const record of this.#holders.values()) sum += heldBy(record, now);
    return sum;
  }

  #confirm(sentAt: Milliseconds, quietMs: Milliseconds, now: Milliseconds): void {
    const confirmedUntil = sentAt + this.#options.authorityMs;
    const acquiredAt = now - quietMs;
    const held = this.#authority;
    if (held !== undefined) {
      this.#authority = {
        ...held,
        acquiredAt: Math.min(held.acquiredAt, acquiredAt),
        confirmedUntil: Math.max(held.confirmedUntil, confirmedUntil),
      };
      return;
    }
    this.#acquisitions += 1;
    const term = `${this.#granterId}/${this.#acquisitions}`;
    this.#authority = { term, acquiredAt, confirmedUntil, holdersComplete: false };
  }

  #changeLimit(limit: number): void {
    const isLower = limit < this.#limit;
    this.#limit = limit;
    if (!isLower) return;
    for (const [holder, record] of this.#holders) {
      this.#holders.set(holder, { ...record, loweredTo: undefined });
    }
  }

  #completeHolders(): void {
    if (this.#authority === undefined) return;
    this.#authority = { ...this.#authority, holdersComplete: true };
  }

  #loseAuthority(): void {
    this.#authority = undefined;
    this.#holders.clear();
  }

  /** Within this time the granter before has surely stopped granting. */
  #silenceMs(): Milliseconds {
    return withDrift(this.#options.authorityMs, this.#options.maxClockDrift);
  }

  /** Within this time every share that it granted and that was not reported has lapsed. */
  #lapseMs(): Milliseconds {
    const { authorityMs, leaseMs, maxClockDrift } = this.#options;
    return withDrift(authorityMs + leaseMs, maxClockDrift);
  }

  #divisionInput(request: ShareRequest, now: Milliseconds): DivisionInput {
    const others: OtherHolder[] = [];
    for (const [holder, record] of this.#holders) {
      if (holder === request.holder || !isActive(record, now)) continue;
      const { wanted, needed, inUse, loweredTo } = record;
      others.push({ wanted, needed, inUse, loweredTo, held: heldBy(record, now) });
    }
    const { holding, inUse, needed } = request;
    const wanted = this.isWaiting(now) ? Math.min(request.wanted, holding) : request.wanted;
    const leasable = leasableConnections(this.#limit, this.#options);
    return { leasable, wanted, needed, holding, inUse, others };
  }

  #decide(input: DivisionInput, loweredTo: number | undefined): number {
    return Math.max(0, Math.min(input.wanted, this.#divide(input), freeOf(input, loweredTo)));
  }

  /** Set once for each holder after a limit was lowered, so that nobody is cut twice. */
  #loweredTo(input: DivisionInput, { holder }: ShareRequest): number {
    return this.#holders.get(holder)?.loweredTo ?? partOfLoweredLimit(input);
  }

  #isUnusedElsewhere(holder: HolderId, now: Milliseconds): boolean {
    for (const [other, record] of this.#holders) {
      if (other !== holder && heldBy(record, now) > record.inUse) return true;
    }
    return false;
  }

  #record(
    request: ShareRequest,
    connections: number,
    loweredTo: number | undefined,
    now: Milliseconds,
  ): void {
    const { leaseMs, maxClockDrift } = this.#options;
    const until = now + withDrift(leaseMs, maxClockDrift);
    const previous = this.#holders.get(request.holder)?.shares ?? [];
    // The holder says what it holds; it will act on no answer to an earlier request any more.
    const kept = previous
      .filter((share) => share.until > now)
      .map((share) => ({ ...share, connections: Math.min(share.connections, request.holding) }));
    const reported = { connections: request.holding, until };
    const shares = [...kept, reported, { connections, until }].filter((s) => s.connections > 0);
    const { number: lastNumber, wanted, needed, inUse } = request;
    this.#holders.set(request.holder, {
      lastNumber,
      wanted,
      needed,
      inUse,
      shares,
      loweredTo,
      activeUntil: until,
    });
    this.#forgetLapsed(now);
  }

  #forgetLapsed(now: Milliseconds): void {
    for (const [holder, record] of this.#holders) {
      if (record.activeUntil <= now) this.#holders.delete(holder);
    }
  }
}

/** The most that the holder may believe to have. */
function heldBy(record: HolderRecord, now: Milliseconds): number {
  let most = 0;
  for (const share of record.shares) {
    if (share.until > now) most = Math.max(most, share.connections);
  }
  return most;
}

function isActive(record: HolderRecord, now: Milliseconds): boolean {
  return record.activeUntil > now && (record.wanted > 0 || heldBy(record, now) > 0);
}

function refusal(
  number: number,
  reason: Extract<ShareAnswer, { type: 'refused' }>['reason'],
  term?: string,
): ShareAnswer {
  return { type: 'refused', number, reason, term };
}
