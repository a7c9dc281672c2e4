/**
 * One part of the tenants' quotas, at the node that is its keeper. Other nodes request permits for operations that
 * are waiting, and a few prefetched permits that they hold for a limited time. Whatever the load of a tenant,
 * whichever nodes request permits and whether or not they use them, the tenant runs at most the bucket's burst plus
 * its rate in any period. No I/O; the caller passes the time.
 *
 * Why the bound holds: prefetched permits reduce the bucket's capacity until they expire. So the operations that can
 * run in a period are at most those held or left in the bucket at its start, together no more than the burst, plus
 * those that the rate has added since. A new or restarted keeper starts with empty buckets, because the operations
 * granted before it started also count.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';
import { PriorityReserve } from './priority-reserve.js';

/** Limit on a tenant's operations on all nodes together. */
export interface Quota {
  readonly ratePerSecond: number;
  /** Operations that may run at once beyond the rate. */
  readonly burst: number;
}

/** A node's request for permits. */
export interface PermitRequest {
  readonly tenant: string;
  /** The requesting node. */
  readonly node: string;
  /** Operations that wait for a permit, all of one priority. */
  readonly needed: number;
  /** 0, the default, is the highest. */
  readonly priority?: number | undefined;
  /** Prefetched permits that the node already holds. */
  readonly held: number;
  /** Prefetched permits that the node wants to hold, in addition to those needed. */
  readonly wanted: number;
}

export interface PermitGrant {
  readonly granted: number;
  /** Delay before the next request, if fewer permits were granted than are needed. */
  readonly retryAfterMs: Milliseconds;
}

/** Prefetched permits expire after this time: first on the holder's clock, later on the keeper's. */
export const PERMIT_LIFETIME_MS: Milliseconds = 4000;
/** Permits for prefetching are granted only from tokens above this fraction of the bucket's capacity. */
const PREFETCH_RESERVE_FRACTION = 0.5;

interface HeldPermits {
  readonly count: number;
  readonly expiresAt: Milliseconds;
}

interface Bucket {
  tokens: number;
  refilledAt: Milliseconds;
  readonly heldByNode: Map<string, HeldPermits>;
  readonly reserve: PriorityReserve;
}

export class QuotaLedger {
  readonly #buckets = new Map<string, Bucket>();

  constructor(
    /** Fraction of each quota that this ledger grants. */
    private readonly fraction: number,
    private readonly startedAt: Milliseconds,
    /**
     * Capacity of a bucket beyond its part of the burst: otherwise a part of a small burst could be less than one
     * operation, although the parts together hold one. It is taken from the overshoot that the operator allows.
     */
    private readonly extraCapacity: number = 0,
  ) {}

  /** @param quota the tenant's current quota; undefined if the tenant is not limited */
  grant(request: PermitRequest, quota: Quota | undefined, now: Milliseconds): PermitGrant {
    const { tenant, node, needed, held, wanted, priority = 0 } = request;
    if (quota === undefined) return { granted: needed + wanted, retryAfterMs: 0 };
    const bucket = this.#bucketOf(tenant);
    bucket.heldByNode.set(node, { count: held, expiresAt: now + PERMIT_LIFETIME_MS });
    const capacity = this.#refill(bucket, quota, now);
    const ratePerSecond = quota.ratePerSecond * this.fraction;
    bucket.reserve.recordDemand(priority, needed, ratePerSecond, now);
    const reserved = bucket.reserve.reservedAgainst(priority, { ratePerSecond, capacity }, now);
    const grantedNow = Math.min(needed, Math.max(0, Math.floor(bucket.tokens - reserved)));
    bucket.reserve.recordGranted(priority, grantedNow);
    const prefetchable = Math.floor(
      bucket.tokens - grantedNow - capacity * PREFETCH_RESERVE_FRACTION,
    );
    const prefetched = grantedNow < needed ? 0 : Math.max(0, Math.min(wanted - held, prefetchable));
    bucket.tokens -= grantedNow + prefetched;
    bucket.heldByNode.set(node, { count: held + prefetched, expiresAt: now + PERMIT_LIFETIME_MS });
    const retryAfterMs =
      needed > grantedNow ? msUntilTokens(1 + reserved, bucket.tokens, ratePerSecond) : 0;
    return { granted: grantedNow + prefetched, retryAfterMs };
  }

  #bucketOf(tenant: string): Bucket {
    const known = this.#buckets.get(tenant);
    if (known !== undefined) return known;
    const bucket: Bucket = {
      tokens: 0,
      refilledAt: this.startedAt,
      heldByNode: new Map(),
      reserve: new PriorityReserve(),
    };
    this.#buckets.set(tenant, bucket);
    return bucket;
  }

  /** Refills a bucket and drops expired permits; returns the capacity that unexpired permits leave. */
  #refill(bucket: Bucket, quota: Quota, now: Milliseconds): number {
    let held = 0;
    for (const [node, { count, expiresAt }] of bucket.heldByNode) {
      if (expiresAt <= now) bucket.heldByNode.delete(node);
      else held += count;
    }
    const capacity = Math.max(0, quota.burst * this.fraction + this.extraCapacity - held);
    const elapsedMs = Math.max(0, now - bucket.refilledAt);
    const earned = (elapsedMs * quota.ratePerSecond * this.fraction) / MILLISECONDS_PER_SECOND;
    bucket.tokens = Math.min(capacity, bucket.tokens + earned);
    bucket.refilledAt = now;
    return capacity;
  }
}

function msUntilTokens(needed: number, tokens: number, ratePerSecond: number): Milliseconds {
  if (ratePerSecond <= 0) return Number.POSITIVE_INFINITY;
  return Math.ceil((Math.max(0, needed - tokens) * MILLISECONDS_PER_SECOND) / ratePerSecond);
}
