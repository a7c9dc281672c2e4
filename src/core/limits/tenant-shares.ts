/**
 * One node's leased shares of its tenants' connection limits: counts callers' connections, requests
 * shares on demand and in blocks, returns them when idle, and reports connections beyond the share.
 * Keeps state only for tenants that have callers at this node, or had some recently.
 */
import { BudgetHolder } from '../ownership/budget-holder.js';
import type { ShareRequest, ShareResponse } from '../ownership/budget-lease.js';
import type { TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { TenantLeaseOptions } from './lease-options.js';

/** Reserve that a node requests beyond what it uses: an even split of the limit, divided by this. */
const HEADROOM_DIVISOR = 4;

/** A request for a share of a tenant's limit, to send to the tenant's allocator. */
export interface TenantShareRequest {
  readonly tenant: TenantName;
  readonly request: ShareRequest;
}

interface TenantUsage {
  readonly holder: BudgetHolder;
  connections: number;
  waiting: number;
  /** The allocator has reported that another request would not increase the share for now. */
  isExhausted: boolean;
  /** The allocator has acknowledged that this node holds and wants no connections. */
  isReturned: boolean;
  lastUsedAt: Milliseconds;
  lastSentAt: Milliseconds;
}

/** One node's shares of its tenants' connection limits. */
export class TenantShares {
  readonly #holderPrefix: string;
  readonly #options: TenantLeaseOptions;
  readonly #usageByTenant = new Map<TenantName, TenantUsage>();
  #holderCount = 0;
  #nodeCount = 1;

  /** `incarnationId` must be unique among all incarnations of all nodes. */
  constructor(incarnationId: string, options: TenantLeaseOptions) {
    this.#holderPrefix = incarnationId;
    this.#options = options;
  }

  /** Number of nodes that share the limits; it only determines the block size. */
  setNodeCount(nodes: number): void {
    this.#nodeCount = Math.max(1, nodes);
  }

  /** Counts one more connection of a caller; false if the share is used up. */
  tryAcquire(tenant: TenantName, now: Milliseconds): boolean {
    const usage = this.#usageOf(tenant, now);
    usage.lastUsedAt = now;
    if (usage.connections >= usage.holder.connections(now)) return false;
    this.#setOpenConnections(usage, usage.connections + 1);
    return true;
  }

  release(tenant: TenantName, now: Milliseconds): void {
    const usage = this.#usageByTenant.get(tenant);
    if (usage === undefined) return;
    usage.lastUsedAt = now;
    this.#setOpenConnections(usage, usage.connections - 1);
  }

  /** Sets the number of callers that wait for a connection; a larger share is requested promptly. */
  setWaiting(tenant: TenantName, waitingCallers: number, now: Milliseconds): void {
    const usage = this.#usageOf(tenant, now);
    if (waitingCallers > usage.waiting) usage.isExhausted = false;
    usage.waiting = waitingCallers;
  }

  /** True if waiting is pointless: all connections within the tenant's limit are in use. */
  isExhausted(tenant: TenantName): boolean {
    return this.#usageByTenant.get(tenant)?.isExhausted === true;
  }

  openConnections(tenant: TenantName): number {
    return this.#usageByTenant.get(tenant)?.connections ?? 0;
  }

  /** Connections that this node's share allows now. */
  heldConnections(tenant: TenantName, now: Milliseconds): number {
    return this.#usageByTenant.get(tenant)?.holder.connections(now) ?? 0;
  }

  /** Connections to close within `graceMs`, because the share is smaller or expires by then. */
  excessConnections(tenant: TenantName, graceMs: Milliseconds, now: Milliseconds): number {
    const usage = this.#usageByTenant.get(tenant);
    if (usage === undefined) return 0;
    return Math.max(0, usage.connections - usage.holder.connections(now + graceMs));
  }

  tenants(): readonly TenantName[] {
    return [...this.#usageByTenant.keys()];
  }

  /** Makes a request due at once, because the tenant's limit has changed. */
  scheduleRenewal(tenant: TenantName): void {
    const usage = this.#usageByTenant.get(tenant);
    if (usage !== undefined) usage.lastSentAt = Number.NEGATIVE_INFINITY;
  }

  /** Requests to send now. `limitOf`: the tenant's connection limit, 0 if it has no access. */
  dueRequests(
    limitOf: (tenant: TenantName) => number,
    now: Milliseconds,
  ): readonly TenantShareRequest[] {
    const due: TenantShareRequest[] = [];
    for (const [tenant, usage] of this.#usageByTenant) {
      if (this.#isRemovable(usage, now)) {
        this.#usageByTenant.delete(tenant);
        continue;
      }
      if (!this.#isDue(usage, now)) continue;
      due.push({ tenant, request: this.#request(usage, limitOf(tenant), now) });
    }
    return due;
  }

  /** Requests that return all shares, for a node that stops and has no callers left. */
  returnAll(now: Milliseconds): readonly TenantShareRequest[] {
    return [...this.#usageByTenant].map(([tenant, usage]) => {
      usage.holder.release();
      return { tenant, request: usage.holder.request(now) };
    });
  }

  /** Reports the share that this node holds, on request of an allocator in its term. */
  report(tenant: TenantName, term: string, limit: number, now: Milliseconds): ShareRequest {
    const usage = this.#usageOf(tenant, now);
    usage.holder.setTerm(term);
    return this.#request(usage, limit, now);
  }

  /** Applies the allocator's response to a request. */
  receiveResponse(
    { tenant, request }: TenantShareRequest,
    answer: ShareResponse,
    now: Milliseconds,
  ): void {
    const usage = this.#usageByTenant.get(tenant);
    if (usage === undefined || usage.holder.id !== request.holder) return;
    const isLate = usage.holder.isOutdated(answer);
    usage.holder.receiveResponse(answer, now);
    if (usage.holder.nextRequestAt() < now) usage.lastSentAt = Number.NEGATIVE_INFINITY;
    if (isLate || answer.type !== 'granted') return;
    usage.isReturned = request.holding === 0 && request.wanted === 0;
    const isFull = usage.connections >= usage.holder.connections(now);
    usage.isExhausted = isFull && !answer.mayGrowSoon;
  }

  #request(usage: TenantUsage, limit: number, now: Milliseconds): ShareRequest {
    usage.lastSentAt = now;
    usage.holder.setWanted(this.#wanted(usage, limit, now), usage.connections + usage.waiting);
    return usage.holder.request(now);
  }

  #wanted(usage: TenantUsage, limit: number, now: Milliseconds): number {
    const needed = usage.connections + usage.waiting;
    if (needed === 0 && now - usage.lastUsedAt > this.#options.idleReleaseMs) return 0;
    const blockSize = Math.max(1, Math.ceil(limit / (HEADROOM_DIVISOR * this.#nodeCount)));
    return Math.min(limit, needed + blockSize);
  }

  #isDue(usage: TenantUsage, now: Milliseconds): boolean {
    // A node with more connections than its share must close the excess before it reports again.
    const mustShrink = usage.connections > usage.holder.connections(now);
    const needsMore = usage.waiting > 0 && !usage.isExhausted && !mustShrink;
    const periodMs = needsMore ? this.#options.urgentRenewalPeriodMs : this.#options.renewMs;
    return now - usage.lastSentAt >= periodMs;
  }

  #isRemovable(usage: TenantUsage, now: Milliseconds): boolean {
    if (usage.connections + usage.waiting > 0 || usage.holder.connections(now) > 0) return false;
    const { idleReleaseMs: idleMs, leaseMs } = this.#options;
    const idleForMs = now - usage.lastUsedAt;
    return idleForMs > idleMs + leaseMs || (usage.isReturned && idleForMs > idleMs);
  }

  #setOpenConnections(usage: TenantUsage, openConnections: number): void {
    usage.connections = openConnections;
    usage.holder.setInUse(openConnections);
  }

  #usageOf(tenant: TenantName, now: Milliseconds): TenantUsage {
    const known = this.#usageByTenant.get(tenant);
    if (known !== undefined) return known;
    this.#holderCount += 1;
    const usage: TenantUsage = {
      holder: new BudgetHolder(`${this.#holderPrefix}/${this.#holderCount}`, this.#options),
      connections: 0,
      waiting: 0,
      isExhausted: false,
      isReturned: false,
      lastUsedAt: now,
      lastSentAt: Number.NEGATIVE_INFINITY,
    };
    this.#usageByTenant.set(tenant, usage);
    return usage;
  }
}
