/**
 * Whether this node relays: a candidate by rendezvous claims one of the zone's slots by a lease in
 * the store. The lease only bounds how many watches the store carries. Two holders, none, or one
 * that was paused past its lease do no harm: replicas never go back, and peers even out the rest.
 */
import type { Milliseconds } from '../units.js';
import { Backoff, jitter, type RandomSource } from './backoff.js';

/** Length of a relay's lease. */
export const RELAY_LEASE_SECONDS = 15;
const RENEW_INTERVAL_MS = 5000;
const REFUSED_RETRY_MS = 8000;
const CLAIM_BACKOFF = { initialMs: 500, maximumMs: 10_000 };

/** A lease on one slot. */
export interface RelayLease {
  readonly leaseId: string;
  readonly slot: number;
}

/** What goes into the role. */
export type RelayRoleEvent =
  | { readonly type: 'candidacy-changed'; readonly candidate: boolean }
  | { readonly type: 'claimed'; readonly lease: RelayLease }
  /** Other nodes hold all slots. */
  | { readonly type: 'claim-refused' }
  | { readonly type: 'claim-failed'; readonly retryAfterMs: Milliseconds }
  | { readonly type: 'renewed' }
  | { readonly type: 'renewal-failed'; readonly retryAfterMs: Milliseconds }
  /** The store says that the lease has lapsed. */
  | { readonly type: 'lease-lapsed' }
  | { readonly type: 'tick' };

/** What comes out of the role. */
export type RelayRoleEffect =
  | { readonly type: 'claim-relay' }
  | { readonly type: 'renew-lease'; readonly lease: RelayLease }
  | { readonly type: 'release-relay'; readonly lease: RelayLease };

/** The state machine of one node's relay lease. */
export class RelayRole {
  #candidate = false;
  #lease: RelayLease | undefined;
  #asking = false;
  #nextAt: Milliseconds | undefined;
  readonly #backoff: Backoff;

  constructor(private readonly random: RandomSource) {
    this.#backoff = new Backoff(CLAIM_BACKOFF, random);
  }

  /** True while this node should follow the store. */
  get active(): boolean {
    return this.#candidate && this.#lease !== undefined;
  }

  nextDeadline(): Milliseconds | undefined {
    return this.#asking ? undefined : this.#nextAt;
  }

  handle(event: RelayRoleEvent, now: Milliseconds): RelayRoleEffect[] {
    switch (event.type) {
      case 'candidacy-changed':
        return this.#setCandidate(event.candidate, now);
      case 'claimed':
        return this.#claimed(event.lease, now);
      case 'claim-refused':
        return this.#answered(now + jitter(REFUSED_RETRY_MS, this.random));
      case 'claim-failed':
      case 'renewal-failed':
        return this.#answered(now + this.#backoff.next(event.retryAfterMs));
      case 'renewed':
        this.#backoff.reset();
        return this.#answered(now + jitter(RENEW_INTERVAL_MS, this.random));
      case 'lease-lapsed':
        this.#lease = undefined;
        return this.#answered(now);
      case 'tick':
        return this.#tick(now);
    }
  }

  #setCandidate(candidate: boolean, now: Milliseconds): RelayRoleEffect[] {
    if (candidate === this.#candidate) return [];
    this.#candidate = candidate;
    this.#nextAt = candidate ? now : undefined;
    return candidate ? this.#tick(now) : this.#release();
  }

  #claimed(lease: RelayLease, now: Milliseconds): RelayRoleEffect[] {
    this.#lease = lease;
    this.#backoff.reset();
    const effects = this.#answered(now + jitter(RENEW_INTERVAL_MS, this.random));
    return this.#candidate ? effects : this.#release();
  }

  #answered(nextAt: Milliseconds): RelayRoleEffect[] {
    this.#asking = false;
    this.#nextAt = this.#candidate ? nextAt : undefined;
    return [];
  }

  #tick(now: Milliseconds): RelayRoleEffect[] {
    if (this.#asking || this.#nextAt === undefined || now < this.#nextAt) return [];
    this.#asking = true;
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
