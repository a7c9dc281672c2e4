/** Relays to other nodes the changes of the prefixes that this node reads from the store. */
import { countCharacters } from '../../core/directory/watch-history.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerStream, WireValue } from '../../peer/contract.js';
import type { ReaderCounters, RelayedRange } from './contract.js';
import type { FollowedPrefix } from './followed-prefix.js';
import { parseWatchRequest } from './messages.js';

/**
 * Characters of changes that any reader relays in one message. Some twenty nodes may follow a reader whose link carries
 * 7 Mbit/s; they read larger changes from the store.
 */
const MIN_RELAYED_CHARACTERS = 16 * 1024;
/** A faster link relays what takes no longer than this for all followers, which limits the delay of callers' responses. */
const MAX_RELAY_MS: Milliseconds = 100;
const BITS_PER_CHARACTER = 8;

interface Follower {
  readonly stream: PeerStream;
  readonly followed: FollowedPrefix;
  /** Revision up to which the follower was sent the changes, or was told to read them from the store. */
  sentRevision: number;
}

export class WatchServer {
  readonly #followers = new Set<Follower>();

  constructor(
    private readonly prefixes: ReadonlyMap<string, FollowedPrefix>,
    private readonly counters: ReaderCounters,
    private readonly now: () => Milliseconds,
    /** Bandwidth of this node's network link; 0 if unknown. */
    private readonly linkMbps: number,
  ) {
    for (const followed of prefixes.values()) {
      followed.onConfirmed = () => this.#sendNewEvents(followed);
      followed.onRelayDue = () => this.#sendToFollowers(followed);
      followed.onRelayEnded = () => this.#endFollowers(followed);
    }
  }

  /** A node subscribes to a prefix. A refusal ends the stream, as does the end of this node's own reading. */
  onStream(header: WireValue, stream: PeerStream): void {
    const request = parseWatchRequest(header);
    const followed = request && this.prefixes.get(request.prefix);
    if (request === undefined || followed === undefined) {
      stream.abort('no request for a watch');
      return;
    }
    const follower = { stream, followed, sentRevision: request.after };
    if (!this.#send(follower)) {
      stream.end();
      return;
    }
    this.#followers.add(follower);
    stream.onClose = () => void this.#followers.delete(follower);
    stream.onMessage = () => stream.end();
  }

  /** Tells all followers that this node is alive, and how old the store's last confirmation is. */
  sendHeartbeats(): void {
    for (const follower of this.#followers) this.#send(follower);
  }

  #sendToFollowers(followed: FollowedPrefix): void {
    for (const follower of this.#followers)
      if (follower.followed === followed) this.#send(follower);
  }

  #sendNewEvents(followed: FollowedPrefix): void {
    for (const follower of this.#followers) {
      const isBehind =
        followed.needsEveryConfirmation || follower.sentRevision < followed.history.revision;
      if (follower.followed === followed && isBehind) this.#send(follower);
    }
  }

  /** False if this node has nothing to relay. */
  #send(follower: Follower): boolean {
    const { confirmedAt, provenCurrentAsOf, history } = follower.followed;
    if (confirmedAt === undefined || provenCurrentAsOf === undefined) return false;
    const range = history.changesSince(follower.sentRevision);
    const isRelayed =
      range !== undefined &&
      countCharacters(range.events) <= this.#maxCharacters(follower.followed);
    // An empty range that starts beyond the follower's revision tells it to read the gap from the store.
    const { revision } = history;
    const relayed = isRelayed ? range : { after: revision, revision, events: [] };
    const clockMs = this.now();
    const ageMs = Math.max(0, clockMs - confirmedAt);
    const message: RelayedRange = { ...relayed, ageMs, clockMs, provenMs: provenCurrentAsOf };
    follower.stream.send(message);
    this.counters.eventsTold += relayed.events.length;
    follower.sentRevision = relayed.revision;
    return true;
  }

  #maxCharacters(prefix: FollowedPrefix): number {
    const followers = [...this.#followers].filter(({ followed }) => followed === prefix).length;
    const bitsPerMs = this.linkMbps * 1000;
    const bits = (bitsPerMs * MAX_RELAY_MS) / Math.max(1, followers);
    return Math.max(MIN_RELAYED_CHARACTERS, Math.floor(bits / BITS_PER_CHARACTER));
  }

  #endFollowers(followed: FollowedPrefix): void {
    for (const follower of [...this.#followers]) {
      if (follower.followed !== followed) continue;
      this.#followers.delete(follower);
      follower.stream.end();
    }
  }
}
