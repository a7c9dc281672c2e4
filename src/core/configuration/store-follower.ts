/**
 * Watches the store while this node relays: reads all declarations once, then opens a watch from
 * that revision. After a watch has ended, it reads again before it opens a new one. A watch that
 * silently stopped delivering is detected by reading the head key periodically. Every node reads
 * the store once when it starts.
 */
import type { Milliseconds } from '../units.js';
import { Backoff, jitter, type RandomSource } from './backoff.js';
import type { ConfigurationRevision } from './model.js';

const HEAD_CHECK_PERIOD_MS = 15_000;
const READ_BACKOFF = { initialMs: 250, maximumMs: 10_000 };

/** Input of the store follower. */
export type StoreFollowerEvent =
  /** `watch`: this node relays. `read`: it has no configuration yet. */
  | { readonly type: 'demand-changed'; readonly watch: boolean; readonly read: boolean }
  | { readonly type: 'store-read'; readonly storeRevision: number }
  | { readonly type: 'store-read-failed'; readonly retryAfterMs: Milliseconds }
  | { readonly type: 'watch-ended' }
  | {
      readonly type: 'head-checked';
      readonly headRevision: ConfigurationRevision;
      readonly replicaRevision: ConfigurationRevision;
    }
  | { readonly type: 'head-check-failed'; readonly retryAfterMs: Milliseconds }
  | { readonly type: 'tick' };

/** Output of the store follower. */
export type StoreFollowerEffect =
  | { readonly type: 'read-store' }
  | { readonly type: 'open-watch'; readonly fromRevision: number }
  | { readonly type: 'close-watch' }
  | { readonly type: 'check-head' };

/** `idle`: neither a read nor a watch is needed. `waiting`: reads at `nextAt`. */
type FollowerPhase = 'idle' | 'waiting' | 'reading' | 'watching';

/** The state machine of one node's reads of the store and its watch on it. */
export class StoreFollower {
  #phase: FollowerPhase = 'idle';
  #needsWatch = false;
  #needsRead = false;
  #isCheckingHead = false;
  #nextAt: Milliseconds | undefined;
  readonly #backoff: Backoff;

  constructor(private readonly random: RandomSource) {
    this.#backoff = new Backoff(READ_BACKOFF, random);
  }

  get isWatching(): boolean {
    return this.#phase === 'watching';
  }

  nextDeadline(): Milliseconds | undefined {
    return this.#nextAt;
  }

  handle(event: StoreFollowerEvent, now: Milliseconds): StoreFollowerEffect[] {
    switch (event.type) {
      case 'demand-changed':
        return this.#setDemand(event.watch, event.read, now);
      case 'store-read':
        return this.#handleRead(event.storeRevision, now);
      case 'store-read-failed':
        return this.#scheduleRead(now + this.#backoff.next(event.retryAfterMs));
      case 'watch-ended':
        return this.#phase === 'watching' ? this.#scheduleRead(now + this.#backoff.next()) : [];
      case 'head-checked':
        return this.#handleHeadCheck(event.headRevision > event.replicaRevision, now);
      case 'head-check-failed':
        return this.#handleHeadCheck(false, now);
      case 'tick':
        return this.#tick(now);
    }
  }

  #setDemand(watch: boolean, read: boolean, now: Milliseconds): StoreFollowerEffect[] {
    this.#needsWatch = watch;
    this.#needsRead = read;
    if (this.#phase === 'watching' && !watch) return this.#stopWatching();
    if (this.#phase === 'waiting' && !watch && !read) return this.#becomeIdle();
    if (this.#phase === 'idle' && (watch || read)) {
      this.#nextAt = now;
      this.#phase = 'waiting';
      return this.#tick(now);
    }
    return [];
  }

  #handleRead(storeRevision: number, now: Milliseconds): StoreFollowerEffect[] {
    this.#needsRead = false;
    this.#backoff.reset();
    if (!this.#needsWatch) return this.#becomeIdle();
    this.#phase = 'watching';
    this.#scheduleCheck(now);
    return [{ type: 'open-watch', fromRevision: storeRevision + 1 }];
  }

  #scheduleRead(until: Milliseconds): StoreFollowerEffect[] {
    if (!this.#needsWatch && !this.#needsRead) return this.#becomeIdle();
    this.#phase = 'waiting';
    this.#nextAt = until;
    return [];
  }

  #handleHeadCheck(isBehind: boolean, now: Milliseconds): StoreFollowerEffect[] {
    this.#isCheckingHead = false;
    if (this.#phase !== 'watching') return [];
    if (!isBehind) {
      this.#scheduleCheck(now);
      return [];
    }
    this.#phase = 'waiting';
    this.#nextAt = now;
    return [{ type: 'close-watch' }, ...this.#tick(now)];
  }

  #tick(now: Milliseconds): StoreFollowerEffect[] {
    if (this.#nextAt === undefined || now < this.#nextAt) return [];
    this.#nextAt = undefined;
    if (this.#phase === 'waiting') {
      this.#phase = 'reading';
      return [{ type: 'read-store' }];
    }
    if (this.#phase !== 'watching' || this.#isCheckingHead) return [];
    this.#isCheckingHead = true;
    return [{ type: 'check-head' }];
  }

  #scheduleCheck(now: Milliseconds): void {
    this.#nextAt = now + jitter(HEAD_CHECK_PERIOD_MS, this.random);
  }

  #stopWatching(): StoreFollowerEffect[] {
    this.#becomeIdle();
    return [{ type: 'close-watch' }];
  }

  #becomeIdle(): StoreFollowerEffect[] {
    this.#phase = 'idle';
    this.#nextAt = undefined;
    return [];
  }
}
