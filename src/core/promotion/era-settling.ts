/**
 * Tracks for how long after a restore of the store from a backup the previous era can still have an effect: through
 * leases that the backup lacks, records that are yet to be rewritten, and promotion calls that no record names. The
 * time counts from when this process first learned of the era, which is never before the restore. It ends at once where
 * a leader has recorded that it has waited.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';
import type { PromotionTimings } from './options.js';

export class EraSettling {
  #eraFirstSeenAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Current store era; undefined for a store that reports none. */
  #era: number | undefined;
  /** Era that a leader has recorded as settled. */
  #settledEra: number | undefined;
  /** This process does not know the records of the previous era, in which the store may have held more. */
  #lacksEarlierRecords = false;
  /** This process was cut off from the store before the restore, and may have missed records that the backup lacks. */
  #mayHaveMissed = false;
  #hasStoreBeenRestored = false;
  /** Era in which the whole system started for the first time. */
  #initialEra: number | undefined;

  constructor(
    private readonly timings: PromotionTimings,
    /** Whether the whole system starts for the first time, so that there is no previous era. */
    private readonly isFirstStart: boolean,
  ) {}

  /**
   * Records the first era that the store reports, or a higher one.
   * @param hadWritePermission no primary change can have been completed before the restore without this node's
   *   acknowledgement
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

  /** Sets the era that the records name as settled. */
  setSettledEra(era: number | undefined): void {
    this.#settledEra = era;
  }

  /** The current era if no leader has recorded it as settled yet. */
  get unrecordedEra(): number | undefined {
    return this.#settledEra === this.#era ? undefined : this.#era;
  }

  /** The store was restored from a backup while this process ran: records that only leaders watch may be lost. */
  get hasStoreBeenRestored(): boolean {
    return this.#hasStoreBeenRestored;
  }

  /**
   * Time from which no node relies on a lease of the previous era: its last successful renewal was before the restore.
   */
  get previousLeasesExpiredAt(): Milliseconds {
    return this.#eraFirstSeenAt + this.timings.leaseSeconds * MILLISECONDS_PER_SECOND;
  }

  /** Time from which no promotion call by a leader of the previous era can take effect. */
  get previousCallsSettledAt(): Milliseconds {
    return (
      this.previousLeasesExpiredAt + this.timings.promoteTimeoutMs + this.timings.callSettledMs
    );
  }

  /** Whether no node relies on a lease of the previous era any more. */
  isSettled(now: Milliseconds): boolean {
    return !this.#mayBeUnsettled || now >= this.previousLeasesExpiredAt;
  }

  /** Whether a leader since this time may have succeeded one of the previous era whose calls are not settled. */
  mayHaveUnnamedCalls(leadingSince: Milliseconds, now: Milliseconds): boolean {
    if (!this.#hasStoreBeenRestored && !this.#mayBeUnsettled) return false;
    return leadingSince >= this.#eraFirstSeenAt && now < this.previousCallsSettledAt;
  }

  /** No leader has recorded the era as settled, and the system did not start for the first time in it. */
  get #mayBeUnsettled(): boolean {
    return this.unrecordedEra !== undefined && this.#initialEra !== this.#era;
  }

  /** Whether a record that the backup lacks, and that other nodes are yet to rewrite, may name another primary. */
  mayHaveMissedRecords(now: Milliseconds): boolean {
    return this.#mayHaveMissed && !this.isSettled(now);
  }

  /** Whether the store and this process together know every record that any node has acted on. */
  mayRelyOnRecords(now: Milliseconds): boolean {
    return !this.#lacksEarlierRecords || this.isSettled(now);
  }
}
