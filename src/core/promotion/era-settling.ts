/**
 * How long after a return of the store from a copy something of the era before may still bind: leases that the copy has
 * not, records that are yet to be written again, and calls of the promotion that no record names. Counted from when this
 * process first heard of the era, which is no earlier than the return, or over at once where a leader has recorded that
 * it has waited.
 */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';
import type { PromotionTimings } from './options.js';

export class EraSettling {
  #heardAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Undefined for a store that names none. */
  #era: number | undefined;
  /** The era that a leader has recorded as settled. */
  #recorded: number | undefined;
  /** This process has no memory of an era before, in which the store may have held more. */
  #isWithoutMemory = false;

  /** It did not follow the store up to its return, and may have missed what the copy lacks. */
  #mayHaveMissed = false;

  #hasRisen = false;
  /** The era in which the whole system started. */
  #firstOfAll: number | undefined;

  constructor(
    private readonly timings: PromotionTimings,
    /** The whole system starts for the first time: there is no era before. */
    private readonly isFirstStart: boolean,
  ) {}

  /**
   * The store named its era for the first time, or one that is higher.
   * @param wasPermitted no change of primary can have ended before the return without this node's acknowledgement
   */
  note(era: number, now: Milliseconds, wasPermitted = true): void {
    const isFirst = this.#era === undefined;
    this.#mayHaveMissed = !isFirst && (!wasPermitted || this.mayHaveMissedRecords(now));
    if (isFirst && this.isFirstStart) this.#firstOfAll = era;
    this.#isWithoutMemory = isFirst || !this.mayRelyOnRecords(now);
    this.#hasRisen ||= !isFirst;
    this.#era = era;
    this.#heardAt = now;
  }

  /** What the records say of the era that is settled. */
  noteRecorded(era: number | undefined): void {
    this.#recorded = era;
  }

  /** The present era, if no leader has recorded it yet. */
  get unrecorded(): number | undefined {
    return this.#recorded === this.#era ? undefined : this.#era;
  }

  /** The store came back from a copy in the life of this process: what leaders kept for themselves may be lost. */
  get hasRisen(): boolean {
    return this.#hasRisen;
  }

  /** From then on no node relies on a lease that it had before: the last renewal was answered before the return. */
  get leasesOverAt(): Milliseconds {
    return this.#heardAt + this.timings.leaseSeconds * MILLISECONDS_PER_SECOND;
  }

  /** From then on no call of a leader of the era before can take effect. */
  get callsSettledAt(): Milliseconds {
    return this.leasesOverAt + this.timings.promoteTimeoutMs + this.timings.callSettledMs;
  }

  /** No lease of the era before is relied on any more. */
  isSettled(now: Milliseconds): boolean {
    return !this.#mayHaveBegunLately || now >= this.leasesOverAt;
  }

  /** A leader that leads since then may have taken over from one of the era before, whose calls are not settled. */
  mayHaveLostCalls(leadsSince: Milliseconds, now: Milliseconds): boolean {
    if (!this.#hasRisen && !this.#mayHaveBegunLately) return false;
    return leadsSince >= this.#heardAt && now < this.callsSettledAt;
  }

  /** Neither has a leader recorded the era, nor did the system start in it. */
  get #mayHaveBegunLately(): boolean {
    return this.unrecorded !== undefined && this.#firstOfAll !== this.#era;
  }

  /** A record that the copy lacks, and that others are yet to write again, may name another primary than is known here. */
  mayHaveMissedRecords(now: Milliseconds): boolean {
    return this.#mayHaveMissed && !this.isSettled(now);
  }

  /** What the store holds, with what this process remembers, is all that was acted on. */
  mayRelyOnRecords(now: Milliseconds): boolean {
    return !this.#isWithoutMemory || this.isSettled(now);
  }
}
