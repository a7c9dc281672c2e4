/**
 * What each tenant holds of an instance's connections at this node, and how many it may. Tenants that asked
 * lately share the instance; one that is alone may hold more. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';
import { type ConnectionPolicy, connectionAllowance, type InstanceCapacity } from './allowance.js';

/** A tenant that asked so lately is one of those that share the instance. */
const SHARED_MS: Milliseconds = 1000;

interface LastRequest {
  readonly at: Milliseconds;
  readonly policy: ConnectionPolicy;
}

/** The instance's connections as this node may use them. */
export type ConnectionSupply = Omit<InstanceCapacity, 'isShared'>;

export class TenantHoldings {
  readonly #requests = new Map<string, LastRequest>();
  readonly #held = new Map<string, number>();

  constructor(
    /** The node's own questions, which no share bounds. */
    private readonly ownTenant: string,
    private readonly supply: () => ConnectionSupply,
    /** Statements of each tenant that wait for a connection. */
    private readonly waiting: ReadonlyMap<string, number>,
    private readonly now: () => Milliseconds,
  ) {}

  /** Connections that each tenant holds. */
  get held(): ReadonlyMap<string, number> {
    return this.#held;
  }

  noteRequest(tenant: string, policy: ConnectionPolicy): void {
    this.#requests.set(tenant, { at: this.now(), policy });
  }

  hold(tenant: string): void {
    this.#held.set(tenant, (this.#held.get(tenant) ?? 0) + 1);
  }

  letGo(tenant: string): void {
    const left = (this.#held.get(tenant) ?? 1) - 1;
    if (left > 0) this.#held.set(tenant, left);
    else this.#held.delete(tenant);
  }

  mayHoldMore(tenant: string): boolean {
    return this.#roomOf(tenant) > 0;
  }

  /** Connections that those of a tenant who wait could take now. */
  wantedBy(tenant: string): number {
    const waiting = this.waiting.get(tenant) ?? 0;
    return Math.max(0, Math.min(waiting, this.#roomOf(tenant)));
  }

  /** Connections that those who wait could take now. */
  get wanted(): number {
    let wanted = 0;
    for (const tenant of this.waiting.keys()) wanted += this.wantedBy(tenant);
    return wanted;
  }

  /** Tenants that have not asked for long count no more. */
  forgetQuiet(): void {
    const since = this.now() - SHARED_MS;
    for (const [tenant, { at }] of this.#requests) {
      if (at < since && !this.#uses(tenant)) this.#requests.delete(tenant);
    }
  }

  #roomOf(tenant: string): number {
    return this.#allowanceOf(tenant) - (this.#held.get(tenant) ?? 0);
  }

  /** Connections that a tenant may hold at once. */
  #allowanceOf(tenant: string): number {
    const policy = this.#requests.get(tenant)?.policy;
    if (tenant === this.ownTenant || policy === undefined) return Number.POSITIVE_INFINITY;
    return connectionAllowance(policy, {
      ...this.supply(),
      isShared: this.#isSharedWithOthers(tenant),
    });
  }

  #isSharedWithOthers(tenant: string): boolean {
    const since = this.now() - SHARED_MS;
    for (const [other, { at }] of this.#requests) {
      if (other === tenant || other === this.ownTenant) continue;
      if (at >= since || this.#uses(other)) return true;
    }
    return false;
  }

  #uses(tenant: string): boolean {
    return this.#held.has(tenant) || this.waiting.has(tenant);
  }
}
