/**
 * One node's shares of its tenants' connection limits: counts the callers, asks for shares on demand
 * and in blocks, gives them back when idle, and tells which callers are beyond what it still holds.
 * Keeps state only for tenants that have callers here, or had a moment ago.
 */
import { BudgetHolder } from '../ownership/budget-holder.js';
import type { ShareRequest, ShareResponse } from '../ownership/budget-lease.js';
import type { TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { TenantLeaseOptions } from './lease-options.js';

/** Part of a tenant's limit, divided by the nodes, that a node holds beyond what it uses. */
const HEADROOM_DIVISOR = 4;

/** A request for a tenant's share that is to be sent to its allocator. */
export interface TenantShareRequest {
  readonly tenant: TenantName;
  readonly request: ShareRequest;
}

interface TenantUse {
  readonly holder: BudgetHolder;
  open: number;
  waiting: number;
  /** The allocator said that asking again gives nothing more for now. */
  exhausted: boolean;
  /** The allocator knows that this node holds and wants nothing. */
  returned: boolean;
  lastUsedAt: Milliseconds;
  lastSentAt: Milliseconds;
}

/** A node's shares of tenants' limits. */
export class TenantShares {
  readonly #holderPrefix: string;
  readonly #options: TenantLeaseOptions;
  readonly #uses = new Map<TenantName, TenantUse>();
  #holders = 0;
  #nodes = 1;

  /** `life` names this life of this node, unique over all nodes and lives. */
  constructor(life: string, options: TenantLeaseOptions) {
    this.#holderPrefix = life;
    this.#options = options;
  }

  /** Nodes that share the limits; only the size of blocks depends on it. */
  setNodeCount(nodes: number): void {
    this.#nodes = Math.max(1, nodes);
  }

  /** Takes a place for one caller if the share has one. */
  take(tenant: TenantName, now: Milliseconds): boolean {
    const use = this.#useOf(tenant, now);
    use.lastUsedAt = now;
    if (use.open >= use.holder.connections(now)) return false;
    this.#setOpen(use, use.open + 1);
    return true;
  }

  release(tenant: TenantName, now: Milliseconds): void {
    const use = this.#uses.get(tenant);
    if (use === undefined) return;
    use.lastUsedAt = now;
    this.#setOpen(use, use.open - 1);
  }

  /** Callers that wait for a place, so that more is asked for at once. */
  setWaiting(tenant: TenantName, waiting: number, now: Milliseconds): void {
    const use = this.#useOf(tenant, now);
    if (waiting > use.waiting) use.exhausted = false;
    use.waiting = waiting;
  }

  /** True if waiting is in vain: all of the tenant's connections are in use. */
  isExhausted(tenant: TenantName): boolean {
    return this.#uses.get(tenant)?.exhausted === true;
  }

  openOf(tenant: TenantName): number {
    return this.#uses.get(tenant)?.open ?? 0;
  }

  /** Connections that this node may hold now. */
  heldOf(tenant: TenantName, now: Milliseconds): number {
    return this.#uses.get(tenant)?.holder.connections(now) ?? 0;
  }

  /** Callers that must be gone within `graceMs`: their share is smaller, or lapses by then. */
  excessOf(tenant: TenantName, graceMs: Milliseconds, now: Milliseconds): number {
    const use = this.#uses.get(tenant);
    if (use === undefined) return 0;
    return Math.max(0, use.open - use.holder.connections(now + graceMs));
  }

  tenants(): readonly TenantName[] {
    return [...this.#uses.keys()];
  }

  /** Asks at the next occasion: the tenant's limit has changed. */
  renewSoon(tenant: TenantName): void {
    const use = this.#uses.get(tenant);
    if (use !== undefined) use.lastSentAt = Number.NEGATIVE_INFINITY;
  }

  /** Requests that are due. `limitOf`: the tenant's limit, 0 if it has no access. */
  dueRequests(
    limitOf: (tenant: TenantName) => number,
    now: Milliseconds,
  ): readonly TenantShareRequest[] {
    const due: TenantShareRequest[] = [];
    for (const [tenant, use] of this.#uses) {
      if (this.#isForgettable(use, now)) {
        this.#uses.delete(tenant);
        continue;
      }
      if (!this.#isDue(use, now)) continue;
      due.push({ tenant, request: this.#request(use, limitOf(tenant), now) });
    }
    return due;
  }

  /** Gives everything back; for a node that has no callers any more and stops. */
  returnAll(now: Milliseconds): readonly TenantShareRequest[] {
    return [...this.#uses].map(([tenant, use]) => {
      use.holder.release();
      return { tenant, request: use.holder.request(now) };
    });
  }

  /** What this node holds, for an allocator that asks under its term. */
  report(tenant: TenantName, term: string, limit: number, now: Milliseconds): ShareRequest {
    const use = this.#useOf(tenant, now);
    use.holder.setTerm(term);
    return this.#request(use, limit, now);
  }

  /** Takes the answer to a request. */
  receive({ tenant, request }: TenantShareRequest, answer: ShareResponse, now: Milliseconds): void {
    const use = this.#uses.get(tenant);
    if (use === undefined || use.holder.id !== request.holder) return;
    const isLate = use.holder.isOutdated(answer);
    use.holder.receiveResponse(answer, now);
    if (use.holder.nextRequestAt() < now) use.lastSentAt = Number.NEGATIVE_INFINITY;
    if (isLate || answer.type !== 'granted') return;
    use.returned = request.holding === 0 && request.wanted === 0;
    const full = use.open >= use.holder.connections(now);
    use.exhausted = full && !answer.mayGrowSoon;
  }

  #request(use: TenantUse, limit: number, now: Milliseconds): ShareRequest {
    use.lastSentAt = now;
    use.holder.setWanted(this.#wanted(use, limit, now), use.open + use.waiting);
    return use.holder.request(now);
  }

  #wanted(use: TenantUse, limit: number, now: Milliseconds): number {
    const needed = use.open + use.waiting;
    if (needed === 0 && now - use.lastUsedAt > this.#options.idleReleaseMs) return 0;
    const block = Math.max(1, Math.ceil(limit / (HEADROOM_DIVISOR * this.#nodes)));
    return Math.min(limit, needed + block);
  }

  #isDue(use: TenantUse, now: Milliseconds): boolean {
    // A holder that must still end callers tells what it holds only after they are gone.
    const mustShrink = use.open > use.holder.connections(now);
    const isShort = use.waiting > 0 && !use.exhausted && !mustShrink;
    const period = isShort ? this.#options.urgentRenewalPeriodMs : this.#options.renewMs;
    return now - use.lastSentAt >= period;
  }

  #isForgettable(use: TenantUse, now: Milliseconds): boolean {
    if (use.open + use.waiting > 0 || use.holder.connections(now) > 0) return false;
    const { idleReleaseMs: idleMs, leaseMs } = this.#options;
    const idleFor = now - use.lastUsedAt;
    return idleFor > idleMs + leaseMs || (use.returned && idleFor > idleMs);
  }

  #setOpen(use: TenantUse, open: number): void {
    use.open = open;
    use.holder.setInUse(open);
  }

  #useOf(tenant: TenantName, now: Milliseconds): TenantUse {
    const known = this.#uses.get(tenant);
    if (known !== undefined) return known;
    this.#holders += 1;
    const use: TenantUse = {
      holder: new BudgetHolder(`${this.#holderPrefix}/${this.#holders}`, this.#options),
      open: 0,
      waiting: 0,
      exhausted: false,
      returned: false,
      lastUsedAt: now,
      lastSentAt: Number.NEGATIVE_INFINITY,
    };
    this.#uses.set(tenant, use);
    return use;
  }
}
