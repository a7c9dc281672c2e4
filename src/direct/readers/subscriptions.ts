/**
 * A node's subscriptions to readers for one prefix: to the readers named for this node and, while neither they nor the
 * store serve it, to some further readers (those named for other nodes).
 */
import { PeerClock } from '../../core/directory/peer-clock.js';
import type { ReachableNode } from '../../core/ownership/owner-roster.js';
import type { Milliseconds } from '../../core/units.js';
import type { RelayedRange, SubscribeToReader } from './contract.js';

/** A lost reader is retried after a random delay between half of this and all of it. */
const MAX_RETRY_DELAY_MS: Milliseconds = 1200;
/** `MAX_RETRY_DELAY_MS` right after this node's first watch. */
const STARTUP_MAX_RETRY_DELAY_MS: Milliseconds = 200;
/** Maximum further readers subscribed to at once. */
const MAX_FURTHER_READERS = 2;
/** Further readers that don't serve are replaced by others no more often than this. */
const FURTHER_PERIOD_MS: Milliseconds = 3000;

/** A reader that this node has subscribed to, or will subscribe to. */
export interface Subscription {
  readonly reader: ReachableNode;
  /** The reader is not named for this node: dropped once a named reader serves. */
  isFurther: boolean;
  /** The reader's clock; estimated anew with each subscription. */
  readonly clock: PeerClock;
  /** The reader left out changes, or relayed changes that follow others unknown to this node. */
  hasGap: boolean;
}

interface Entry extends Subscription {
  clock: PeerClock;
  /** Undefined while there is no subscription to the reader. */
  close: (() => void) | undefined;
  subscribeAt: Milliseconds;
}

export interface ReaderSubscriptionsOptions {
  readonly prefix: string;
  readonly subscribe: SubscribeToReader;
  /** True right after this node's first watch. */
  readonly isStartup: () => boolean;
  readonly onRange: (key: string, subscription: Subscription, range: RelayedRange) => void;
  /** A reader ended the subscription. */
  readonly onLost: (key: string) => void;
  /** This node ended the subscription to a reader. */
  readonly onDropped: (key: string) => void;
  readonly now: () => Milliseconds;
  readonly random: () => number;
}

export class ReaderSubscriptions {
  readonly #entries = new Map<string, Entry>();
  #further: readonly ReachableNode[] = [];
  #furtherAddedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ReaderSubscriptionsOptions) {}

  get size(): number {
    return this.#entries.size;
  }

  /** Sets the readers named for this node; earlier ones are kept until one of these serves. */
  setReaders(named: readonly ReachableNode[], further: readonly ReachableNode[]): void {
    this.#further = further;
    for (const entry of this.#entries.values()) entry.isFurther = true;
    for (const reader of named) {
      const key = keyOfNode(reader);
      const known = this.#entries.get(key);
      if (known === undefined) this.#add(key, reader, false);
      else known.isFurther = false;
    }
    if (named.length === 0) this.dropFurther();
  }

  /** Subscribes to the readers that are due, for the changes after a revision. */
  subscribeDue(after: number): void {
    const now = this.options.now();
    for (const [key, entry] of this.#entries) {
      if (entry.close === undefined && entry.subscribeAt <= now) this.#subscribe(key, entry, after);
    }
  }

  /** Subscribes anew to the readers that left a gap. */
  resubscribeAfterGaps(after: number): void {
    for (const [key, entry] of this.#entries) {
      if (!entry.hasGap) continue;
      entry.hasGap = false;
      entry.close?.();
      this.#subscribe(key, entry, after);
    }
  }

  /**
   * As `resubscribeAfterGaps`, for when no other source has the missing changes: the readers' earlier reports don't count
   * until they respond again. True if any reader had left a gap.
   */
  resetGaps(after: number): boolean {
    const gaps = [...this.#entries].filter(([, { hasGap }]) => hasGap);
    for (const [key] of gaps) this.options.onDropped(key);
    this.resubscribeAfterGaps(after);
    return gaps.length > 0;
  }

  /** Adds further readers when neither the named ones nor the store serve; true if any was added. */
  addFurther(): boolean {
    const now = this.options.now();
    if (now - this.#furtherAddedAt < FURTHER_PERIOD_MS) return false;
    this.dropFurther();
    const remaining = this.#further.filter((reader) => !this.#entries.has(keyOfNode(reader)));
    if (remaining.length === 0) return false;
    this.#furtherAddedAt = now;
    const first = Math.floor(this.options.random() * remaining.length);
    const rotated = [...remaining.slice(first), ...remaining.slice(0, first)];
    for (const reader of rotated.slice(0, MAX_FURTHER_READERS))
      this.#add(keyOfNode(reader), reader, true);
    return true;
  }

  /** Drops the further readers: a named one serves again, or other further readers replace them. */
  dropFurther(): void {
    for (const [key, { isFurther }] of [...this.#entries]) if (isFurther) this.#drop(key);
  }

  #add(key: string, reader: ReachableNode, isFurther: boolean): void {
    const askAt = this.options.now();
    const clock = new PeerClock(askAt);
    this.#entries.set(key, {
      reader,
      isFurther,
      close: undefined,
      subscribeAt: askAt,
      clock,
      hasGap: false,
    });
  }

  #drop(key: string): void {
    this.#entries.get(key)?.close?.();
    this.#entries.delete(key);
    this.options.onDropped(key);
  }

  #subscribe(key: string, entry: Entry, after: number): void {
    const { subscribe, prefix, now } = this.options;
    entry.clock = new PeerClock(now());
    entry.close = subscribe(
      entry.reader,
      { prefix, after },
      {
        onRelayed: (range) => this.options.onRange(key, entry, range),
        onLost: () => {
          entry.close = undefined;
          entry.subscribeAt = this.#nextRetryAt();
          this.options.onLost(key);
        },
      },
    );
  }

  #nextRetryAt(): Milliseconds {
    const maxDelayMs = this.options.isStartup() ? STARTUP_MAX_RETRY_DELAY_MS : MAX_RETRY_DELAY_MS;
    return this.options.now() + maxDelayMs * (0.5 + this.options.random() / 2);
  }
}

function keyOfNode({ nodeId, host, port }: ReachableNode): string {
  return `${nodeId}@${host}:${port}`;
}
