/**
 * One prefix of the store as this node follows it: by the store's own watch if it reads the store for others, or if its
 * readers don't serve it, and through them otherwise. Whoever watches sees one watch without gaps.
 */
import { ReaderTracker } from '../../core/directory/reader-evidence.js';
import { type FreshnessTimes, RelayedFreshness } from '../../core/directory/relayed-word.js';
import { revisionOf, WatchHistory, type WatchRange } from '../../core/directory/watch-history.js';
import type { MeadowstackError } from '../../core/errors.js';
import type { ReachableNode } from '../../core/ownership/owner-roster.js';
import type { ReadersOfNode } from '../../core/ownership/watch-readers.js';
import type { Milliseconds } from '../../core/units.js';
import type { WatchEvent, WatchHandlers } from '../../platform/contract.js';
import { StoreCompactedError } from '../../platform/errors.js';
import type { ReaderCounters, RelayedRange, SubscribeToReader } from './contract.js';
import { ReaderSubscriptions, type Subscription } from './subscriptions.js';

/** That nothing has changed is passed on so often at most. */
const UNCHANGED_EVERY_MS: Milliseconds = 1000;
/**
 * The first watch of a node begins right after a read of everything: readers that it knows by then, or learns of, have so
 * long to serve it before the store itself is polled. A fleet that starts anew changes its own records several times in its
 * first second, and each change cost a poll of every node.
 */
const FIRST_WATCH_GRACE_MS: Milliseconds = 500;
/** So long after its first watch a node asks readers often: they may have begun with it. */
const BEGINNING_MS: Milliseconds = 2000;
/** Readers that are asked since the store's own watch has ended have so long to serve before the store is asked again. */
const READER_GRACE_MS: Milliseconds = 400;

export interface FollowedPrefixOptions {
  readonly prefix: string;
  /** Who watches needs every word of the store, also that nothing has changed, and when that surely held. */
  readonly isProof?: boolean | undefined;
  /** What readers tell is relied on until the store's word for it is so old. */
  readonly maxAgeMs: Milliseconds;
  /** How often a relay passes on at once that nothing has changed. */
  readonly passEveryMs: Milliseconds;
  /** The first watch waits so long to hear of readers. */
  readonly firstPollMs: Milliseconds;
  /** True while this node may yet hear for the first time who reads the store. */
  readonly mayLearnReaders: () => boolean;
  /** Opens the store's own watch. */
  readonly openDirect: (fromRevision: number, handlers: WatchHandlers) => () => void;
  readonly subscribe: SubscribeToReader;
  /** Takes the readers that are named now, which what was told may have changed. */
  readonly refreshReaders: () => void;
  readonly counters: ReaderCounters;
  readonly now: () => Milliseconds;
  readonly random: () => number;
}

interface Watcher {
  readonly handlers: WatchHandlers;
  /** Everything up to this revision was told. */
  told: number;
  toldAt: Milliseconds;
}

interface DirectWatch {
  close: () => void;
  /** When the poll that is out was sent, or a little earlier. */
  sentAt: Milliseconds;
  /** When the last answer came; undefined before the first. */
  answeredAt: Milliseconds | undefined;
  /** When the poll was sent that was answered last, or a little earlier. */
  provenAt: Milliseconds | undefined;
}

