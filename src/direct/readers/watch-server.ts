/** Tells other nodes the changes of the prefixes that this node reads from the store. */
import { countCharacters } from '../../core/directory/watch-history.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerStream, WireValue } from '../../peer/contract.js';
import type { ReaderCounters, RelayedRange } from './contract.js';
import type { FollowedPrefix } from './followed-prefix.js';
import { parseWatchRequest } from './messages.js';

/**
 * Characters of changes that any reader passes on at once. Some twenty nodes may follow one whose link carries
 * 7 Mbit/s: what is larger each of them reads from the store.
 */
const LEAST_TOLD_CHARACTERS = 16 * 1024;
/** A faster link passes on what takes no longer than this for all that follow, so that callers' answers wait no longer. */
const LONGEST_TELLING_MS: Milliseconds = 100;
const BITS_PER_CHARACTER = 8;

interface Follower {
  readonly stream: PeerStream;
  readonly followed: FollowedPrefix;
  /** Revision up to which it was told, or told to ask the store. */
  told: number;
}

export class WatchServer {
  readonly #followers = new Set<Follower>();

  constructor(
    private readonly prefixes: ReadonlyMap<string, FollowedPrefix>,
    private readonly counters: ReaderCounters,
    private readonly now: () => Milliseconds,
    /** What this node's link carries; 0 if it is not known. */
    private readonly linkMbps: number,
  ) {
    for (const followed of prefixes.values()) {
      followed.onAnswered = () => this.#tellNews(followed);
      followed.onRelayed = () => this.#tellFollowers(followed);
      followed.onTellingEnded = () => this.#endFollowers(followed);
    }
  }

  /** A node wants to follow a prefix; refused by ending the stream, as when this node stops reading it. */
  onStream(header: WireValue, stream: PeerStream): void {
    const request = parseWatchRequest(header);
    const followed = request && this.prefixes.get(request.prefix);
    if (request === undefined || followed === undefined) {
      stream.abort('no request for a watch');
      return;
    }
    const follower = { stream, followed, told: request.after };
    if (!this.#tell(follower)) {
      stream.end();
      return;
    }
    this.#followers.add(follower);
    stream.onClose = () => void this.#followers.delete(follower);
    stream.onMessage = () => stream.end();
  }

  /** Tells all followers that this node is there, and how old the store's word is. */
  tellAll(): void {
    for (const follower of this.#followers) this.#tell(follower);
  }

  #tellFollowers(followed: FollowedPrefix): void {
    for (const follower of this.#followers)
      if (follower.followed === followed) this.#tell(follower);
  }

  #tellNews(followed: FollowedPrefix): void {
    for (const follower of this.#followers) {
      const isBehind = followed.isProof || follower.told < followed.history.revision;
      if (follower.followed === followed && isBehind) this.#tell(follower);
    }
  }

  /** False if this node has nothing to tell. */
  #tell(follower: Follower): boolean {
    const { answeredAt, provenAt, history } = follower.followed;
    if (answeredAt === undefined || provenAt === undefined) return false;
    const stretch = history.changesSince(follower.told);
    const isPassedOn =
      stretch !== undefined &&
      countCharacters(stretch.events) <= this.#mostCharacters(follower.followed);
    // A stretch that begins where it ends tells that there is more, at the store.
    const { revision } = history;
    const passed = isPassedOn ? stretch : { after: revision, revision, events: [] };
    const clockMs = this.now();
    const ageMs = Math.max(0, clockMs - answeredAt);
    const told: RelayedRange = { ...passed, ageMs, clockMs, provenMs: provenAt };
    follower.stream.send(told);
    this.counters.eventsTold += passed.events.length;
    follower.told = passed.revision;
    return true;
  }

  #mostCharacters(told: FollowedPrefix): number {
    const followers = [...this.#followers].filter(({ followed }) => followed === told).length;
    const bitsPerMs = this.linkMbps * 1000;
    const bits = (bitsPerMs * LONGEST_TELLING_MS) / Math.max(1, followers);
    return Math.max(LEAST_TOLD_CHARACTERS, Math.floor(bits / BITS_PER_CHARACTER));
  }

  #endFollowers(followed: FollowedPrefix): void {
    for (const follower of [...this.#followers]) {
      if (follower.followed !== followed) continue;
      this.#followers.delete(follower);
      follower.stream.end();
    }
  }
}
