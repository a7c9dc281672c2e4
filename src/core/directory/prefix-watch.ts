/**
 * Decides how one prefix of the store is watched: one read of the range, then a watch from its revision.
 * A watch that lost its connection is reopened at once, other failures back off, and a watch whose
 * history was compacted starts again with a read. No I/O and no clock: pauses are effects.
 */
import { type BackoffPolicy, backoffPause } from '../retry/backoff.js';
import type { Milliseconds } from '../units.js';

export type PrefixWatchEvent =
  | { readonly type: 'start' }
  | { readonly type: 'range-read'; readonly revision: number }
  | { readonly type: 'range-failed'; readonly retryAfterMs: Milliseconds | undefined }
  /** The watch has delivered all events up to this revision, if there were any. */
  | { readonly type: 'watch-progress'; readonly revision: number }
  | {
      readonly type: 'watch-ended';
      /** The store has compacted the revisions from which the watch would continue. */
      readonly compacted: boolean;
      /** The connection was lost; false if the store refused the watch. */
      readonly lost: boolean;
      readonly retryAfterMs: Milliseconds | undefined;
    }
  /** The requested pause has ended. */
  | { readonly type: 'pause-over' };

export type PrefixWatchEffect =
  | { readonly type: 'read-range' }
  | { readonly type: 'open-watch'; readonly fromRevision: number }
  | { readonly type: 'pause'; readonly pauseMs: Milliseconds };

/** State machine of one prefix. Events arrive one at a time, in the order of the effects. */
export class PrefixWatchStateMachine {
  /** Revision up to which all changes are known; undefined if the range has to be read. */
  #revision: number | undefined;
  #highestRevision = 0;
  /** Consecutive failures without progress of a watch. */
  #failures = 0;

  constructor(
    private readonly backoff: BackoffPolicy,
    /** A number in [0, 1); seeded by the caller. */
    private readonly random: () => number,
  ) {}

  /** Highest revision up to which all changes were known, even if the range has to be read again; initially 0. */
  get highestRevision(): number {
    return this.#highestRevision;
  }

  handle(event: PrefixWatchEvent): PrefixWatchEffect | undefined {
    switch (event.type) {
      case 'start':
      case 'pause-over':
        return this.#proceed();
      case 'range-read':
        this.#recordRevision(event.revision);
        return this.#proceed();
      case 'range-failed':
        this.#failures += 1;
        return this.#pause(event.retryAfterMs);
      case 'watch-progress':
        this.#failures = 0;
        this.#recordRevision(Math.max(this.#revision ?? 0, event.revision));
        return undefined;
      case 'watch-ended':
        this.#failures += 1;
        if (event.compacted) this.#revision = undefined;
        if (this.#failures === 1 && (event.lost || event.compacted)) return this.#proceed();
        return this.#pause(event.retryAfterMs);
    }
  }

  #recordRevision(revision: number): void {
    this.#revision = revision;
    this.#highestRevision = Math.max(this.#highestRevision, revision);
  }

  #proceed(): PrefixWatchEffect {
    if (this.#revision === undefined) return { type: 'read-range' };
    return { type: 'open-watch', fromRevision: this.#revision + 1 };
  }

  #pause(retryAfterMs: Milliseconds | undefined): PrefixWatchEffect {
    const pauseMs = backoffPause(this.backoff, this.#failures, this.random(), retryAfterMs);
    return { type: 'pause', pauseMs };
  }
}
