/**
 * Follows the store while this node relays: reads everything once, then watches from there. A
 * watch that ended is begun again with a read; a watch that has gone silent is found by a look at
 * the head key from time to time. All nodes read the store once when they start.
 */
import type { Milliseconds } from '../units.js';
import { Backoff, jitter, type RandomSource } from './backoff.js';
import type { ConfigurationRevision } from './model.js';

const HEAD_CHECK_INTERVAL_MS = 15_000;
const READ_BACKOFF = { initialMs: 250, maximumMs: 10_000 };

/** What goes into the follower. */
export type StoreFollowerEvent =
  /** `wanted`: this node relays, or has no configuration yet. */
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

/** What comes out of the follower. */
export type StoreFollowerEffect =
  | { readonly type: 'read-store' }
  | { readonly type: 'open-watch'; readonly fromRevision: number }
  | { readonly type: 'close-watch' }
  | { readonly type: 'check-head' };

/** `idle`: nothing asked for. `waiting`: until `nextAt`, then a read. */
type FollowerPhase = 'idle' | 'waiting' | 'reading' | 'watching';

/** The state machine of one node's reads and watch. */
export class StoreFollower {
  #phase: FollowerPhase = 'idle';
  #watchWanted = false;
  #readWanted = false;
  #checking = false;
  #nextAt: Milliseconds | undefined;
  readonly #backoff: Backoff;

  constructor(private readonly random: RandomSource) {
    this.#backoff = new Backoff(READ_BACKOFF, random);
  }

  get watching(): boolean {
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
        return this.#read(event.storeRevision, now);
      case 'store-read-failed':
        return this.#wait(now + this.#backoff.next(event.retryAfterMs));
      case 'watch-ended':
        return this.#phase === 'watching' ? this.#wait(now + this.#backoff.next()) : [];
      case 'head-checked':
        return this.#headChecked(event.headRevision > event.replicaRevision, now);
      case 'head-check-failed':
        return this.#headChecked(false, now);
      case 'tick':
        return this.#tick(now);
    }
  }

  #setDemand(watch: boolean, read: boolean, now: Milliseconds): StoreFollowerEffect[] {
    this.#watchWanted = watch;
    this.#readWanted = read;
    if (this.#phase === 'watching' && !watch) return this.#stopWatching();
    if (this.#phase === 'waiting' && !watch && !read) return this.#rest();
    if (this.#phase === 'idle' && (watch || read)) {
      this.#nextAt = now;
      this.#phase = 'waiting';
      return this.#tick(now);
    }
    return [];
  }

  #read(storeRevision: number, now: Milliseconds): StoreFollowerEffect[] {
    this.#readWanted = false;
    this.#backoff.reset();
    if (!this.#watchWanted) return this.#rest();
    this.#phase = 'watching';
    this.#scheduleCheck(now);
    return [{ type: 'open-watch', fromRevision: storeRevision + 1 }];
  }

  #wait(until: Milliseconds): StoreFollowerEffect[] {
    if (!this.#watchWanted && !this.#readWanted) return this.#rest();
    this.#phase = 'waiting';
    this.#nextAt = until;
    return [];
  }

  #headChecked(behind: boolean, now: Milliseconds): StoreFollowerEffect[] {
    this.#checking = false;
    if (this.#phase !== 'watching') return [];
    if (!behind) {
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
    if (this.#phase !== 'watching' || this.#checking) return [];
    this.#checking = true;
    return [{ type: 'check-head' }];
  }

  #scheduleCheck(now: Milliseconds): void {
    this.#nextAt = now + jitter(HEAD_CHECK_INTERVAL_MS, this.random);
  }

  #stopWatching(): StoreFollowerEffect[] {
    this.#rest();
    return [{ type: 'close-watch' }];
  }

  #rest(): StoreFollowerEffect[] {
    this.#phase = 'idle';
    this.#nextAt = undefined;
    return [];
  }
}
