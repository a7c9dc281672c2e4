/**
 * Decides how one prefix of the store is followed: one read of the range, then a watch from there. A
 * watch that lost its connection is opened again at once, other failures back off, and a watch whose
 * history is gone is begun again with a read. No I/O and no clock: pauses are told as effects.
 */
import { type BackoffPolicy, backoffPause } from '../retry/backoff.js';
import type { Milliseconds } from '../units.js';

export type PrefixFollowerEvent =
  | { readonly type: 'start' }
  | { readonly type: 'range-read'; readonly revision: number }
  | { readonly type: 'range-failed'; readonly retryAfterMs: Milliseconds | undefined }
  /** The watch told its events, or that there are none, up to this revision. */
  | { readonly type: 'watch-progress'; readonly revision: number }
  | {
      readonly type: 'watch-ended';
      /** The watch's history is gone. */
      readonly compacted: boolean;
      /** Its connection was lost, rather than the store refusing. */
      readonly lost: boolean;
      readonly retryAfterMs: Milliseconds | undefined;
    }
  /** The pause that was asked for is over. */
  | { readonly type: 'pause-over' };

export type PrefixFollowerEffect =
  | { readonly type: 'read-range' }
  | { readonly type: 'open-watch'; readonly fromRevision: number }
  | { readonly type: 'pause'; readonly pauseMs: Milliseconds };

/** The state machine of one prefix. Events come one at a time, in the order of the effects. */
export class PrefixFollower {
  /** Revision up to which everything was told; undefined if the range is to be read. */
  #revision: number | undefined;
  #highestRevision = 0;
  /** In a row, without any progress of a watch. */
  #failures = 0;

  constructor(
    private readonly backoff: BackoffPolicy,
    /** A number in [0, 1); seeded by the caller. */
    private readonly random: () => number,
  ) {}

  /** Highest revision up to which everything was told, also if it must be read anew; at first 0. */
  get highestRevision(): number {
    return this.#highestRevision;
  }

  handle(event: PrefixFollowerEvent): PrefixFollowerEffect | undefined {
    switch (event.type) {
      case 'start':
      case 'pause-over':
        return this.#proceed();
      case 'range-read':
        this.#noteRevision(event.revision);
        return this.#proceed();
      case 'range-failed':
        this.#failures += 1;
        return this.#pause(event.retryAfterMs);
      case 'watch-progress':
        this.#failures = 0;
        this.#noteRevision(Math.max(this.#revision ?? 0, event.revision));
        return undefined;
      case 'watch-ended':
        this.#failures += 1;
        if (event.compacted) this.#revision = undefined;
        if (this.#failures === 1 && (event.lost || event.compacted)) return this.#proceed();
        return this.#pause(event.retryAfterMs);
    }
  }

  #noteRevision(revision: number): void {
    this.#revision = revision;
    this.#highestRevision = Math.max(this.#highestRevision, revision);
  }

  #proceed(): PrefixFollowerEffect {
    if (this.#revision === undefined) return { type: 'read-range' };
    return { type: 'open-watch', fromRevision: this.#revision + 1 };
  }

  #pause(retryAfterMs: Milliseconds | undefined): PrefixFollowerEffect {
    const pauseMs = backoffPause(this.backoff, this.#failures, this.random(), retryAfterMs);
    return { type: 'pause', pauseMs };
  }
}
