/**
 * The readers that a node asks for one prefix: those that are named for it, and while neither they nor the store serve it,
 * some of the further ones.
 */
import { PeerClock } from '../../core/directory/peer-clock.js';
import type { ReachableNode } from '../../core/ownership/owner-roster.js';
import type { Milliseconds } from '../../core/units.js';
import type { RelayedRange, SubscribeToReader } from './contract.js';

/** A reader that was lost is asked again after half of this to all of it. */
const ASK_AGAIN_MS: Milliseconds = 1200;
/** The same right after this node's first watch. */
const FIRST_ASK_AGAIN_MS: Milliseconds = 200;
/** Further readers that are asked at once. */
const FURTHER_ASKED = 2;
/** Others in place of those that don't serve are asked no sooner. */
const FURTHER_EVERY_MS: Milliseconds = 3000;

/** A reader that this node has asked, or will ask. */
export interface Subscription {
  readonly reader: ReachableNode;
  /** It is not named for this node: given up once one that is serves. */
  isFurther: boolean;
  /** The reader's clock; another with each question. */
  readonly clock: PeerClock;
  /** It told of changes that it does not pass on, or that follow on others which are unknown here. */
  hasGap: boolean;
}

interface Entry extends Subscription {
  clock: PeerClock;
  /** Undefined while the reader is not asked. */
  close: (() => void) | undefined;
  askAt: Milliseconds;
}

export interface ReaderSubscriptionsOptions {
  readonly prefix: string;
  readonly subscribe: SubscribeToReader;
  /** True right after this node's first watch. */
  readonly isBeginning: () => boolean;
  readonly onTold: (key: string, subscription: Subscription, told: RelayedRange) => void;
  /** A reader ended what it told. */
  readonly onLost: (key: string) => void;
  /** A reader is not asked any more. */
  readonly onDropped: (key: string) => void;
  readonly now: () => Milliseconds;
  readonly random: () => number;
}

export class ReaderSubscriptions {
  readonly #entries = new Map<string, Entry>();
  #further: readonly ReachableNode[] = [];
  #furtherAskedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ReaderSubscriptionsOptions) {}

  get size(): number {
    return this.#entries.size;
  }

  /** Takes the readers that are named now; those from before are kept until one of these serves. */
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

  /** Asks those whose time has come for what follows a revision. */
  askDue(after: number): void {
    const now = this.options.now();
    for (const [key, entry] of this.#entries) {
      if (entry.close === undefined && entry.askAt <= now) this.#ask(key, entry, after);
    }
  }

  /** Asks those anew that left a gap. */
  askAfterGaps(after: number): void {
    for (const [key, entry] of this.#entries) {
      if (!entry.hasGap) continue;
      entry.hasGap = false;
      entry.close?.();
      this.#ask(key, entry, after);
    }
  }

  /**
   * The same, where nobody else tells what they left out: what they told is not relied on until they have answered. True if
   * any is asked.
   */
  forgetGaps(after: number): boolean {
    const gaps = [...this.#entries].filter(([, { hasGap }]) => hasGap);
    for (const [key] of gaps) this.options.onDropped(key);
    this.askAfterGaps(after);
    return gaps.length > 0;
  }

  /** Neither the named readers nor the store serve: true if further readers are to be asked. */
  addFurther(): boolean {
    const now = this.options.now();
    if (now - this.#furtherAskedAt < FURTHER_EVERY_MS) return false;
    this.dropFurther();
    const left = this.#further.filter((reader) => !this.#entries.has(keyOfNode(reader)));
    if (left.length === 0) return false;
    this.#furtherAskedAt = now;
    const first = Math.floor(this.options.random() * left.length);
    const inTurn = [...left.slice(first), ...left.slice(0, first)];
    for (const reader of inTurn.slice(0, FURTHER_ASKED)) this.#add(keyOfNode(reader), reader, true);
    return true;
  }

  /** Gives up those that are not named: one that is serves again, or others are to be asked. */
  dropFurther(): void {
    for (const [key, { isFurther }] of [...this.#entries]) if (isFurther) this.#drop(key);
  }

  #add(key: string, reader: ReachableNode, isFurther: boolean): void {
    const askAt = this.options.now();
    const clock = new PeerClock(askAt);
    this.#entries.set(key, { reader, isFurther, close: undefined, askAt, clock, hasGap: false });
  }

  #drop(key: string): void {
    this.#entries.get(key)?.close?.();
    this.#entries.delete(key);
    this.options.onDropped(key);
  }

  #ask(key: string, entry: Entry, after: number): void {
    const { subscribe, prefix, now } = this.options;
    entry.clock = new PeerClock(now());
    entry.close = subscribe(
      entry.reader,
      { prefix, after },
      {
        onRelayed: (told) => this.options.onTold(key, entry, told),
        onLost: () => {
          entry.close = undefined;
          entry.askAt = this.#nextAskAt();
          this.options.onLost(key);
        },
      },
    );
  }

  #nextAskAt(): Milliseconds {
    const atMostMs = this.options.isBeginning() ? FIRST_ASK_AGAIN_MS : ASK_AGAIN_MS;
    return this.options.now() + atMostMs * (0.5 + this.options.random() / 2);
  }
}

function keyOfNode({ nodeId, host, port }: ReachableNode): string {
  return `${nodeId}@${host}:${port}`;
}
