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

export type GranterEvent =
  /** A probe that was sent at `sentAt` on the connection that holds the lock was answered. */
  | { readonly type: 'authority-confirmed'; readonly sentAt: Milliseconds }
  /** The connection that held the lock is gone. */
  | { readonly type: 'authority-lost' }
  | { readonly type: 'limit-changed'; readonly limit: number };

/** Connections that a holder may believe to have, until this time on the granter's clock. */
interface GrantedShare {
  readonly connections: number;
  readonly until: Milliseconds;
}

interface HolderRecord {
  readonly lastNumber: number;
  readonly wanted: number;
  readonly shares: readonly GrantedShare[];
  /** A holder that has not asked again until then is forgotten. */
  readonly activeUntil: Milliseconds;
}

interface Authority {
  /** Identifies this holding of the lock; unique over all granters. */
  readonly term: string;
  readonly acquiredAt: Milliseconds;
  readonly confirmedUntil: Milliseconds;
}

export class BudgetGranter {
  readonly #granterId: string;
  readonly #options: BudgetLeaseOptions;
  readonly #holders = new Map<HolderId, HolderRecord>();
  #authority: Authority | undefined;
  #acquisitions = 0;
  #limit: number;

  /** `granterId` must be unique for the life of the process, such as node id and incarnation. */
  constructor(granterId: string, limit: number, options: BudgetLeaseOptions) {
    this.#granterId = granterId;
    this.#limit = limit;
    this.#options = options;
  }

  handle(event: GranterEvent, now: Milliseconds): void {
    if (event.type === 'limit-changed') this.#limit = event.limit;
    else if (event.type === 'authority-lost') this.#loseAuthority();
    else this.#confirm(event.sentAt, now);
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
    const waited = now - authority.acquiredAt;
    if (waited < this.#silenceMs()) return refusal(number, 'waiting');
    // Without the term the request may have been sent while another granter could still act.
    if (request.term !== authority.term) return refusal(number, 'term-unknown', authority.term);
    const record = this.#holders.get(holder);
    if (record !== undefined && number <= record.lastNumber) return refusal(number, 'stale');
    const mayGrow = waited >= this.#lapseMs();
    const connections = this.#decide(request, mayGrow, now);
    this.#record(request, connections, now);
    return { type: 'granted', number, connections };
  }

  /** Connections that holders may believe to have, in sum. */
  outstanding(now: Milliseconds): number {
    let sum = 0;
    for (const record of this.#holders.values()) sum += heldBy(record, now);
    return sum;
  }

  #confirm(sentAt: Milliseconds, now: Milliseconds): void {
    const confirmedUntil = sentAt + this.#options.authorityMs;
    const held = this.#authority;
    if (held !== undefined) {
      this.#authority = {
        ...held,
        confirmedUntil: Math.max(held.confirmedUntil, confirmedUntil),
      };
      return;
    }
    this.#acquisitions += 1;
    const term = `${this.#granterId}/${this.#acquisitions}`;
    this.#authority = { term, acquiredAt: now, confirmedUntil };
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

  #decide(request: ShareRequest, mayGrow: boolean, now: Milliseconds): number {
    const leasable = leasableConnections(this.#limit, this.#options);
    const others = [...this.#holders].filter(([holder]) => holder !== request.holder);
    const active = others.map(([, record]) => record).filter((one) => isActive(one, now));
    const free = leasable - active.reduce((sum, record) => sum + heldBy(record, now), 0);
    const fair = Math.floor(leasable / (active.length + 1));
    // What the others want counts up to an equal share; what they leave may be used.
    const claimed = active.reduce((sum, record) => sum + Math.min(record.wanted, fair), 0);
    const ceiling = Math.max(fair, leasable - claimed);
    const wanted = mayGrow ? request.wanted : Math.min(request.wanted, request.holding);
    return Math.max(0, Math.min(wanted, ceiling, free));
  }

  #record(request: ShareRequest, connections: number, now: Milliseconds): void {
    const { leaseMs, maxClockDrift } = this.#options;
    const until = now + withDrift(leaseMs, maxClockDrift);
    const previous = this.#holders.get(request.holder)?.shares ?? [];
    // The holder says what it holds; it will act on no answer to an earlier request any more.
    const kept = previous
      .filter((share) => share.until > now)
      .map((share) => ({ ...share, connections: Math.min(share.connections, request.holding) }));
    const reported = { connections: request.holding, until };
    const shares = [...kept, reported, { connections, until }].filter((s) => s.connections > 0);
    const { number: lastNumber, wanted } = request;
    this.#holders.set(request.holder, { lastNumber, wanted, shares, activeUntil: until });
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
