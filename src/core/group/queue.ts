/**
 * A fair queue: weighted deficit round robin between tenants, and weighted fair queueing between
 * the request kinds of a tenant. A request that can't start now is skipped and doesn't block the
 * requests behind it.
 */
import type { GroupRequest, InstanceName, RequestId, TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';

/** A queued request. */
export interface QueueEntry {
  readonly request: GroupRequest;
  readonly arrivedAt: Milliseconds;
  /** True if an earlier attempt may have run: the request can no longer fail as not run. */
  readonly mayHaveRun: boolean;
  /** Number of earlier attempts that count towards the maximum. */
  readonly attempts: number;
  /** Earliest start: the end of a retry's backoff. */
  readonly notBefore: Milliseconds;
  /** Instance of the last attempt, which is tried after all other replicas. */
  readonly avoid: InstanceName | undefined;
}

/**
 * Result of offering an entry. `taken`: removed, and the tenant is charged for it. `moved`: removed
 * without a charge. `blocked`: stays queued. `tenant-blocked`: all entries of its tenant stay queued
 * in this pass. `stop`: stays queued and the pass ends.
 */
export type OfferResult = 'taken' | 'moved' | 'blocked' | 'tenant-blocked' | 'stop';

interface KindQueue {
  readonly kind: string;
  weight: number;
  virtualTime: number;
  entries: QueueEntry[];
}

interface TenantQueue {
  readonly tenant: TenantName;
  deficit: number;
  length: number;
  readonly kinds: Map<string, KindQueue>;
}

/**
 * Maximum number of entries of a kind offered before the kind counts as blocked; bounds the cost of
 * a pass.
 */
const MAX_OFFERS_PER_KIND = 8;
const MIN_WEIGHT = 0.05;
const REQUEST_COST = 1;

/** Queued requests, served in fair order. */
export class FairQueue {
  private readonly tenants = new Map<TenantName, TenantQueue>();
  private readonly byId = new Map<RequestId, QueueEntry>();
  private ring: TenantQueue[] = [];
  private cursor = 0;
  /** Tenants whose queue became empty since the round began. */
  private readonly emptiedThisRound = new Set<TenantName>();

  constructor(private readonly weightOf: (tenant: TenantName) => number) {}

  get length(): number {
    return this.byId.size;
  }

  entries(): IterableIterator<QueueEntry> {
    return this.byId.values();
  }

  get(id: RequestId): QueueEntry | undefined {
    return this.byId.get(id);
  }

  push(entry: QueueEntry): void {
    const tenant = this.getOrCreateTenantQueue(entry.request.tenant);
    const kind = getOrCreateKindQueue(tenant, entry.request);
    kind.entries.push(entry);
    tenant.length += 1;
    this.byId.set(entry.request.id, entry);
  }

  remove(id: RequestId): QueueEntry | undefined {
    const entry = this.byId.get(id);
    if (entry === undefined) return undefined;
    this.byId.delete(id);
    const tenant = this.tenants.get(entry.request.tenant);
    const kind = tenant?.kinds.get(entry.request.kind);
    if (tenant === undefined || kind === undefined) return entry;
    kind.entries.splice(kind.entries.indexOf(entry), 1);
    tenant.length -= 1;
    if (tenant.length === 0) this.removeTenant(tenant);
    return entry;
  }

  /**
   * Expected number of requests served before one that the tenant queues now, if all tenants keep
   * sending requests.
   */
  estimateRequestsAhead(tenant: TenantName): number {
    const own = this.tenants.get(tenant)?.length ?? 0;
    let weights = this.tenants.has(tenant) ? 0 : this.effectiveWeight(tenant);
    for (const queue of this.ring) weights += this.effectiveWeight(queue.tenant);
    const byShare = ((own + 1) * weights) / this.effectiveWeight(tenant) - 1;
    return Math.min(this.length, byShare);
  }

  /** Offers entries in fair order until every tenant is blocked or the pass is stopped. */
  serve(offer: (entry: QueueEntry) => OfferResult): void {
    const blocked = new Set<TenantName>();
    while (blocked.size < this.ring.length) {
      const tenant = this.currentTenant();
      if (tenant === undefined) return;
      if (blocked.has(tenant.tenant)) {
        this.advance();
        continue;
      }
      if (tenant.deficit < REQUEST_COST) {
        tenant.deficit += this.effectiveWeight(tenant.tenant);
        if (tenant.deficit < REQUEST_COST) this.advance();
        continue;
      }
      const result = this.serveTenant(tenant, offer);
      if (result === 'stop') return;
      if (result === 'blocked' || result === 'tenant-blocked') {
        blocked.add(tenant.tenant);
        this.advance();
        continue;
      }
      if (tenant.length > 0 && tenant.deficit < REQUEST_COST) this.advance();
    }
  }

  private serveTenant(tenant: TenantQueue, offer: (entry: QueueEntry) => OfferResult): OfferResult {
    for (const kind of sortKinds(tenant)) {
      const offered = kind.entries.slice(0, MAX_OFFERS_PER_KIND);
      for (const entry of offered) {
        const result = offer(entry);
        if (result === 'blocked') continue;
        if (result === 'stop' || result === 'tenant-blocked') return result;
        if (result === 'taken') {
          kind.virtualTime += REQUEST_COST / kind.weight;
          tenant.deficit -= REQUEST_COST;
        }
        this.remove(entry.request.id);
        return result;
      }
    }
    return 'blocked';
  }

  private currentTenant(): TenantQueue | undefined {
    if (this.cursor >= this.ring.length) this.beginRound();
    return this.ring[this.cursor];
  }

  private advance(): void {
    this.cursor += 1;
    if (this.cursor >= this.ring.length) this.beginRound();
  }

  private beginRound(): void {
    this.cursor = 0;
    this.emptiedThisRound.clear();
  }

  private getOrCreateTenantQueue(name: TenantName): TenantQueue {
    const known = this.tenants.get(name);
    if (known !== undefined) return known;
    const tenant: TenantQueue = { tenant: name, deficit: 0, length: 0, kinds: new Map() };
    this.tenants.set(name, tenant);
    // A tenant whose queue was empty is served next, but only once per round: otherwise it would
    // gain by sending requests one by one.
    if (this.emptiedThisRound.has(name)) this.ring.push(tenant);
    else this.ring.splice(this.cursor, 0, tenant);
    return tenant;
  }

  private removeTenant(tenant: TenantQueue): void {
    this.tenants.delete(tenant.tenant);
    this.emptiedThisRound.add(tenant.tenant);
    const index = this.ring.indexOf(tenant);
    this.ring.splice(index, 1);
    if (index < this.cursor) this.cursor -= 1;
  }

  private effectiveWeight(tenant: TenantName): number {
    return Math.max(MIN_WEIGHT, this.weightOf(tenant));
  }
}

function getOrCreateKindQueue(tenant: TenantQueue, request: GroupRequest): KindQueue {
  const weight = Math.max(MIN_WEIGHT, request.weight);
  const known = tenant.kinds.get(request.kind);
  if (known !== undefined) {
    known.weight = weight;
    if (known.entries.length === 0) {
      known.virtualTime = Math.max(known.virtualTime, minVirtualTime(tenant));
    }
    return known;
  }
  const created: KindQueue = {
    kind: request.kind,
    weight,
    virtualTime: minVirtualTime(tenant),
    entries: [],
  };
  tenant.kinds.set(request.kind, created);
  return created;
}

function minVirtualTime(tenant: TenantQueue): number {
  let least = Number.POSITIVE_INFINITY;
  for (const kind of tenant.kinds.values()) {
    if (kind.entries.length > 0) least = Math.min(least, kind.virtualTime);
  }
  return Number.isFinite(least) ? least : 0;
}

function sortKinds(tenant: TenantQueue): KindQueue[] {
  return [...tenant.kinds.values()]
    .filter((kind) => kind.entries.length > 0)
    .sort((left, right) => left.virtualTime - right.virtualTime);
}
