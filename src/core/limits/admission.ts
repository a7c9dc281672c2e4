/** Per-tenant limits on requests in flight, queued requests, request rate and back-end connections. */
import { NotRunError } from '../errors.js';
import type { TenantGroupLimits } from '../group/contract.js';
import type { TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';
import {
  fullBucket,
  msUntilToken,
  refill,
  type TokenBucket,
  type TokenBucketConfig,
  takeToken,
} from './token-bucket.js';

/** Limits of a tenant that the current configuration doesn't list, or doesn't list yet. */
export const DEFAULT_TENANT_LIMITS: Omit<TenantGroupLimits, 'tenant'> = {
  maxInFlight: 64,
  maxQueued: 64,
  queueWeight: 1,
  maxConnections: 8,
  requestsPerSecond: 1000,
  burst: 200,
};

/** A tenant counts as active for at least this time after its last request. */
const ACTIVE_TENANT_MS = 1000;

interface TenantUsage {
  inFlight: number;
  queued: number;
  connections: number;
  lastRequestAt: Milliseconds;
  bucket: TokenBucket;
}

/** Enforces the limits of each tenant in one database group. */
export class TenantAdmission {
  private limits = new Map<TenantName, TenantGroupLimits>();
  private readonly usages = new Map<TenantName, TenantUsage>();

  setLimits(limits: readonly TenantGroupLimits[]): void {
    this.limits = new Map(limits.map((entry) => [entry.tenant, entry]));
  }

  limitsOf(tenant: TenantName): TenantGroupLimits {
    return this.limits.get(tenant) ?? { tenant, ...DEFAULT_TENANT_LIMITS };
  }

  /** Counts a new request as in flight; an error with a retry delay if it exceeds a limit. */
  admit(
    tenant: TenantName,
    expectedWaitMs: Milliseconds,
    now: Milliseconds,
  ): NotRunError | undefined {
    const limits = this.limitsOf(tenant);
    const config = bucketConfigOf(limits);
    const usage = this.usageOf(tenant, config, now);
    usage.lastRequestAt = now;
    if (usage.inFlight >= limits.maxInFlight) {
      return new NotRunError(
        'in-flight-limit',
        'too many requests in flight',
        Math.max(1, expectedWaitMs),
      );
    }
    if (usage.queued >= limits.maxQueued) {
      return new NotRunError('queue-full', 'too many requests queued', Math.max(1, expectedWaitMs));
    }
    const refilled = refill(usage.bucket, config, now);
    const taken = takeToken(refilled);
    usage.bucket = taken ?? refilled;
    if (taken === undefined) {
      const retryAfterMs = msUntilToken(refilled, config);
      return new NotRunError('rate-limit', 'request rate exceeded', retryAfterMs);
    }
    usage.inFlight += 1;
    return undefined;
  }

  recordQueued(tenant: TenantName, change: 1 | -1): void {
    const usage = this.usages.get(tenant);
    if (usage !== undefined) usage.queued += change;
  }

  recordConnection(tenant: TenantName, change: 1 | -1): void {
    const usage = this.usages.get(tenant);
    if (usage !== undefined) usage.connections += change;
  }

  recordCompleted(tenant: TenantName): void {
    const usage = this.usages.get(tenant);
    if (usage !== undefined) usage.inFlight -= 1;
  }

  /** True if the tenant is below its connection limit. */
  mayHoldConnection(tenant: TenantName): boolean {
    const held = this.usages.get(tenant)?.connections ?? 0;
    return held < this.limitsOf(tenant).maxConnections;
  }

  /** Number of tenants with requests, connections or recent activity in this group. */
  get activeTenantCount(): number {
    return this.usages.size;
  }

  /** Drops the state of tenants without requests, connections or recent activity, once their bucket is full. */
  removeIdle(now: Milliseconds): void {
    for (const [tenant, usage] of this.usages) {
      if (usage.inFlight > 0 || usage.connections > 0) continue;
      if (now - usage.lastRequestAt < ACTIVE_TENANT_MS) continue;
      const config = bucketConfigOf(this.limitsOf(tenant));
      if (refill(usage.bucket, config, now).tokens >= config.capacity) this.usages.delete(tenant);
    }
  }

  private usageOf(tenant: TenantName, config: TokenBucketConfig, now: Milliseconds): TenantUsage {
    const known = this.usages.get(tenant);
    if (known !== undefined) return known;
    const usage: TenantUsage = {
      inFlight: 0,
      queued: 0,
      connections: 0,
      lastRequestAt: now,
      bucket: fullBucket(config, now),
    };
    this.usages.set(tenant, usage);
    return usage;
  }
}

function bucketConfigOf(limits: TenantGroupLimits): TokenBucketConfig {
  return { tokensPerSecond: limits.requestsPerSecond, capacity: Math.max(1, limits.burst) };
}
