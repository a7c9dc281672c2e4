/** Leases of the store stand-in: each owns keys and expires unless it is kept alive. */
import type { Milliseconds } from '../../src/core/units.js';
import { MILLISECONDS_PER_SECOND } from '../../src/core/units.js';
import { type ByteString, NO_LEASE, StoreStandinError } from './model.js';

const FIRST_LEASE_ID = 7_587_862_000_000_000_000n;

interface Lease {
  readonly id: string;
  readonly ttlSeconds: number;
  expiresAt: Milliseconds;
  readonly keys: Set<ByteString>;
}

/** A lease within a backup of the store. */
export interface LeaseBackup {
  readonly id: string;
  readonly ttlSeconds: number;
  /** Remaining time to live, which continues from this value after a restore. */
  readonly remainingMs: Milliseconds;
  readonly keys: readonly ByteString[];
}

/** All leases. The caller passes the time. */
export class Leases {
  readonly #leases = new Map<string, Lease>();
  #nextId = FIRST_LEASE_ID;

  /** @throws StoreStandinError if the id is in use or the time to live is not positive. */
  grant(requestedId: string, ttlSeconds: number, now: Milliseconds): string {
    if (ttlSeconds <= 0) {
      throw new StoreStandinError('INVALID_ARGUMENT', 'etcdserver: lease TTL must be positive');
    }
    const id = requestedId === NO_LEASE ? String(this.#nextId++) : requestedId;
    if (this.#leases.has(id)) {
      throw new StoreStandinError('FAILED_PRECONDITION', 'etcdserver: lease already exists');
    }
    const expiresAt = now + ttlSeconds * MILLISECONDS_PER_SECOND;
    this.#leases.set(id, { id, ttlSeconds, expiresAt, keys: new Set() });
    return id;
  }

  /** Renews a lease; returns its time to live in seconds, or 0 if there is no such lease. */
  keepAlive(id: string, now: Milliseconds): number {
    const lease = this.#leases.get(id);
    if (lease === undefined) return 0;
    lease.expiresAt = now + lease.ttlSeconds * MILLISECONDS_PER_SECOND;
    return lease.ttlSeconds;
  }

  /**
   * Removes a lease and returns its keys, in byte order.
   * @throws StoreStandinError if there is no such lease.
   */
  remove(id: string): readonly ByteString[] {
    const keys = [...this.#require(id).keys].sort();
    this.#leases.delete(id);
    return keys;
  }

  /** @throws StoreStandinError if there is no such lease. */
  require(id: string): void {
    if (id !== NO_LEASE) this.#require(id);
  }

  #require(id: string): Lease {
    const lease = this.#leases.get(id);
    if (lease !== undefined) return lease;
    throw new StoreStandinError('NOT_FOUND', 'etcdserver: requested lease not found');
  }

  attach(key: ByteString, id: string): void {
    if (id !== NO_LEASE) this.#require(id).keys.add(key);
  }

  detach(key: ByteString, id: string): void {
    this.#leases.get(id)?.keys.delete(key);
  }

  /** Ids of the leases that have expired, oldest grant first. */
  expired(now: Milliseconds): string[] {
    return [...this.#leases.values()]
      .filter((lease) => lease.expiresAt <= now)
      .map((lease) => lease.id);
  }

  /** All leases with their remaining time at `now`. */
  createBackup(now: Milliseconds): LeaseBackup[] {
    return [...this.#leases.values()].map(({ id, ttlSeconds, expiresAt, keys }) => {
      return { id, ttlSeconds, remainingMs: expiresAt - now, keys: [...keys] };
    });
  }

  /** Replaces all leases by those of a backup. */
  restore(backups: readonly LeaseBackup[], now: Milliseconds): void {
    this.#leases.clear();
    for (const { id, ttlSeconds, remainingMs: leftMs, keys } of backups) {
      this.#leases.set(id, { id, ttlSeconds, expiresAt: now + leftMs, keys: new Set(keys) });
    }
  }

  /** Ids of all leases. */
  ids(): string[] {
    return [...this.#leases.keys()];
  }
}
