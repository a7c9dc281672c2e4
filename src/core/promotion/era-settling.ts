/**
 * How long after a return of the store from a copy something of the era before may still bind: leases that the copy has
 * not, records that are yet to be written again, and calls of the promotion that no record names. Counted from when this
 * process first heard of the era, which is no earlier than the return, or over at once where a leader has recorded that
 * it has waited.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';
import type { PromotionTimings } from './options.js';

export class EraSettling {
  #eraFirstSeenAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Undefined for a store that names none. */
  #era: number | undefined;
  /** The era that a leader has recorded as settled. */
  #settledEra: number | undefined;
  /** This process has no memory of an era before, in which the store may have held more. */
  #lacksEarlierRecords = false;

  /** It did not follow the store up to its return, and may have missed what the copy lacks. */
  #mayHaveMissed = false;

  #hasStoreBeenRestored = false;
  /** The era in which the whole system started. */
  #initialEra: number | undefined;

  constructor(
    private readonly timings: PromotionTimings,
    /** The whole system starts for the first time: there is no era before. */
    private readonly isFirstStart: boolean,
  ) {}

  /**
   * The store named its era for the first time, or one that is higher.
   * @param hadWritePermission no change of primary can have ended before the return without this node's acknowledgement
   */
  recordEra(era: number, now: Milliseconds, hadWritePermission = true): void {
    const isFirst = this.#era === undefined;
    this.#mayHaveMissed = !isFirst && (!hadWritePermission || this.mayHaveMissedRecords(now));
    if (isFirst && this.isFirstStart) this.#initialEra = era;
    this.#lacksEarlierRecords = isFirst || !this.mayRelyOnRecords(now);
    this.#hasStoreBeenRestored ||= !isFirst;
    this.#era = era;
    this.#eraFirstSeenAt = now;
  }

  /** What the records say of the era that is settled. */
  setSettledEra(era: number | undefined): void {
    this.#settledEra = era;
  }

  /** The present era, if no leader has recorded it yet. */
  get unrecordedEra(): number | undefined {
    return this.#settledEra === this.#era ? undefined : this.#era;
  }

  /** The store came back from a copy in the life of this process: what leaders kept for themselves may be lost. */
  get hasStoreBeenRestored(): boolean {
    return this.#hasStoreBeenRestored;
  }

  /** From then on no node relies on a lease that it had before: the last renewal was answered before the return. */
  get previousLeasesExpiredAt(): Milliseconds {
    return this.#eraFirstSeenAt + this.timings.leaseSeconds * MILLISECONDS_PER_SECOND;
  }

  /** From then on no call of a leader of the era before can take effect. */
  get previousCallsSettledAt(): Milliseconds {
    return (
      this.previousLeasesExpiredAt + this.timings.promoteTimeoutMs + this.timings.callSettledMs
    );
  }

  /** No lease of the era before is relied on any more. */
  isSettled(now: Milliseconds): boolean {
    return !this.#mayHaveBegunRecently || now >= this.previousLeasesExpiredAt;
  }

  /** A leader that leads since then may have taken over from one of the era before, whose calls are not settled. */
  mayHaveUnnamedCalls(leadingSince: Milliseconds, now: Milliseconds): boolean {
    if (!this.#hasStoreBeenRestored && !this.#mayHaveBegunRecently) return false;
    return leadingSince >= this.#eraFirstSeenAt && now < this.previousCallsSettledAt;
  }

  /** Neither has a leader recorded the era, nor did the system start in it. */
  get #mayHaveBegunRecently(): boolean {
    return this.unrecordedEra !== undefined && this.#initialEra !== this.#era;
  }

  /** A record that the copy lacks, and that others are yet to write again, may name another primary than is known here. */
  mayHaveMissedRecords(now: Milliseconds): boolean {
    return this.#mayHaveMissed && !this.isSettled(now);
  }

  /** What the store holds, with what this process remembers, is all that was acted on. */
  mayRelyOnRecords(now: Milliseconds): boolean {
    return !this.#lacksEarlierRecords || this.isSettled(now);
  }
}
