/** Admission of requests by tenant: in flight, queued, rate with burst, and connections held. */
import { NotRunError } from '../errors.js';
import type { TenantGroupLimits } from '../group/contract.js';
import type { TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';
import {
  fullBucket,
  refill,
  type TokenBucket,
  type TokenBucketShape,
  takeToken,
  timeToToken,
} from './token-bucket.js';

/** Limits of a tenant that the configuration in force does not name (yet). */
export const DEFAULT_LIMITS: Omit<TenantGroupLimits, 'tenant'> = {
  maxInFlight: 64,
  maxQueued: 64,
  queueWeight: 1,
  maxConnections: 8,
  requestsPerSecond: 1000,
  burst: 200,
};

/** A tenant counts as present for this long after its last request. */
const PRESENT_MS = 1000;

interface TenantUse {
  inFlight: number;
  queued: number;
  connections: number;
  lastRequestAt: Milliseconds;
  bucket: TokenBucket;
}

/** Keeps each tenant within its limits. */
export class TenantAdmission {
  private limits = new Map<TenantName, TenantGroupLimits>();
  private readonly uses = new Map<TenantName, TenantUse>();

  setLimits(limits: readonly TenantGroupLimits[]): void {
    this.limits = new Map(limits.map((entry) => [entry.tenant, entry]));
  }

  limitsOf(tenant: TenantName): TenantGroupLimits {
    return this.limits.get(tenant) ?? { tenant, ...DEFAULT_LIMITS };
  }

  /** Counts a new request in, or says why not and when to come back. */
  admit(
    tenant: TenantName,
    expectedWaitMs: Milliseconds,
    now: Milliseconds,
  ): NotRunError | undefined {
    const limits = this.limitsOf(tenant);
    const shape = shapeOf(limits);
    const use = this.useOf(tenant, shape, now);
    use.lastRequestAt = now;
    if (use.inFlight >= limits.maxInFlight) {
      return new NotRunError(
        'in-flight-limit',
        'too many requests in flight',
        Math.max(1, expectedWaitMs),
      );
    }
    if (use.queued >= limits.maxQueued) {
      return new NotRunError('queue-full', 'too many requests queued', Math.max(1, expectedWaitMs));
    }
    const refilled = refill(use.bucket, shape, now);
    const taken = takeToken(refilled);
    use.bucket = taken ?? refilled;
    if (taken === undefined) {
      const retryAfterMs = timeToToken(refilled, shape);
      return new NotRunError('rate-limit', 'request rate exceeded', retryAfterMs);
    }
    use.inFlight += 1;
    return undefined;
  }

  recordQueued(tenant: TenantName, change: 1 | -1): void {
    const use = this.uses.get(tenant);
    if (use !== undefined) use.queued += change;
  }

  recordConnection(tenant: TenantName, change: 1 | -1): void {
    const use = this.uses.get(tenant);
    if (use !== undefined) use.connections += change;
  }

  recordFinal(tenant: TenantName): void {
    const use = this.uses.get(tenant);
    if (use !== undefined) use.inFlight -= 1;
  }

  /** True if the tenant may hold one more connection. */
  mayHoldConnection(tenant: TenantName): boolean {
    const held = this.uses.get(tenant)?.connections ?? 0;
    return held < this.limitsOf(tenant).maxConnections;
  }

  /** Tenants that this group serves at present. */
  get presentTenants(): number {
    return this.uses.size;
  }

  /** Forgets tenants that have had nothing here for a while and whose bucket is full again. */
  forgetIdle(now: Milliseconds): void {
    for (const [tenant, use] of this.uses) {
      if (use.inFlight > 0 || use.connections > 0) continue;
      if (now - use.lastRequestAt < PRESENT_MS) continue;
      const shape = shapeOf(this.limitsOf(tenant));
      if (refill(use.bucket, shape, now).tokens >= shape.capacity) this.uses.delete(tenant);
    }
  }

  private useOf(tenant: TenantName, shape: TokenBucketShape, now: Milliseconds): TenantUse {
    const known = this.uses.get(tenant);
    if (known !== undefined) return known;
    const use: TenantUse = {
      inFlight: 0,
      queued: 0,
      connections: 0,
      lastRequestAt: now,
      bucket: fullBucket(shape, now),
    };
    this.uses.set(tenant, use);
    return use;
  }
}

function shapeOf(limits: TenantGroupLimits): TokenBucketShape {
  return { tokensPerSecond: limits.requestsPerSecond, capacity: Math.max(1, limits.burst) };
}
