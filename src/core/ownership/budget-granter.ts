/**
 * Grants leased shares of one instance's connection limit. The right to grant (authority) is a lock in
 * the instance itself, held on the prober's connection and confirmed by its probes, so that two
 * granters with different views of the membership can't grant at once.
 *
 * A new granter waits until the previous one has provably stopped. It then renews the shares that
 * holders report, and grants additional connections only when every unreported share has provably
 * expired.
 */
import type { Milliseconds } from '../units.js';
import {
  type BudgetLeaseOptions,
  type HolderId,
  leasableConnections,
  type ShareRequest,
  type ShareResponse,
  withDrift,
} from './budget-lease.js';
import {
  availableConnections,
  type DivisionInput,
  divideEvenly,
  isOverLimit,
  type OtherHolder,
  type ShareDivision,
  shareOfLoweredLimit,
} from './share-division.js';

/** Input of the granter. */
export type GranterEvent =
  /** A probe sent at `sentAt` on the connection that holds the lock received a response. */
  | {
      readonly type: 'authority-confirmed';
      readonly sentAt: Milliseconds;
      /** Time for which no other granter has renewed its authority; default 0. */
      readonly quietMs?: Milliseconds;
    }
  /** The connection that held the lock was closed. */
  | { readonly type: 'authority-lost' }
  | { readonly type: 'limit-changed'; readonly limit: number }
  /** Every node that could hold a share has sent a request in the current term. */
  | { readonly type: 'holders-complete' };

/** Connections that a holder may assume it has, until this time on the granter's clock. */
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
  /** Connections that remained to it, of those in use, when the limit was last lowered. */
  readonly loweredShare: number | undefined;
  /** A holder that sends no further request by then is removed. */
  readonly activeUntil: Milliseconds;
}

interface Authority {
  /** Identifies this acquisition of the lock; unique over all granters. */
  readonly term: string;
  /** No other granter has renewed its authority since this time. */
  readonly acquiredAt: Milliseconds;
  readonly confirmedUntil: Milliseconds;
  /** All shares granted by earlier granters are known. */
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

