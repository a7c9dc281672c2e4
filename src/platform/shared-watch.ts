/**
 * Wraps a store so that watches of prefixes with a common prefix share one watch, because each poll has a cost,
 * however many keys it covers. All other calls go straight to the store.
 */
import type { ResultAsync } from 'neverthrow';
import { keyOf, revisionOf } from '../core/directory/watch-history.js';
import type { MeadowstackError } from '../core/errors.js';
import type { Milliseconds } from '../core/units.js';
import type {
  RangeResponse,
  RevisionCompare,
  Store,
  StoreError,
  TransactionOperation,
  TransactionResponse,
  WatchEvent,
  WatchHandlers,
} from './contract.js';

interface Subscriber {
  readonly prefix: string;
  readonly handlers: WatchHandlers;
  /** Everything up to this revision was reported to the subscriber, or the subscriber knew it before. */
  knownRevision: number;
}

export class SharedWatchStore implements Store {
  readonly #subscribers = new Set<Subscriber>();
  #close: (() => void) | undefined;
  #isOpeningScheduled = false;
  /** The open watch has reported the changes up to this revision and will report all later ones. */
  #reportedRevision = 0;
  /** When the poll in flight was sent, or slightly earlier. */
  #pollSentAt: Milliseconds = 0;

  constructor(
    private readonly store: Store,
    /** Watches of prefixes that start with this share one watch. */
    private readonly sharedPrefix: string,
    /** Monotonic clock. */
    private readonly now: () => Milliseconds,
  ) {}

  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): () => void {
    if (!prefix.startsWith(this.sharedPrefix)) {
      return this.store.watch(prefix, fromRevision, handlers);
    }
    const subscriber = { prefix, handlers, knownRevision: fromRevision - 1 };
    this.#subscribers.add(subscriber);
    this.#scheduleOpening();
    return () => {
      this.#subscribers.delete(subscriber);
      if (this.#subscribers.size === 0) this.#closeWatch();
    };
  }

  range(prefix: string): ResultAsync<RangeResponse, StoreError> {
    return this.store.range(prefix);
  }

  transaction(
    compares: readonly RevisionCompare[],
    operations: readonly TransactionOperation[],
  ): ResultAsync<TransactionResponse, StoreError> {
    return this.store.transaction(compares, operations);
  }

  grantLease(seconds: number): ResultAsync<string, StoreError> {
    return this.store.grantLease(seconds);
  }

  keepLeaseAlive(leaseId: string): ResultAsync<number, StoreError> {
    return this.store.keepLeaseAlive(leaseId);
  }

  revokeLease(leaseId: string): ResultAsync<void, StoreError> {
    return this.store.revokeLease(leaseId);
  }

  requestCount(): number {
    return this.store.requestCount();
  }

  /**
   * Subscribers that join in the same turn of the event loop share a new watch, which starts at the earliest revision
   * that any of them needs. An open watch is kept if all subscribers know the changes that it has reported. The
   * response to its poll in flight may reflect a state from before a subscriber joined, so it is reported with the
   * time at which the poll was sent.
   */
  #scheduleOpening(): void {
    if (this.#isOpeningScheduled) return;
    this.#isOpeningScheduled = true;
    queueMicrotask(() => {
      this.#isOpeningScheduled = false;
      if (this.#subscribers.size === 0 || this.#canServeAll()) return;
      this.#closeWatch();
      this.#open();
    });
  }

  #canServeAll(): boolean {
    if (this.#close === undefined) return false;
    return [...this.#subscribers].every(
      ({ knownRevision }) => knownRevision >= this.#reportedRevision,
    );
  }

  #open(): void {
    const knownRevisions = [...this.#subscribers].map((subscriber) => subscriber.knownRevision);
    this.#reportedRevision = Math.min(...knownRevisions);
    this.#pollSentAt = this.now();
    this.#close = this.store.watch(this.sharedPrefix, this.#reportedRevision + 1, {
      onEvents: (events, revision, currentAsOf = this.#pollSentAt) => {
        this.#reportedRevision = Math.max(this.#reportedRevision, revision);
        this.#notify(events, revision, currentAsOf);
        // The next poll is sent after this handler returns.
        this.#pollSentAt = this.now();
      },
      onEnd: (error, compacted) => this.#end(error, compacted),
    });
  }

  #closeWatch(): void {
    this.#close?.();
    this.#close = undefined;
  }

  /** Called also without events, to report that the watch was current when its poll was sent. */
  #notify(events: readonly WatchEvent[], revision: number, currentAsOf: Milliseconds): void {
    for (const subscriber of [...this.#subscribers]) {
      if (!this.#subscribers.has(subscriber)) continue;
      const { prefix, knownRevision, handlers } = subscriber;
      const matching = events.filter(
        (event) => keyOf(event).startsWith(prefix) && revisionOf(event) > knownRevision,
      );
      subscriber.knownRevision = Math.max(knownRevision, revision);
      handlers.onEvents(matching, subscriber.knownRevision, currentAsOf);
    }
  }

  #end(error: MeadowstackError, compacted: boolean): void {
    this.#close = undefined;
    const ended = [...this.#subscribers];
    this.#subscribers.clear();
    for (const { handlers } of ended) handlers.onEnd(error, compacted);
  }
}
