/**
 * A node's lease at the store. It is over by the node's own clock earlier than it can be over at the
 * store: it runs there from the arrival of the renewal, and here from before it was sent.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';
import { LEADER_KEY } from './records.js';
import { RetryPause } from './retry-pause.js';
import { isStoreCallError, type PromotionRuntime, type StoreCallError } from './runtime.js';

/** A node without a lease can't vouch for any primary, so it must notice soon that the store is back. */
const BACKOFF_MAXIMUM_MS = 500;
const SILENCES_UNTIL_LOOKING = 2;

export class NodeLease {
  /** Called with every new lease. */
  onGranted: (leaseId: string) => void = () => {};
  #leaseId: string | undefined;
  #validUntil: Milliseconds = 0;
  #troubleAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Until a grant is asked for again. */
  readonly #pause: RetryPause;
  #failures = 0;
  /** Renewals without an answer since the last one that had one. */
  #silences = 0;
  #stopped = false;
  #cancelNext = (): void => {};

  constructor(private readonly runtime: PromotionRuntime) {
    this.#pause = new RetryPause(runtime);
  }

  /** The lease that was granted last, also if it may be over. */
  get leaseId(): string | undefined {
    return this.#leaseId;
  }

  /** Until when the lease surely holds at the store. */
  get validUntil(): Milliseconds {
    return this.#validUntil;
  }

  /** Last time that the store did not answer, or not in time. */
  get troubleAt(): Milliseconds {
    return this.#troubleAt;
  }

  isValid(now: Milliseconds): boolean {
    return !this.#stopped && this.#leaseId !== undefined && now < this.#validUntil;
  }

  start(): void {
    const { leaseSeconds } = this.runtime.timings;
    const sentAt = this.runtime.now;
    this.runtime.grantLease(leaseSeconds, (answer) => {
      if (this.#stopped) return;
      if (isStoreCallError(answer)) {
        this.#noteTrouble();
        this.#pause.schedule(this.#backoff(answer), () => this.#stopped || this.start());
        return;
      }
      this.#failures = 0;
      this.#leaseId = answer;
      this.#validUntil = this.#endOf(sentAt);
      this.#renewAfter(this.runtime.timings.leaseRenewPeriodMs - (this.runtime.now - sentAt));
      this.onGranted(answer);
    });
  }

  /** The store answers again: a grant that waits to be asked for once more is asked for now. */
  retryNow(): void {
    this.#pause.runNow();
  }

  /** The store came back from a copy: it may lack the lease, or its last renewals. */
  noteEra(): void {
    this.#validUntil = 0;
    if (this.#stopped || this.#leaseId === undefined) return;
    this.#silences = 0;
    this.#renewAfter(0);
  }

  /** Ends the lease's use at once; the lease itself is left to the caller. */
  stop(): string | undefined {
    this.#stopped = true;
    this.#cancelNext();
    return this.#leaseId;
  }

  #endOf(sentAt: Milliseconds): Milliseconds {
    const { leaseSeconds, leaseSafetyMarginMs } = this.runtime.timings;
    return sentAt + leaseSeconds * MILLISECONDS_PER_SECOND - leaseSafetyMarginMs;
  }

  #renewAfter(delayMs: Milliseconds): void {
    this.#cancelNext();
    this.#cancelNext = this.runtime.after(delayMs, () => this.#renew());
  }

  #renew(): void {
    const leaseId = this.#leaseId;
    if (leaseId === undefined) return;
    if (this.#silences >= SILENCES_UNTIL_LOOKING) {
      this.#look();
      return;
    }
    const { leaseRenewPeriodMs, leaseRetryAfterMs } = this.runtime.timings;
    const sentAt = this.runtime.now;
    this.#cancelNext = this.runtime.after(leaseRetryAfterMs, () => {
      this.#silences += 1;
      this.#noteTrouble();
      this.#renew();
    });
    this.runtime.renewLease(leaseId, (answer) => {
      if (this.#stopped || leaseId !== this.#leaseId) return;
      this.#silences = 0;
      if (answer === true) {
        this.#failures = 0;
        this.#validUntil = Math.max(this.#validUntil, this.#endOf(sentAt));
        this.#renewAfter(Math.max(0, leaseRenewPeriodMs - (this.runtime.now - sentAt)));
      } else if (answer.isLeaseGone) {
        this.#replace();
      } else {
        this.#noteTrouble();
        this.#renewAfter(this.#backoff(answer));
      }
    });
  }

  /**
   * Renewals may reach the store though its answers don't come back: then the lease would hold up
   * promotions, which wait for this node's acknowledgement. Renews no more until an answer comes.
   */
  #look(): void {
    this.#cancelNext = this.runtime.after(this.runtime.timings.leaseRetryAfterMs, () => {
      this.#noteTrouble();
      this.#look();
    });
    const cancel = this.#cancelNext;
    this.runtime.range(LEADER_KEY, (answer) => {
      if (this.#stopped || isStoreCallError(answer) || this.#silences === 0) return;
      cancel();
      this.#silences = 0;
      this.#renewAfter(0);
    });
  }

  #replace(): void {
    this.runtime.log('warn', 'lease lost', { lease: this.#leaseId });
    this.#leaseId = undefined;
    this.#validUntil = 0;
    this.#cancelNext();
    this.start();
  }

  #noteTrouble(): void {
    this.#troubleAt = this.runtime.now;
  }

  #backoff({ retryAfterMs }: StoreCallError): Milliseconds {
    const bound = this.runtime.timings.storeRetryDelayMs * 2 ** this.#failures;
    this.#failures += 1;
    return Math.max(retryAfterMs, this.runtime.jittered(Math.min(BACKOFF_MAXIMUM_MS, bound)));
  }
}