export class FollowedPrefix {
  /** Called when the store has told something, also that nothing has changed. */
  onAnswered: () => void = () => {};
  /** Called when readers have told a relay what its own followers should hear at once. */
  onRelayed: () => void = () => {};
  /** Called when this node has nothing to tell followers any more. */
  onTellingEnded: () => void = () => {};
  readonly history = new WatchHistory();
  readonly #evidence: ReaderTracker;
  readonly #subscriptions: ReaderSubscriptions;
  #role: ReadersOfNode['type'] = 'others';
  /** What readers told last; a node that is named tells it from then on. */
  readonly #relayed: RelayedFreshness;
  #watcher: Watcher | undefined;
  /** When this node first watched; undefined before that. */
  #firstWatchAt: Milliseconds | undefined;
  /** Readers have served this node: a watch of its own is a fallback from then on. */
  #wasServed = false;
  #direct: DirectWatch | undefined;
  /** The store is not asked before. */
  #directAgainAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: FollowedPrefixOptions) {
    this.#evidence = new ReaderTracker(options.maxAgeMs);
    this.#relayed = new RelayedFreshness(options.passEveryMs);
    const { prefix, subscribe, now, random } = options;
    this.#subscriptions = new ReaderSubscriptions({
      ...{ prefix, subscribe, now, random },
      isBeginning: () => now() - (this.#firstWatchAt ?? now()) < BEGINNING_MS,
      onTold: (key, subscription, told) => this.#noteTold(key, subscription, told),
      onLost: (key) => {
        this.#evidence.removeReader(key);
        this.look();
      },
      onDropped: (key) => this.#evidence.removeReader(key),
    });
  }

  get prefix(): string {
    return this.options.prefix;
  }

  /** True while the store itself is watched. */
  get isDirect(): boolean {
    return this.#direct !== undefined;
  }

  /** When the store last vouched for what followers may be told; undefined while there is nothing to tell. */
  get answeredAt(): Milliseconds | undefined {
    return latest(this.#direct?.answeredAt, this.#toldTimes?.currentAsOf);
  }

  /** No later than when the store had nothing newer than what is known; undefined as `answeredAt` is. */
  get provenAt(): Milliseconds | undefined {
    return latest(this.#direct?.provenAt, this.#toldTimes?.provenCurrentAsOf);
  }

  /** True if followers are told each word of the store. */
  get isProof(): boolean {
    return this.options.isProof === true;
  }

  /** Follows from a revision on; there is one such watch at a time. The returned function ends it. */
  watch(fromRevision: number, handlers: WatchHandlers): () => void {
    this.#endTelling();
    const watcher = { handlers, told: fromRevision - 1, toldAt: Number.NEGATIVE_INFINITY };
    this.#watcher = watcher;
    this.#firstWatchAt ??= this.options.now();
    this.#catchUp(watcher);
    // Readers may have told something while nobody listened.
    if (this.#subscriptions.forgetGaps(watcher.told)) this.#leaveToReaders();
    this.look();
    return () => {
      if (this.#watcher !== watcher) return;
      this.#watcher = undefined;
      this.#endTelling();
    };
  }

  /** The store came back from a copy: what was told, also by readers, is read anew. */
  noteReturn(): void {
    const watcher = this.#watcher;
    if (watcher === undefined) return;
    this.#watcher = undefined;
    this.#endTelling();
    watcher.handlers.onEnd(new StoreCompactedError(watcher.told), true);
  }

  /** Takes the readers that the leader names now; `further` are those that serve others. */
  setReaders(readers: ReadersOfNode, further: readonly ReachableNode[] = []): void {
    const wasTelling = this.answeredAt !== undefined;
    this.#role = readers.type;
    if (wasTelling && this.answeredAt === undefined) this.onTellingEnded();
    this.#subscriptions.setReaders(readers.type === 'self' ? [] : readers.readers, further);
  }

  /** Asks readers that are not asked, and the store if they don't serve. Called at least every second. */
  look(): void {
    if (this.#watcher === undefined) return;
    this.#subscriptions.askDue(this.#watcher.told);
    if (this.#watcher === undefined || this.#direct !== undefined) return;
    if (this.#wantsDirect(this.#watcher)) this.#openDirect(this.#watcher);
  }

  /** Ends everything; the watcher is not told. */
  close(): void {
    this.#watcher = undefined;
    this.#endTelling();
    this.setReaders({ type: 'others', readers: [] });
  }

  /** What readers told this node, if it is to tell others. */
  get #toldTimes(): FreshnessTimes | undefined {
    return this.#role === 'others' ? undefined : this.#relayed.times;
  }

  #wantsDirect({ told }: Watcher): boolean {
    const now = this.options.now();
    const isServed = this.#evidence.isServedByReaders(now, told);
    this.#wasServed ||= isServed;
    if (now < this.#directAgainAt) return false;
    return this.#role === 'self' || !(isServed || this.#isFirstWatchWaiting(now));
  }

  #isFirstWatchWaiting(now: Milliseconds): boolean {
    const { firstPollMs, mayLearnReaders } = this.options;
    const waitedMs = now - (this.#firstWatchAt ?? now);
    if (this.#subscriptions.size === 0) return waitedMs < firstPollMs && mayLearnReaders();
    return waitedMs < Math.max(FIRST_WATCH_GRACE_MS, firstPollMs);
  }

  /** What this node knows already is told later in this turn, as the store would. */
  #catchUp(watcher: Watcher): void {
    const known = this.history.changesSince(watcher.told);
    if (known === undefined || known.events.length === 0) return;
    queueMicrotask(() => {
      // Known from before: it says nothing of what the store has now.
      if (this.#watcher !== watcher) return;
      this.#tell(watcher, this.#advance(watcher, known), Number.NEGATIVE_INFINITY);
    });
  }

  #openDirect(watcher: Watcher): void {
    if (this.#wasServed) this.options.counters.fallbacks += 1;
    const direct: DirectWatch = {
      close: () => {},
      sentAt: this.options.now(),
      answeredAt: undefined,
      provenAt: undefined,
    };
    this.#direct = direct;
    direct.close = this.options.openDirect(watcher.told + 1, {
      onEvents: (events, revision) => this.#answered(direct, watcher, events, revision),
      onEnd: (error, compacted) => this.#directEnded(direct, error, compacted),
    });
    if (this.#direct !== direct) direct.close();
  }

  #answered(
    direct: DirectWatch,
    watcher: Watcher,
    events: readonly WatchEvent[],
    revision: number,
  ): void {
    if (this.#direct !== direct) return;
    const { now } = this.options;
    direct.answeredAt = now();
    direct.provenAt = direct.sentAt;
    const news = this.#advance(watcher, { after: watcher.told, revision, events });
    this.options.counters.eventsPassed += events.length - news.length;
    this.#tell(watcher, news, direct.sentAt);
    if (this.#direct !== direct) return;
    // The next poll is sent after this returned.
    direct.sentAt = now();
    this.onAnswered();
    this.options.refreshReaders();
    // What a reader tells after a gap begins where it told last, which this answer may not reach while both cross.
    if (this.#watcher === watcher) this.#subscriptions.askAfterGaps(watcher.told);
    if (!this.#wantsDirect(watcher)) this.#closeDirect();
  }

  /** Readers that serve make up for it; otherwise whoever watches decides what follows. */
  #directEnded(direct: DirectWatch, error: MeadowstackError, compacted: boolean): void {
    if (this.#direct !== direct) return;
    this.#direct = undefined;
    const watcher = this.#watcher;
    const isServed = watcher !== undefined && !compacted && !this.#wantsDirect(watcher);
    if (!isServed) this.#relayed.clear();
    if (this.answeredAt === undefined) this.onTellingEnded();
    if (watcher === undefined || isServed) return;
    if (!compacted && this.#subscriptions.addFurther()) {
      this.#leaveToReaders();
      this.look();
      return;
    }
    this.#watcher = undefined;
    watcher.handlers.onEnd(error, compacted);
  }

  /** The store is not asked for a moment. */
  #leaveToReaders(): void {
    this.#directAgainAt = this.options.now() + READER_GRACE_MS;
  }

  #closeDirect(): void {
    const direct = this.#direct;
    if (direct === undefined) return;
    this.#direct = undefined;
    direct.close();
    if (this.answeredAt === undefined) this.onTellingEnded();
  }

  #forgetRelayed(): void {
    if (this.#relayed.times === undefined) return;
    this.#relayed.clear();
    if (this.answeredAt === undefined) this.onTellingEnded();
  }

  /** What was told is read anew, or nobody here follows it any more. */
  #endTelling(): void {
    this.#forgetRelayed();
    this.#closeDirect();
  }

  #noteTold(key: string, subscription: Subscription, told: RelayedRange): void {
    const { clock } = subscription;
    const { ageMs, clockMs, provenMs, ...stretch } = told;
    clock.recordResponse(clockMs);
    const now = this.options.now();
    const currentAt = now - ageMs;
    const watcher = this.#watcher;
    const isGap = watcher === undefined || stretch.after > watcher.told;
    if (isGap) subscription.hasGap = true;
    this.#evidence.recordReport(key, now, currentAt, isGap ? stretch.revision : 0);
    if (watcher === undefined) return;
    const provenAt = clock.earliestOwnTime(provenMs) ?? Number.NEGATIVE_INFINITY;
    if (!isGap) {
      // What is passed on must not grow younger with the hops that it takes.
      const vouchedAt = clock.earliestOwnTime(clockMs - ageMs) ?? Number.NEGATIVE_INFINITY;
      if (this.#role !== 'self')
        this.#relayed.record({ currentAsOf: vouchedAt, provenCurrentAsOf: provenAt });
      if (!subscription.isFurther) this.#subscriptions.dropFurther();
      this.#tellFromReader(watcher, stretch, {
        currentAsOf: currentAt,
        provenCurrentAsOf: provenAt,
      });
    }
    this.look();
  }

  #tellFromReader(watcher: Watcher, stretch: WatchRange, at: FreshnessTimes): void {
    const told = this.#advance(watcher, stretch);
    this.options.counters.eventsFromReaders += told.length;
    const isDue = this.isProof || this.options.now() - watcher.toldAt >= UNCHANGED_EVERY_MS;
    if (told.length > 0 || isDue) this.#tell(watcher, told, at.currentAsOf, at.provenCurrentAsOf);
    if (this.#role === 'relay' && this.#relayed.takeRelayDue(told.length > 0)) this.onRelayed();
  }

  /** Takes a stretch that leaves no gap, and gives what of it is new. */
  #advance(watcher: Watcher, { revision, events }: WatchRange): readonly WatchEvent[] {
    const after = watcher.told;
    const news = events.filter((event) => revisionOf(event) > after);
    watcher.told = Math.max(after, revision);
    this.history.append({ after, revision: watcher.told, events: news });
    return news;
  }

  #tell(
    watcher: Watcher,
    news: readonly WatchEvent[],
    currentAt: Milliseconds,
    provenAt = currentAt,
  ): void {
    watcher.toldAt = this.options.now();
    watcher.handlers.onEvents(news, watcher.told, currentAt, provenAt);
  }
}

function latest(
  left: Milliseconds | undefined,
  right: Milliseconds | undefined,
): Milliseconds | undefined {
  return left === undefined || right === undefined ? (left ?? right) : Math.max(left, right);
}
