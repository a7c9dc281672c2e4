/**
 * A node's lease at the store. By the node's own clock it expires before it can expire at the store: the node counts
 * from before it sent the renewal, and the store counts from the renewal's arrival.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';
import { LEADER_KEY } from './records.js';
import { RetryPause } from './retry-pause.js';
import { isStoreCallError, type PromotionRuntime, type StoreCallError } from './runtime.js';

/** A node without a lease can't confirm any primary, so it must notice soon that the store is available again. */
const MAX_BACKOFF_MS = 500;
const MAX_UNANSWERED_RENEWALS = 2;

export class NodeLease {
  /** Called with every new lease. */
  onGranted: (leaseId: string) => void = () => {};
  #leaseId: string | undefined;
  #validUntil: Milliseconds = 0;
  #lastFailureAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Delay before a grant is requested again. */
  readonly #grantRetry: RetryPause;
  #failures = 0;
  /** Renewals without a response since the last one that got a response. */
  #unansweredRenewals = 0;
  #isStopped = false;
  #cancelScheduled = (): void => {};

  constructor(private readonly runtime: PromotionRuntime) {
    this.#grantRetry = new RetryPause(runtime);
  }

  /** Id of the lease granted last, even if it may have expired. */
  get leaseId(): string | undefined {
    return this.#leaseId;
  }

  /** Time until which the lease is certain to be valid at the store. */
  get validUntil(): Milliseconds {
    return this.#validUntil;
  }

  /** Last time at which a call to the store failed or timed out. */
  get lastFailureAt(): Milliseconds {
    return this.#lastFailureAt;
  }

  isValid(now: Milliseconds): boolean {
    return !this.#isStopped && this.#leaseId !== undefined && now < this.#validUntil;
  }

  /**
   * Whether the store responded for as long as a lease counts. A store that only refuses this node's calls runs, and may
   * serve instances and other nodes.
   */
  isStoreResponding(now: Milliseconds): boolean {
    return this.isValid(now) || now < this.#expiryOf(this.runtime.respondedAt);
  }

  start(): void {
    const { leaseSeconds } = this.runtime.timings;
    const sentAt = this.runtime.now;
    this.runtime.grantLease(leaseSeconds, (answer) => {
      if (this.#isStopped) return;
      if (isStoreCallError(answer)) {
        this.#recordFailure();
        this.#grantRetry.schedule(this.#backoff(answer), () => this.#isStopped || this.start());
        return;
      }
      this.#failures = 0;
      this.#leaseId = answer;
      this.#validUntil = this.#expiryOf(sentAt);
      this.#renewAfter(this.runtime.timings.leaseRenewPeriodMs - (this.runtime.now - sentAt));
      this.onGranted(answer);
    });
  }

  /** Requests a delayed grant now, since the store responds again. */
  retryNow(): void {
    this.#grantRetry.runNow();
  }

  /** Stops relying on the lease until it is renewed: the restored store may lack it, or its last renewals. */
  handleStoreRestore(): void {
    this.#validUntil = 0;
    if (this.#isStopped || this.#leaseId === undefined) return;
    this.#unansweredRenewals = 0;
    this.#renewAfter(0);
  }

  /** Stops using the lease at once and returns its id, so that the caller can revoke it. */
  stop(): string | undefined {
    this.#isStopped = true;
    this.#cancelScheduled();
    return this.#leaseId;
  }

  #expiryOf(sentAt: Milliseconds): Milliseconds {
    const { leaseSeconds, leaseSafetyMarginMs } = this.runtime.timings;
    return sentAt + leaseSeconds * MILLISECONDS_PER_SECOND - leaseSafetyMarginMs;
  }

  #renewAfter(delayMs: Milliseconds): void {
    this.#cancelScheduled();
    this.#cancelScheduled = this.runtime.after(delayMs, () => this.#renew());
  }

  #renew(): void {
    const leaseId = this.#leaseId;
    if (leaseId === undefined) return;
    if (this.#unansweredRenewals >= MAX_UNANSWERED_RENEWALS) {
      this.#awaitResponse();
      return;
    }
    const { leaseRenewPeriodMs, leaseRetryAfterMs } = this.runtime.timings;
    const sentAt = this.runtime.now;
    this.#cancelScheduled = this.runtime.after(leaseRetryAfterMs, () => {
      this.#unansweredRenewals += 1;
      this.#recordFailure();
      this.#renew();
    });
    this.runtime.renewLease(leaseId, (answer) => {
      if (this.#isStopped || leaseId !== this.#leaseId) return;
      this.#unansweredRenewals = 0;
      if (answer === true) {
        this.#failures = 0;
        this.#validUntil = Math.max(this.#validUntil, this.#expiryOf(sentAt));
        this.#renewAfter(Math.max(0, leaseRenewPeriodMs - (this.runtime.now - sentAt)));
      } else if (answer.isLeaseGone) {
        this.#replaceLease();
      } else {
        this.#recordFailure();
        this.#renewAfter(this.#backoff(answer));
      }
    });
  }

  /**
   * Stops renewing until the store responds. Renewals may reach the store though its responses are lost: then the lease
   * would stay alive and delay promotions, which wait for this node's acknowledgement.
   */
  #awaitResponse(): void {
    this.#cancelScheduled = this.runtime.after(this.runtime.timings.leaseRetryAfterMs, () => {
      this.#recordFailure();
      this.#awaitResponse();
    });
    const cancel = this.#cancelScheduled;
    this.runtime.range(LEADER_KEY, (answer) => {
      if (this.#isStopped || isStoreCallError(answer) || this.#unansweredRenewals === 0) return;
      cancel();
      this.#unansweredRenewals = 0;
      this.#renewAfter(0);
    });
  }

  #replaceLease(): void {
    this.runtime.log('warn', 'lease lost', { lease: this.#leaseId });
    this.#leaseId = undefined;
    this.#validUntil = 0;
    this.#cancelScheduled();
    this.start();
  }

  #recordFailure(): void {
    this.#lastFailureAt = this.runtime.now;
  }

  #backoff({ retryAfterMs }: StoreCallError): Milliseconds {
    const bound = this.runtime.timings.storeRetryDelayMs * 2 ** this.#failures;
    this.#failures += 1;
    return Math.max(retryAfterMs, this.runtime.jittered(Math.min(MAX_BACKOFF_MS, bound)));
  }
}
