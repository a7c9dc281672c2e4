/**
 * One watched prefix of the store. The node watches it at the store directly if it reads the store for other nodes or if
 * its readers don't serve it, and through its readers otherwise. The watcher sees one watch without gaps.
 */
import { ReaderTracker } from '../../core/directory/reader-tracker.js';
import { type FreshnessTimes, RelayedFreshness } from '../../core/directory/relayed-freshness.js';
import { revisionOf, WatchHistory, type WatchRange } from '../../core/directory/watch-history.js';
import type { MeadowstackError } from '../../core/errors.js';
import type { ReachableNode } from '../../core/ownership/owner-roster.js';
import type { ReadersOfNode } from '../../core/ownership/watch-readers.js';
import type { Milliseconds } from '../../core/units.js';
import type { WatchEvent, WatchHandlers } from '../../platform/contract.js';
import { StoreCompactedError } from '../../platform/errors.js';
import type { ReaderCounters, RelayedRange, SubscribeToReader } from './contract.js';
import { ReaderSubscriptions, type Subscription } from './subscriptions.js';

/** The watcher is notified that nothing has changed no more often than this. */
const MIN_UNCHANGED_PERIOD_MS: Milliseconds = 1000;
/**
 * Time that readers have to serve a node's first watch before the node polls the store itself. The node has just read the
 * whole prefix, so it can wait. Restarting all nodes changes the records several times within the first second, and each
 * change would otherwise cost a poll by every node.
 */
const FIRST_WATCH_GRACE_MS: Milliseconds = 500;
/** Time after the first watch in which a node retries readers often, since they may have started with it. */
const STARTUP_PERIOD_MS: Milliseconds = 2000;
/** After the direct watch has ended, readers have this time to serve before the store is requested again. */
const READER_GRACE_MS: Milliseconds = 400;

export interface FollowedPrefixOptions {
  readonly prefix: string;
  /** The watcher needs every confirmation of the store, even without changes, with the time at which it provably held. */
  readonly needsEveryConfirmation?: boolean | undefined;
  /** Readers are relied on until the store's last confirmation of what they relay is this old. */
  readonly maxAgeMs: Milliseconds;
  /** Minimum interval at which a relay forwards, ahead of the heartbeat, that nothing has changed. */
  readonly minRelayIntervalMs: Milliseconds;
  /** How long the first watch waits to learn of readers before it polls the store. */
  readonly firstPollDelayMs: Milliseconds;
  /** True while this node may still learn for the first time which nodes read the store. */
  readonly mayLearnReaders: () => boolean;
  /** Opens the store's own watch. */
  readonly openDirect: (fromRevision: number, handlers: WatchHandlers) => () => void;
  readonly subscribe: SubscribeToReader;
  /** Applies the readers named now; the changes just received may have named others. */
  readonly refreshReaders: () => void;
  readonly counters: ReaderCounters;
  readonly now: () => Milliseconds;
  readonly random: () => number;
}

interface Watcher {
  readonly handlers: WatchHandlers;
  /** The watcher has been notified of all changes up to this revision. */
  knownRevision: number;
  notifiedAt: Milliseconds;
}

interface DirectWatch {
  close: () => void;
  /** When the pending poll was sent, or a little earlier. */
  sentAt: Milliseconds;
  /** When the last response arrived; undefined before the first. */
  respondedAt: Milliseconds | undefined;
  /** When the last poll that got a response was sent, or a little earlier. */
  provenCurrentAsOf: Milliseconds | undefined;
}

