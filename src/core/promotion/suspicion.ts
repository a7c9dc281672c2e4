/**
 * Determines which primaries this node can't work with, from failures of its callers' requests. A suspicion is a
 * key under the node's lease; the leader counts them.
 */
import type { Milliseconds } from '../units.js';
import type { PrimaryUse } from './contract.js';
import type { NodeLease } from './lease.js';
import { type SuspicionRecord, suspicionKeyOf } from './records.js';
import { isStoreCallError, type PromotionRuntime } from './runtime.js';

/** Minimum number of failed requests for a suspicion. */
const MIN_FAILURES = 2;
/** Stands for an unknown suspicion in the store: differs from every instance, and from no suspicion. */
const UNKNOWN_INSTANCE = '';

interface ServiceHealth {
  /** Primary at which the requests failed. */
  readonly instance: string;
  /** First failure since the last success and number of failures since then, by use. */
  readonly failingSince: Map<PrimaryUse, { readonly at: Milliseconds; count: number }>;
}

/** This node's suspicion as stored, as far as known. */
interface WrittenSuspicion {
  instance: string | undefined;
  isBusy: boolean;
  revision: number;
  /** Earliest time of the next write, after a failed one. */
  retryAt: Milliseconds;
  /** Earliest time of the next suspicion; a withdrawal does not wait, since the leader may act on what is written. */
  nextSuspicionAt: Milliseconds;
  leaseId: string | undefined;
}

export class Suspicions {
  readonly #health = new Map<string, ServiceHealth>();
  readonly #written = new Map<string, WrittenSuspicion>();

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly lease: NodeLease,
  ) {}

  /** Records a failed request; the primary has responded to nothing for `silentForMs`. */
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

  /** Whether no request has failed since the last success. */
  isHealthy(service: string): boolean {
    return !this.#health.has(service);
  }

  /** Discards the failures at an earlier primary. */
  setPrimary(service: string, instance: string | undefined): void {
    const health = this.#health.get(service);
    if (health === undefined || health.instance === instance) return;
    this.#health.delete(service);
    this.#update(service);
  }

  /** The instance that this node suspects now. */
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
    // A key under an earlier lease is gone, or will be.
    const known = written.leaseId === leaseId ? written.instance : undefined;
    if (suspect === known) return;
    const isImmediate = suspect === undefined && !this.runtime.isDisabled('fresh-suspicions');
    const earliestAt = isImmediate ? written.retryAt : written.nextSuspicionAt;
    if (this.runtime.now < earliestAt) {
      written.isBusy = true;
      this.runtime.after(earliestAt - this.runtime.now, () => {
        written.isBusy = false;
        this.#update(service);
      });
      return;
    }
    this.#write(service, suspect, written, leaseId);
  }

  /**
   * Rewrites the suspicions after a restore of the store: the backup may lack one that was written, or have one
   * that was deleted.
   */
  handleStoreRestore(): void {
    for (const [service, written] of this.#written) {
      written.instance = UNKNOWN_INSTANCE;
      written.revision = 0;
      // The lease has to be renewed first.
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
      retryAt: 0,
      nextSuspicionAt: 0,
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
    if (instance !== undefined || this.runtime.isDisabled('fresh-suspicions')) {
      written.nextSuspicionAt = this.runtime.now + this.runtime.timings.suspicionPeriodMs;
    }
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
        // Nothing was written, so the minimum period between suspicions does not apply.
        const { storeRetryDelayMs } = this.runtime.timings;
        const delayMs = Math.max(answer.retryAfterMs, this.runtime.jittered(storeRetryDelayMs));
        written.retryAt = this.runtime.now + delayMs;
        written.nextSuspicionAt = written.retryAt;
      } else {
        const currentRevision = answer.current.find((entry) => entry.key === key)?.modRevision;
        if (answer.succeeded) {
          written.instance = instance;
          written.leaseId = leaseId;
          written.revision = instance === undefined ? 0 : answer.revision;
        } else {
          written.revision = currentRevision ?? 0;
          written.nextSuspicionAt = this.runtime.now;
        }
      }
      this.#update(service);
    });
  }
}
