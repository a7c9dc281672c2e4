/**
 * Counts the connections to one instance that each tenant holds at this node, and determines how many it may hold.
 * Tenants with recent requests share the instance; a sole tenant may hold more. No I/O; the caller supplies the clock.
 */
import type { Milliseconds } from '../units.js';
import { type ConnectionPolicy, connectionAllowance, type InstanceCapacity } from './allowance.js';

/** A tenant counts as sharing the instance for at least this time after its last request. */
const RECENT_REQUEST_MS: Milliseconds = 1000;

interface LastRequest {
  readonly requestedAt: Milliseconds;
  readonly policy: ConnectionPolicy;
}

/** The instance's connections that this node may use. */
export type ConnectionSupply = Omit<InstanceCapacity, 'isShared'>;

export class TenantHoldings {
  readonly #requests = new Map<string, LastRequest>();
  readonly #held = new Map<string, number>();

  constructor(
    /** Pseudo-tenant of the node's own queries, which are not limited. */
    private readonly ownTenant: string,
    private readonly supply: () => ConnectionSupply,
    /** Number of each tenant's statements that wait for a connection. */
    private readonly waiting: ReadonlyMap<string, number>,
    private readonly now: () => Milliseconds,
  ) {}

  /** Number of connections that each tenant holds. */
  get held(): ReadonlyMap<string, number> {
    return this.#held;
  }

  recordRequest(tenant: string, policy: ConnectionPolicy): void {
    this.#requests.set(tenant, { requestedAt: this.now(), policy });
  }

  recordAcquired(tenant: string): void {
    this.#held.set(tenant, (this.#held.get(tenant) ?? 0) + 1);
  }

  recordReleased(tenant: string): void {
    const left = (this.#held.get(tenant) ?? 1) - 1;
    if (left > 0) this.#held.set(tenant, left);
    else this.#held.delete(tenant);
  }

  mayHoldMore(tenant: string): boolean {
    return this.#remainingAllowanceOf(tenant) > 0;
  }

  /** Connections that the tenant's waiting statements could use now, within its allowance. */
  demandOf(tenant: string): number {
    const waiting = this.waiting.get(tenant) ?? 0;
    return Math.max(0, Math.min(waiting, this.#remainingAllowanceOf(tenant)));
  }

  /** Connections that all waiting statements could use now, within their tenants' allowances. */
  get totalDemand(): number {
    let total = 0;
    for (const tenant of this.waiting.keys()) total += this.demandOf(tenant);
    return total;
  }

  /** Drops tenants without connections, waiting statements or recent requests. */
  removeIdle(): void {
    const since = this.now() - RECENT_REQUEST_MS;
    for (const [tenant, { requestedAt }] of this.#requests) {
      if (requestedAt < since && !this.#isActive(tenant)) this.#requests.delete(tenant);
    }
  }

  #remainingAllowanceOf(tenant: string): number {
    return this.#allowanceOf(tenant) - (this.#held.get(tenant) ?? 0);
  }

  /** Connections that the tenant may hold at once. */
  #allowanceOf(tenant: string): number {
    const policy = this.#requests.get(tenant)?.policy;
    if (tenant === this.ownTenant || policy === undefined) return Number.POSITIVE_INFINITY;
    return connectionAllowance(policy, {
      ...this.supply(),
      isShared: this.#isSharedWithOthers(tenant),
    });
  }

  #isSharedWithOthers(tenant: string): boolean {
    const since = this.now() - RECENT_REQUEST_MS;
    for (const [other, { requestedAt }] of this.#requests) {
      if (other === tenant || other === this.ownTenant) continue;
      if (requestedAt >= since || this.#isActive(other)) return true;
    }
    return false;
  }

  #isActive(tenant: string): boolean {
    return this.#held.has(tenant) || this.waiting.has(tenant);
  }
}