export class FollowedPrefix {
  /** Called when the store has responded, even without changes. */
  onConfirmed: () => void = () => {};
  /** Called when a relay has received from its readers what it should forward to its followers at once. */
  onRelayDue: () => void = () => {};
  /** Called when this node has nothing more to relay to followers. */
  onRelayEnded: () => void = () => {};
  readonly history = new WatchHistory();
  readonly #evidence: ReaderTracker;
  readonly #subscriptions: ReaderSubscriptions;
  #role: ReadersOfNode['type'] = 'others';
  /** Latest confirmation received from readers; relayed from the time this node is named as a reader. */
  readonly #relayed: RelayedFreshness;
  #watcher: Watcher | undefined;
  /** When this node first watched; undefined before that. */
  #firstWatchAt: Milliseconds | undefined;
  /** Readers have served this node before, so that a direct watch counts as a fallback. */
  #wasServed = false;
  #direct: DirectWatch | undefined;
  /** No direct watch is opened before this time. */
  #directRetryAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: FollowedPrefixOptions) {
    this.#evidence = new ReaderTracker(options.maxAgeMs);
    this.#relayed = new RelayedFreshness(options.minRelayIntervalMs);
    const { prefix, subscribe, now, random } = options;
    this.#subscriptions = new ReaderSubscriptions({
      ...{ prefix, subscribe, now, random },
      isStartup: () => now() - (this.#firstWatchAt ?? now()) < STARTUP_PERIOD_MS,
      onRange: (key, subscription, range) => this.#handleRelayed(key, subscription, range),
      onLost: (key) => {
        this.#evidence.removeReader(key);
        this.refresh();
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

  /** True while this node relies on readers for its watch. */
  get isServedByReaders(): boolean {
    const watcher = this.#watcher;
    if (watcher === undefined || this.isDirect) return false;
    return this.#evidence.isServedByReaders(this.options.now(), watcher.knownRevision);
  }

  /** When the store last confirmed what this node may relay; undefined while there is nothing to relay. */
  get confirmedAt(): Milliseconds | undefined {
    return latest(this.#direct?.respondedAt, this.#relayedTimes?.currentAsOf);
  }

  /** A time at which the store provably had nothing newer than what is known; undefined when `confirmedAt` is. */
  get provenCurrentAsOf(): Milliseconds | undefined {
    return latest(this.#direct?.provenCurrentAsOf, this.#relayedTimes?.provenCurrentAsOf);
  }

  /** True if each confirmation of the store is relayed to followers. */
  get needsEveryConfirmation(): boolean {
    return this.options.needsEveryConfirmation === true;
  }

  /** Watches from a revision on; a new watch replaces the previous one. The returned function ends it. */
  watch(fromRevision: number, handlers: WatchHandlers): () => void {
    this.#stopRelaying();
    const watcher: Watcher = {
      handlers,
      knownRevision: fromRevision - 1,
      notifiedAt: Number.NEGATIVE_INFINITY,
    };
    this.#watcher = watcher;
    this.#firstWatchAt ??= this.options.now();
    this.#catchUp(watcher);
    // Readers may have relayed changes while there was no watcher.
    if (this.#subscriptions.resetGaps(watcher.knownRevision)) this.#postponeDirectWatch();
    this.refresh();
    return () => {
      if (this.#watcher !== watcher) return;
      this.#watcher = undefined;
      this.#stopRelaying();
    };
  }

  /** The store was restored from a backup: ends the watch as compacted, so that everything is read again. */
  handleStoreRestore(): void {
    const watcher = this.#watcher;
    if (watcher === undefined) return;
    this.#watcher = undefined;
    this.#stopRelaying();
    watcher.handlers.onEnd(new StoreCompactedError(watcher.knownRevision), true);
  }

  /** Sets the readers that the leader names for this node; `further` are those that it names for others. */
  setReaders(readers: ReadersOfNode, further: readonly ReachableNode[] = []): void {
    const wasRelaying = this.confirmedAt !== undefined;
    this.#role = readers.type;
    if (wasRelaying && this.confirmedAt === undefined) this.onRelayEnded();
    this.#subscriptions.setReaders(readers.type === 'self' ? [] : readers.readers, further);
  }

  /** Subscribes to readers that are due, and watches the store if they don't serve. Called at least every second. */
  refresh(): void {
    if (this.#watcher === undefined) return;
    this.#subscriptions.subscribeDue(this.#watcher.knownRevision);
    if (this.#watcher === undefined || this.#direct !== undefined) return;
    if (this.#needsDirectWatch(this.#watcher)) this.#openDirect(this.#watcher);
  }

  /** Ends the watch and all subscriptions without notifying the watcher. */
  close(): void {
    this.#watcher = undefined;
    this.#stopRelaying();
    this.setReaders({ type: 'others', readers: [] });
  }

  /** Times of the latest confirmation from readers, if this node is a reader itself. */
  get #relayedTimes(): FreshnessTimes | undefined {
    return this.#role === 'others' ? undefined : this.#relayed.times;
  }

  #needsDirectWatch({ knownRevision }: Watcher): boolean {
    const now = this.options.now();
    const isServed = this.#evidence.isServedByReaders(now, knownRevision);
    this.#wasServed ||= isServed;
    if (now < this.#directRetryAt) return false;
    return this.#role === 'self' || !(isServed || this.#isFirstWatchWaiting(now));
  }

  #isFirstWatchWaiting(now: Milliseconds): boolean {
    const { firstPollDelayMs, mayLearnReaders } = this.options;
    const waitedMs = now - (this.#firstWatchAt ?? now);
    if (this.#subscriptions.size === 0) return waitedMs < firstPollDelayMs && mayLearnReaders();
    return waitedMs < Math.max(FIRST_WATCH_GRACE_MS, firstPollDelayMs);
  }

  /** Notifies the watcher of changes already known; asynchronously, as the store would. */
  #catchUp(watcher: Watcher): void {
    const known = this.history.changesSince(watcher.knownRevision);
    if (known === undefined || known.events.length === 0) return;
    queueMicrotask(() => {
      // These changes were known before; they don't show what the store has now.
      if (this.#watcher !== watcher) return;
      this.#notify(watcher, this.#advance(watcher, known), Number.NEGATIVE_INFINITY);
    });
  }

  #openDirect(watcher: Watcher): void {
    if (this.#wasServed) this.options.counters.fallbacks += 1;
    const direct: DirectWatch = {
      close: () => {},
      sentAt: this.options.now(),
      respondedAt: undefined,
      provenCurrentAsOf: undefined,
    };
    this.#direct = direct;
    direct.close = this.options.openDirect(watcher.knownRevision + 1, {
      onEvents: (events, revision) => this.#handleResponse(direct, watcher, events, revision),
      onEnd: (error, compacted) => this.#handleDirectEnd(direct, error, compacted),
    });
    if (this.#direct !== direct) direct.close();
  }

  #handleResponse(
    direct: DirectWatch,
    watcher: Watcher,
    events: readonly WatchEvent[],
    revision: number,
  ): void {
    if (this.#direct !== direct) return;
    const { now } = this.options;
    direct.respondedAt = now();
    direct.provenCurrentAsOf = direct.sentAt;
    const newEvents = this.#advance(watcher, { after: watcher.knownRevision, revision, events });
    this.options.counters.eventsPassed += events.length - newEvents.length;
    this.#notify(watcher, newEvents, direct.sentAt);
    if (this.#direct !== direct) return;
    // The next poll is sent after this returned.
    direct.sentAt = now();
    this.onConfirmed();
    this.options.refreshReaders();
    // A reader goes on where it stopped, beyond the gap. If its message crosses the store's response, the response may not
    // close the gap; a new subscription starts at the known revision.
    if (this.#watcher === watcher) this.#subscriptions.resubscribeAfterGaps(watcher.knownRevision);
    if (!this.#needsDirectWatch(watcher)) this.#closeDirect();
  }

  /** Does nothing more if readers serve; otherwise tries further readers, or ends the watch so that the watcher decides. */
  #handleDirectEnd(direct: DirectWatch, error: MeadowstackError, compacted: boolean): void {
    if (this.#direct !== direct) return;
    this.#direct = undefined;
    const watcher = this.#watcher;
    const isServed = watcher !== undefined && !compacted && !this.#needsDirectWatch(watcher);
    if (!isServed) this.#relayed.clear();
    if (this.confirmedAt === undefined) this.onRelayEnded();
    if (watcher === undefined || isServed) return;
    if (!compacted && this.#subscriptions.addFurther()) {
      this.#postponeDirectWatch();
      this.refresh();
      return;
    }
    this.#watcher = undefined;
    watcher.handlers.onEnd(error, compacted);
  }

  /** Opens no direct watch for `READER_GRACE_MS`. */
  #postponeDirectWatch(): void {
    this.#directRetryAt = this.options.now() + READER_GRACE_MS;
  }

  #closeDirect(): void {
    const direct = this.#direct;
    if (direct === undefined) return;
    this.#direct = undefined;
    direct.close();
    if (this.confirmedAt === undefined) this.onRelayEnded();
  }

  #clearRelayed(): void {
    if (this.#relayed.times === undefined) return;
    this.#relayed.clear();
    if (this.confirmedAt === undefined) this.onRelayEnded();
  }

  /** Called when the changes are read again from the start, or when this node no longer watches the prefix. */
  #stopRelaying(): void {
    this.#clearRelayed();
    this.#closeDirect();
  }

  #handleRelayed(key: string, subscription: Subscription, relayed: RelayedRange): void {
    const { clock } = subscription;
    const { ageMs, clockMs, provenMs, ...range } = relayed;
    clock.recordResponse(clockMs);
    const now = this.options.now();
    const currentAsOf = now - ageMs;
    const watcher = this.#watcher;
    const isGap = watcher === undefined || range.after > watcher.knownRevision;
    if (isGap) subscription.hasGap = true;
    this.#evidence.recordReport(key, now, currentAsOf, isGap ? range.revision : 0);
    if (watcher === undefined) return;
    const provenCurrentAsOf = clock.earliestOwnTime(provenMs) ?? Number.NEGATIVE_INFINITY;
    if (!isGap) {
      // Lower bound, so that a confirmation does not appear younger with each hop.
      const confirmedAt = clock.earliestOwnTime(clockMs - ageMs) ?? Number.NEGATIVE_INFINITY;
      if (this.#role !== 'self')
        this.#relayed.record({ currentAsOf: confirmedAt, provenCurrentAsOf });
      if (!subscription.isFurther) this.#subscriptions.dropFurther();
      this.#notifyFromReader(watcher, range, {
        currentAsOf,
        provenCurrentAsOf,
      });
    }
    this.refresh();
  }

  #notifyFromReader(watcher: Watcher, range: WatchRange, at: FreshnessTimes): void {
    const newEvents = this.#advance(watcher, range);
    this.options.counters.eventsFromReaders += newEvents.length;
    const isDue =
      this.needsEveryConfirmation ||
      this.options.now() - watcher.notifiedAt >= MIN_UNCHANGED_PERIOD_MS;
    if (newEvents.length > 0 || isDue)
      this.#notify(watcher, newEvents, at.currentAsOf, at.provenCurrentAsOf);
    if (this.#role === 'relay' && this.#relayed.takeRelayDue(newEvents.length > 0))
      this.onRelayDue();
  }

  /** Applies a range that leaves no gap and returns its new events. */
  #advance(watcher: Watcher, { revision, events }: WatchRange): readonly WatchEvent[] {
    const after = watcher.knownRevision;
    const newEvents = events.filter((event) => revisionOf(event) > after);
    watcher.knownRevision = Math.max(after, revision);
    this.history.append({ after, revision: watcher.knownRevision, events: newEvents });
    return newEvents;
  }

  #notify(
    watcher: Watcher,
    newEvents: readonly WatchEvent[],
    currentAsOf: Milliseconds,
    provenCurrentAsOf = currentAsOf,
  ): void {
    watcher.notifiedAt = this.options.now();
    watcher.handlers.onEvents(newEvents, watcher.knownRevision, currentAsOf, provenCurrentAsOf);
  }
}

function latest(
  left: Milliseconds | undefined,
  right: Milliseconds | undefined,
): Milliseconds | undefined {
  return left === undefined || right === undefined ? (left ?? right) : Math.max(left, right);
}
