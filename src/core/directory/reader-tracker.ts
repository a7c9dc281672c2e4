/**
 * Tracks the readers through which a node watches a prefix of the store, and decides whether it can rely
 * on them or has to query the store itself. No I/O; the caller passes the time.
 */
import type { Milliseconds } from '../units.js';

/** A reader that sends nothing for this time is not relied on; it sends a message every 600 ms. */
export const READER_TIMEOUT_MS: Milliseconds = 1500;

interface ReaderStatus {
  readonly receivedAt: Milliseconds;
  /** When the store last confirmed the state that the reader relays. */
  readonly currentAsOf: Milliseconds;
  /** Revision that the reader knows of but has not sent all changes up to; 0 if none. */
  readonly unsentRevision: number;
}

export class ReaderTracker {
  readonly #readers = new Map<string, ReaderStatus>();

  /** `maxAgeMs`: how long a confirmation by the store is relied on; without a newer one, a reader says so by then. */
  constructor(private readonly maxAgeMs: Milliseconds) {}

  /** A reader has sent all changes, except for those up to `unsentRevision` if that is given. */
  recordReport(reader: string, now: Milliseconds, currentAt: Milliseconds, aheadTo = 0): void {
    const before = this.#readers.get(reader);
    this.#readers.set(reader, {
      receivedAt: now,
      currentAsOf: currentAt,
      unsentRevision: Math.max(before?.unsentRevision ?? 0, aheadTo),
    });
  }

  removeReader(reader: string): void {
    this.#readers.delete(reader);
  }

  /** True while at least one reader reports in time, and no such reader knows of changes that this node lacks. */
  isServedByReaders(now: Milliseconds, knownRevision: number): boolean {
    const relied = [...this.#readers.values()].filter((evidence) => this.#isFresh(evidence, now));
    return (
      relied.length > 0 && relied.every(({ unsentRevision: aheadTo }) => aheadTo <= knownRevision)
    );
  }

  #isFresh(
    { receivedAt: heardAt, currentAsOf: currentAt }: ReaderStatus,
    now: Milliseconds,
  ): boolean {
    return now - heardAt <= READER_TIMEOUT_MS && now - currentAt <= this.maxAgeMs;
  }
}
