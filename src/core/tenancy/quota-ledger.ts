/**
 * One part of the tenants' quotas at the node that keeps it. Other nodes ask it for permits: for operations at hand, and
 * a few ahead that they hold for a while. Answers load of any size from one tenant: what it may run in a time is the
 * bucket's burst and rate, whoever asks and whatever became of the permits. No I/O and no clock.
 *
 * Why the bound holds: permits that nodes hold ahead are taken off the bucket's capacity until they are void, so that
 * in any time at most what was held or left at its beginning, together no more than the burst, and what the rate has
 * brought since can be used. A keeper that begins anew, or after another one, begins empty for the same reason: what was
 * used before it began counts too.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';
import { PriorityReserve } from './priority-reserve.js';

/** What a tenant may run on all nodes together. */
export interface Quota {
  readonly ratePerSecond: number;
  /** Operations beyond the rate that may come at once. */
  readonly burst: number;
}

/** What a node asks for. */
export interface PermitRequest {
  readonly tenant: string;
  /** Who asks. */
  readonly node: string;
  /** Operations at hand, all of one priority. */
  readonly needed: number;
  /** 0, the highest, by default. */
  readonly priority?: number | undefined;
  /** Permits that the node holds already. */
  readonly held: number;
  /** Permits that it would like to hold beside those for what is at hand. */
  readonly wanted: number;
}

export interface PermitGrant {
  readonly granted: number;
  /** When it is worth asking again, if less was granted than is needed. */
  readonly retryAfterMs: Milliseconds;
}

/** Permits held ahead are void after this, by the clock of who holds them and, later, of who gave them. */
export const PERMIT_LIFE_MS: Milliseconds = 4000;
/** Permits are given ahead only from what the bucket holds above this part of its capacity. */
const KEPT_SHARE = 0.5;

interface HeldPermits {
  readonly count: number;
  readonly voidAt: Milliseconds;
}

interface Bucket {
  tokens: number;
  at: Milliseconds;
  readonly held: Map<string, HeldPermits>;
  readonly reserve: PriorityReserve;
}

export class QuotaLedger {
  readonly #buckets = new Map<string, Bucket>();

  constructor(
    /** Part of each quota that this ledger gives out. */
    private readonly share: number,
    private readonly begunAt: Milliseconds,
    /**
     * Operations that a bucket may hold beyond its part of the burst: a part of a small one would lack a whole operation
     * otherwise, while the parts together have one. It is of what the operator allows beyond the limit.
     */
    private readonly spare: number = 0,
  ) {}

  /** @param quota in force now; undefined if nothing bounds the tenant */
  grant(request: PermitRequest, quota: Quota | undefined, now: Milliseconds): PermitGrant {
    const { tenant, node, needed, held, wanted, priority = 0 } = request;
    if (quota === undefined) return { granted: needed + wanted, retryAfterMs: 0 };
    const bucket = this.#bucketOf(tenant);
    bucket.held.set(node, { count: held, voidAt: now + PERMIT_LIFE_MS });
    const capacity = this.#refill(bucket, quota, now);
    const ratePerSecond = quota.ratePerSecond * this.share;
    bucket.reserve.noteDemand(priority, needed, ratePerSecond, now);
    const kept = bucket.reserve.keptFrom(priority, { ratePerSecond, capacity }, now);
    const forNow = Math.min(needed, Math.max(0, Math.floor(bucket.tokens - kept)));
    bucket.reserve.noteGranted(priority, forNow);
    const spare = Math.floor(bucket.tokens - forNow - capacity * KEPT_SHARE);
    const ahead = forNow < needed ? 0 : Math.max(0, Math.min(wanted - held, spare));
    bucket.tokens -= forNow + ahead;
    bucket.held.set(node, { count: held + ahead, voidAt: now + PERMIT_LIFE_MS });
    const retryAfterMs = needed > forNow ? timeTo(1 + kept, bucket.tokens, ratePerSecond) : 0;
    return { granted: forNow + ahead, retryAfterMs };
  }

  #bucketOf(tenant: string): Bucket {
    const known = this.#buckets.get(tenant);
    if (known !== undefined) return known;
    const bucket: Bucket = {
      tokens: 0,
      at: this.begunAt,
      held: new Map(),
      reserve: new PriorityReserve(),
    };
    this.#buckets.set(tenant, bucket);
    return bucket;
  }

  /** Brings a bucket up to now; gives what it may hold at most. */
  #refill(bucket: Bucket, quota: Quota, now: Milliseconds): number {
    let ahead = 0;
    for (const [node, { count, voidAt }] of bucket.held) {
      if (voidAt <= now) bucket.held.delete(node);
      else ahead += count;
    }
    const capacity = Math.max(0, quota.burst * this.share + this.spare - ahead);
    const elapsedMs = Math.max(0, now - bucket.at);
    const earned = (elapsedMs * quota.ratePerSecond * this.share) / MILLISECONDS_PER_SECOND;
    bucket.tokens = Math.min(capacity, bucket.tokens + earned);
    bucket.at = now;
    return capacity;
  }
}

function timeTo(wanted: number, tokens: number, ratePerSecond: number): Milliseconds {
  if (ratePerSecond <= 0) return Number.POSITIVE_INFINITY;
  return Math.ceil((Math.max(0, wanted - tokens) * MILLISECONDS_PER_SECOND) / ratePerSecond);
}
