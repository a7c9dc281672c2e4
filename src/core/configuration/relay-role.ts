/**
 * Decides whether this node relays, that is, watches the store and pushes its changes to the zone.
 * A candidate, chosen by rendezvous hashing, claims one of the zone's slots with a lease in the
 * store. The lease only limits the number of watches on the store. Two holders of a slot, no
 * holder, or a holder that was paused past its lease do no harm: a replica never goes back to an
 * older revision, and anti-entropy between peers delivers what a push missed.
 */
import type { Milliseconds } from '../units.js';
import { Backoff, jitter, type RandomSource } from './backoff.js';

/** Duration of a relay's lease. */
export const RELAY_LEASE_SECONDS = 15;
const RENEWAL_PERIOD_MS = 5000;
const REFUSED_CLAIM_RETRY_MS = 8000;
const CLAIM_BACKOFF = { initialMs: 500, maximumMs: 10_000 };

/** A lease on one of the zone's relay slots. */
export interface RelayLease {
  readonly leaseId: string;
  readonly slot: number;
}

/** Input of the relay role. */
export type RelayRoleEvent =
  | { readonly type: 'candidacy-changed'; readonly candidate: boolean }
  | { readonly type: 'claimed'; readonly lease: RelayLease }
  /** Other nodes hold all slots. */
  | { readonly type: 'claim-refused' }
  | { readonly type: 'claim-failed'; readonly retryAfterMs: Milliseconds }
  | { readonly type: 'renewed' }
  | { readonly type: 'renewal-failed'; readonly retryAfterMs: Milliseconds }
  /** The store reported that the lease has expired. */
  | { readonly type: 'lease-lapsed' }
  | { readonly type: 'tick' };

/** Output of the relay role. */
export type RelayRoleEffect =
  | { readonly type: 'claim-relay' }
  | { readonly type: 'renew-lease'; readonly lease: RelayLease }
  | { readonly type: 'release-relay'; readonly lease: RelayLease };

/** The state machine of one node's relay lease. */
export class RelayRole {
  #isCandidate = false;
  #lease: RelayLease | undefined;
  #isRequestPending = false;
  #nextAt: Milliseconds | undefined;
  readonly #backoff: Backoff;

  constructor(private readonly random: RandomSource) {
    this.#backoff = new Backoff(CLAIM_BACKOFF, random);
  }

  /** True while this node should watch the store. */
  get isActive(): boolean {
    return this.#isCandidate && this.#lease !== undefined;
  }

  nextDeadline(): Milliseconds | undefined {
    return this.#isRequestPending ? undefined : this.#nextAt;
  }

  handle(event: RelayRoleEvent, now: Milliseconds): RelayRoleEffect[] {
    switch (event.type) {
      case 'candidacy-changed':
        return this.#setCandidate(event.candidate, now);
      case 'claimed':
        return this.#handleClaimed(event.lease, now);
      case 'claim-refused':
        return this.#finishRequest(now + jitter(REFUSED_CLAIM_RETRY_MS, this.random));
      case 'claim-failed':
      case 'renewal-failed':
        return this.#finishRequest(now + this.#backoff.next(event.retryAfterMs));
      case 'renewed':
        this.#backoff.reset();
        return this.#finishRequest(now + jitter(RENEWAL_PERIOD_MS, this.random));
      case 'lease-lapsed':
        this.#lease = undefined;
        return this.#finishRequest(now);
      case 'tick':
        return this.#tick(now);
    }
  }

  #setCandidate(candidate: boolean, now: Milliseconds): RelayRoleEffect[] {
    if (candidate === this.#isCandidate) return [];
    this.#isCandidate = candidate;
    this.#nextAt = candidate ? now : undefined;
    return candidate ? this.#tick(now) : this.#release();
  }

  #handleClaimed(lease: RelayLease, now: Milliseconds): RelayRoleEffect[] {
    this.#lease = lease;
    this.#backoff.reset();
    const effects = this.#finishRequest(now + jitter(RENEWAL_PERIOD_MS, this.random));
    return this.#isCandidate ? effects : this.#release();
  }

  #finishRequest(nextAt: Milliseconds): RelayRoleEffect[] {
    this.#isRequestPending = false;
    this.#nextAt = this.#isCandidate ? nextAt : undefined;
    return [];
  }

  #tick(now: Milliseconds): RelayRoleEffect[] {
    if (this.#isRequestPending || this.#nextAt === undefined || now < this.#nextAt) return [];
    this.#isRequestPending = true;
    this.#nextAt = undefined;
    return [
      this.#lease === undefined
        ? { type: 'claim-relay' }
        : { type: 'renew-lease', lease: this.#lease },
    ];
  }

  #release(): RelayRoleEffect[] {
    const lease = this.#lease;
    this.#lease = undefined;
    return lease === undefined ? [] : [{ type: 'release-relay', lease }];
  }
}
