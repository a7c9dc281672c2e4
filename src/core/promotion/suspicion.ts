/**
 * Which primaries this node can't work with, from what its callers meet there. A suspicion is a key
 * under the node's lease; the leader counts them.
 */
import type { Milliseconds } from '../units.js';
import type { PrimaryUse } from './contract.js';
import type { NodeLease } from './lease.js';
import { type SuspicionRecord, suspicionKeyOf } from './records.js';
import { isStoreCallError, type PromotionRuntime } from './runtime.js';

/** Failures are told by at least so many requests. */
const MIN_FAILURES = 2;
/** Stands for whatever the store may hold: differs from every instance, and from none. */
const UNKNOWN_INSTANCE = '';

interface ServiceHealth {
  /** Primary that this is of. */
  readonly instance: string;
  /** First failure since the last success, by use. */
  readonly failingSince: Map<PrimaryUse, { readonly at: Milliseconds; count: number }>;
}

/** What the store holds of this node's suspicion, as far as known. */
interface WrittenSuspicion {
  instance: string | undefined;
  isBusy: boolean;
  revision: number;
  nextWriteAt: Milliseconds;
  leaseId: string | undefined;
}

export class Suspicions {
  readonly #health = new Map<string, ServiceHealth>();
  readonly #written = new Map<string, WrittenSuspicion>();

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly lease: NodeLease,
  ) {}

  /** A request failed; nothing that was asked of the primary has been answered for `silentForMs`. */
  recordFailure(
    service: string,
    instance: string,
    use: PrimaryUse,
    silentForMs: Milliseconds,
  ): void {
    const { now, timings } = this.runtime;
    const health = this.#healthOf(service, instance);
    const failing = health.failingSince.get(use);
    if (failing !== undefined) {
      failing.count += 1;
    } else {
      health.failingSince.set(use, { at: now - silentForMs, count: 1 });
      const remainingMs = Math.max(0, timings.suspectAfterMs - silentForMs);
      this.runtime.after(remainingMs, () => this.#update(service));
    }
    this.#update(service);
  }

  recordSuccess(service: string, instance: string, use: PrimaryUse): void {
    const health = this.#health.get(service);
    if (health === undefined || health.instance !== instance) return;
    // A commit also shows that the instance can be reached; a read does not show that commits work.
    health.failingSince.delete('reach');
    if (use === 'commit') health.failingSince.delete('commit');
    if (health.failingSince.size > 0) return;
    this.#health.delete(service);
    this.#update(service);
  }

  /** No request failed since the last success. */
  isHealthy(service: string): boolean {
    return !this.#health.has(service);
  }

  /** The primary of the service may have changed. */
  setPrimary(service: string, instance: string | undefined): void {
    const health = this.#health.get(service);
    if (health === undefined || health.instance === instance) return;
    this.#health.delete(service);
    this.#update(service);
  }

  /** Instance that this node suspects now. */
  suspectOf(service: string): string | undefined {
    const health = this.#health.get(service);
    if (health === undefined) return undefined;
    const since = this.runtime.now - this.runtime.timings.suspectAfterMs;
    const isSuspect = [...health.failingSince.values()].some(
      ({ at, count }) => at <= since && count >= MIN_FAILURES,
    );
    return isSuspect ? health.instance : undefined;
  }

  #healthOf(service: string, instance: string): ServiceHealth {
    const known = this.#health.get(service);
    if (known?.instance === instance) return known;
    const health = { instance, failingSince: new Map() };
    this.#health.set(service, health);
    return health;
  }

  #update(service: string): void {
    const suspect = this.suspectOf(service);
    const written = this.#writtenOf(service);
    const { leaseId } = this.lease;
    if (written.isBusy || leaseId === undefined || !this.lease.isValid(this.runtime.now)) return;
    // What hung on an earlier lease is gone, or will be.
    const known = written.leaseId === leaseId ? written.instance : undefined;
    if (suspect === known) return;
    if (this.runtime.now < written.nextWriteAt) {
      written.isBusy = true;
      this.runtime.after(written.nextWriteAt - this.runtime.now, () => {
        written.isBusy = false;
        this.#update(service);
      });
      return;
    }
    this.#write(service, suspect, written, leaseId);
  }

  /** The store came back from a copy, which may lack what was written, or hold what was taken back. */
  handleEraChange(): void {
    for (const [service, written] of this.#written) {
      written.instance = UNKNOWN_INSTANCE;
      written.revision = 0;
      // Not before the lease is renewed.
      this.runtime.after(this.runtime.timings.leaseRenewPeriodMs, () => this.#update(service));
    }
  }

  #writtenOf(service: string): WrittenSuspicion {
    const known = this.#written.get(service);
    if (known !== undefined) return known;
    const written = {
      instance: undefined,
      isBusy: false,
      revision: 0,
      nextWriteAt: 0,
      leaseId: undefined,
    };
    this.#written.set(service, written);
    return written;
  }

  #write(
    service: string,
    instance: string | undefined,
    written: WrittenSuspicion,
    leaseId: string,
  ): void {
    const key = suspicionKeyOf(service, this.runtime.options.nodeName);
    written.isBusy = true;
    written.nextWriteAt = this.runtime.now + this.runtime.timings.suspicionPeriodMs;
    const operation =
      instance === undefined
        ? ({ type: 'delete', key } as const)
        : ({
            type: 'put',
            key,
            value: JSON.stringify({ instance } satisfies SuspicionRecord),
            leaseId,
          } as const);
    const compares = [{ key, modRevision: written.revision }];
    this.runtime.transaction(compares, [operation], (answer) => {
      written.isBusy = false;
      if (isStoreCallError(answer)) {
        // Nothing was told yet: the pause between tellings has no say.
        const { storeRetryDelayMs } = this.runtime.timings;
        const delayMs = Math.max(answer.retryAfterMs, this.runtime.jittered(storeRetryDelayMs));
        written.nextWriteAt = this.runtime.now + delayMs;
      } else {
        const currentRevision = answer.current.find((entry) => entry.key === key)?.modRevision;
        if (answer.succeeded) {
          written.instance = instance;
          written.leaseId = leaseId;
          written.revision = instance === undefined ? 0 : answer.revision;
        } else {
          written.revision = currentRevision ?? 0;
          written.nextWriteAt = this.runtime.now;
        }
      }
      this.#update(service);
    });
  }
}
