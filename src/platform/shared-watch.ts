/**
 * One watch of the store for several prefixes that begin alike: each poll has its price, whatever it
 * covers. Everything else is the store's own.
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
  /** Everything up to this revision was told, or is known from elsewhere. */
  told: number;
}

export class SharedWatchStore implements Store {
  readonly #subscribers = new Set<Subscriber>();
  #close: (() => void) | undefined;
  #isPlanned = false;
  /** The watch that is open tells all changes after this revision. */
  #toldTo = 0;
  /** When the poll that is out was sent, or a little earlier. */
  #sentAt: Milliseconds = 0;

  constructor(
    private readonly store: Store,
    /** Watches of prefixes that begin so share one. */
    private readonly sharedPrefix: string,
    /** Monotonic time. */
    private readonly now: () => Milliseconds,
  ) {}

  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): () => void {
    if (!prefix.startsWith(this.sharedPrefix)) {
      return this.store.watch(prefix, fromRevision, handlers);
    }
    const subscriber = { prefix, handlers, told: fromRevision - 1 };
    this.#subscribers.add(subscriber);
    this.#planOpening();
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
   * Those who join together share a new watch, from the earliest revision that anyone needs; one that is open already
   * serves whoever knows all that it has told. What it answers may have been asked before they joined: the time of that
   * is told with it.
   */
  #planOpening(): void {
    if (this.#isPlanned) return;
    this.#isPlanned = true;
    queueMicrotask(() => {
      this.#isPlanned = false;
      if (this.#subscribers.size === 0 || this.#isServingAll()) return;
      this.#closeWatch();
      this.#open();
    });
  }

  #isServingAll(): boolean {
    if (this.#close === undefined) return false;
    return [...this.#subscribers].every(({ told }) => told >= this.#toldTo);
  }

  #open(): void {
    const told = [...this.#subscribers].map((subscriber) => subscriber.told);
    this.#toldTo = Math.min(...told);
    this.#sentAt = this.now();
    this.#close = this.store.watch(this.sharedPrefix, this.#toldTo + 1, {
      onEvents: (events, revision, currentAt = this.#sentAt) => {
        this.#toldTo = Math.max(this.#toldTo, revision);
        this.#tell(events, revision, currentAt);
        // The next poll is sent after this returned.
        this.#sentAt = this.now();
      },
      onEnd: (error, compacted) => this.#end(error, compacted),
    });
  }

  #closeWatch(): void {
    this.#close?.();
    this.#close = undefined;
  }

  /** Also without events: the watch was current when its poll was sent. */
  #tell(events: readonly WatchEvent[], revision: number, currentAt: Milliseconds): void {
    for (const subscriber of [...this.#subscribers]) {
      if (!this.#subscribers.has(subscriber)) continue;
      const { prefix, told, handlers } = subscriber;
      const own = events.filter(
        (event) => keyOf(event).startsWith(prefix) && revisionOf(event) > told,
      );
      subscriber.told = Math.max(told, revision);
      handlers.onEvents(own, subscriber.told, currentAt);
    }
  }

  #end(error: MeadowstackError, compacted: boolean): void {
    this.#close = undefined;
    const ended = [...this.#subscribers];
    this.#subscribers.clear();
    for (const { handlers } of ended) handlers.onEnd(error, compacted);
  }
}