  /** `granterId` must be unique to one run of a process, such as node id and incarnation. */
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
    else this.#confirmAuthority(event.sentAt, event.quietMs ?? 0, now);
  }

  /** Identifies the current acquisition of the lock; undefined without authority. */
  term(now: Milliseconds): string | undefined {
    return this.hasAuthority(now) ? this.#authority?.term : undefined;
  }

  /** True while unexpired shares of an earlier granter may exist that no holder has reported. */
  mayHaveUnknownShares(now: Milliseconds): boolean {
    const authority = this.#authority;
    if (authority === undefined) return false;
    return !authority.holdersComplete && now - authority.acquiredAt < this.#maxShareLifetimeMs();
  }

  /** True once the previous granter has provably stopped granting. */
  isSoleGranter(now: Milliseconds): boolean {
    const authority = this.#authority;
    return authority !== undefined && now - authority.acquiredAt >= this.#maxAuthorityMs();
  }

  /** True if this node may grant now. */
  hasAuthority(now: Milliseconds): boolean {
    return this.#authority !== undefined && now < this.#authority.confirmedUntil;
  }

  answer(request: ShareRequest, now: Milliseconds): ShareResponse {
    const { holder, number } = request;
    const authority = this.#authority;
    if (authority === undefined || now >= authority.confirmedUntil) {
      return refusal(number, 'no-authority');
    }
    if (!this.isSoleGranter(now)) return refusal(number, 'waiting');
    // Without the current term, the request may have been sent while another granter could still grant.
    if (request.term !== authority.term) return refusal(number, 'term-unknown', authority.term);
    const record = this.#holders.get(holder);
    if (record !== undefined && number <= record.lastNumber) return refusal(number, 'stale');
    const input = this.#divisionInput(request, now);
    const loweredShare = isOverLimit(input)
      ? this.#loweredShareOf(input, request)
      : record?.loweredShare;
    const connections = this.#connectionsToGrant(input, loweredShare);
    const mayGrowSoon = this.mayHaveUnknownShares(now) || this.#hasUnusedElsewhere(holder, now);
    this.#record(request, connections, loweredShare, now);
    return { type: 'granted', number, connections, mayGrowSoon };
  }

  /** Total of the connections that holders may assume they have. */
  outstandingConnections(now: Milliseconds): number {
    let sum = 0;
    for (const record of this.#holders.values()) sum += maxHeldBy(record, now);
    return sum;
  }

  #confirmAuthority(sentAt: Milliseconds, quietMs: Milliseconds, now: Milliseconds): void {
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
      this.#holders.set(holder, { ...record, loweredShare: undefined });
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

  /** Time after which the previous granter has provably stopped granting. */
  #maxAuthorityMs(): Milliseconds {
    return withDrift(this.#options.authorityMs, this.#options.maxClockDrift);
  }

  /** Time after which every unreported share of the previous granter has expired. */
  #maxShareLifetimeMs(): Milliseconds {
    const { authorityMs, leaseMs, maxClockDrift } = this.#options;
    return withDrift(authorityMs + leaseMs, maxClockDrift);
  }

  #divisionInput(request: ShareRequest, now: Milliseconds): DivisionInput {
    const others: OtherHolder[] = [];
    for (const [holder, record] of this.#holders) {
      if (holder === request.holder || !isActive(record, now)) continue;
      const { wanted, needed, inUse, loweredShare } = record;
      others.push({ wanted, needed, inUse, loweredShare, held: maxHeldBy(record, now) });
    }
    const { holding, inUse, needed } = request;
    const wanted = this.mayHaveUnknownShares(now)
      ? Math.min(request.wanted, holding)
      : request.wanted;
    const leasable = leasableConnections(this.#limit, this.#options);
    return { leasable, wanted, needed, holding, inUse, others };
  }

  #connectionsToGrant(input: DivisionInput, loweredShare: number | undefined): number {
    return Math.max(
      0,
      Math.min(input.wanted, this.#divide(input), availableConnections(input, loweredShare)),
    );
  }

  /** Computed once per holder after the limit was lowered, so that no holder is cut twice. */
  #loweredShareOf(input: DivisionInput, { holder }: ShareRequest): number {
    return this.#holders.get(holder)?.loweredShare ?? shareOfLoweredLimit(input);
  }

  #hasUnusedElsewhere(holder: HolderId, now: Milliseconds): boolean {
    for (const [other, record] of this.#holders) {
      if (other !== holder && maxHeldBy(record, now) > record.inUse) return true;
    }
    return false;
  }

  #record(
    request: ShareRequest,
    connections: number,
    loweredShare: number | undefined,
    now: Milliseconds,
  ): void {
    const { leaseMs, maxClockDrift } = this.#options;
    const until = now + withDrift(leaseMs, maxClockDrift);
    const previous = this.#holders.get(request.holder)?.shares ?? [];
    // The holder reports what it holds, and ignores responses to its earlier requests from now on.
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
      loweredShare,
      activeUntil: until,
    });
    this.#removeExpired(now);
  }

  #removeExpired(now: Milliseconds): void {
    for (const [holder, record] of this.#holders) {
      if (record.activeUntil <= now) this.#holders.delete(holder);
    }
  }
}

/** Maximum number of connections that the holder may assume it has. */
function maxHeldBy(record: HolderRecord, now: Milliseconds): number {
  let most = 0;
  for (const share of record.shares) {
    if (share.until > now) most = Math.max(most, share.connections);
  }
  return most;
}

function isActive(record: HolderRecord, now: Milliseconds): boolean {
  return record.activeUntil > now && (record.wanted > 0 || maxHeldBy(record, now) > 0);
}

function refusal(
  number: number,
  reason: Extract<ShareResponse, { type: 'refused' }>['reason'],
  term?: string,
): ShareResponse {
  return { type: 'refused', number, reason, term };
}
