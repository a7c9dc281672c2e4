/** Reads and watches one prefix of the store, as its `PrefixFollower` state machine decides. */
import { type PrefixWatchEvent, PrefixWatchStateMachine } from '../core/directory/prefix-watch.js';
import { StoreHealth } from '../core/directory/store-health.js';
import type { MeadowstackError } from '../core/errors.js';
import type { BackoffPolicy } from '../core/retry/backoff.js';
import type { Milliseconds } from '../core/units.js';
import type { RangeResponse, Store, WatchEvent } from '../platform/contract.js';
import { StoreFailure, StoreWatchEndedError } from '../platform/errors.js';

export interface PrefixReaderOptions {
  readonly store: Store;
  readonly prefix: string;
  readonly backoff: BackoffPolicy;
  clock(): Milliseconds;
  schedule(delayMs: Milliseconds, run: () => void): () => void;
  random(): number;
  onRange(answer: RangeResponse): void;
  onEvents(events: readonly WatchEvent[]): void;
  onProblem(error: MeadowstackError): void;
}

export class PrefixReader {
  readonly #follower: PrefixWatchStateMachine;
  readonly #health = new StoreHealth();
  /** Ends the current watch or pause. */
  #cancel: (() => void) | undefined;
  #isPausing = false;
  #stopped = false;
  /** Lower bound of the time at which the current call was sent. */
  #sentAt: Milliseconds = 0;
  #confirmedAt: Milliseconds | undefined;
  #provenAt: Milliseconds | undefined;

  constructor(private readonly options: PrefixReaderOptions) {
    this.#follower = new PrefixWatchStateMachine(options.backoff, () => options.random());
  }

  start(): void {
    this.#handle({ type: 'start' });
  }

  /** After this no handler is called. */
  stop(): void {
    this.#stopped = true;
    this.#cancel?.();
    this.#cancel = undefined;
  }

  /** Ends a pause after a failure, for when the store answers again after an outage. */
  retryNow(): void {
    if (!this.#isPausing) return;
    this.#cancel?.();
    this.#endPause();
  }

  /** Time at which the last answered call was sent; undefined if none was answered. */
  lastConfirmedAt(): Milliseconds | undefined {
    return this.#confirmedAt;
  }

  /** Time since which the store has kept the prefix current without an outage; undefined while it may be out of date. */
  healthySince(): Milliseconds | undefined {
    return this.#health.healthySince(this.options.clock());
  }

  /** Last time at which the store provably had nothing that wasn't received here; undefined if nothing is proven. */
  lastProvenAt(): Milliseconds | undefined {
    return this.#provenAt;
  }

  /**
   * Reads the prefix beside the watch, which may not have noticed that it is cut off. Resolves to the time at which the
   * call was sent, or undefined if the store did not answer.
   */
  async confirm(): Promise<Milliseconds | undefined> {
    const sentAt = this.options.clock();
    const answer = await this.options.store.range(this.options.prefix);
    if (this.#stopped || answer.isErr()) return undefined;
    this.#recordProven(sentAt);
    // An older answer would bring back what the watch has seen removed.
    if (answer.value.revision >= this.highestRevision) this.options.onRange(answer.value);
    return sentAt;
  }

  /** Store revision up to which all changes were received; 0 before the first read. */
  get highestRevision(): number {
    return this.#follower.highestRevision;
  }

  #handle(event: PrefixWatchEvent): void {
    if (this.#stopped) return;
    const effect = this.#follower.handle(event);
    if (effect === undefined) return;
    this.#cancel = undefined;
    if (effect.type === 'read-range') this.#readRange();
    else if (effect.type === 'open-watch') this.#openWatch(effect.fromRevision);
    else this.#pause(effect.pauseMs);
  }

  #pause(pauseMs: Milliseconds): void {
    this.#isPausing = true;
    this.#cancel = this.options.schedule(pauseMs, () => this.#endPause());
  }

  #endPause(): void {
    this.#isPausing = false;
    this.#handle({ type: 'pause-over' });
  }

  #readRange(): void {
    this.#sentAt = this.options.clock();
    void this.options.store.range(this.options.prefix).match(
      (answer) => {
        if (this.#stopped) return;
        this.#recordConfirmed(this.#sentAt);
        this.#recordProven(this.#sentAt);
        this.options.onRange(answer);
        this.#handle({ type: 'range-read', revision: answer.revision });
      },
      (error) =>
        this.#handleFailure(error, { type: 'range-failed', retryAfterMs: retryAfterOf(error) }),
    );
  }

  #openWatch(fromRevision: number): void {
    this.#sentAt = this.options.clock();
    this.#cancel = this.options.store.watch(this.options.prefix, fromRevision, {
      onEvents: (events, revision, currentAt = this.#sentAt, provenAt = currentAt) => {
        if (this.#stopped) return;
        this.#recordProven(provenAt);
        this.#recordConfirmed(currentAt);
        // The watch sends its next poll after this handler returns, so this time is a lower bound.
        this.#sentAt = this.options.clock();
        this.options.onEvents(events);
        this.#handle({ type: 'watch-progress', revision });
      },
      onEnd: (error, compacted) => {
        const lost = error instanceof StoreWatchEndedError;
        const retryAfterMs = retryAfterOf(error);
        this.#handleFailure(error, { type: 'watch-ended', compacted, lost, retryAfterMs });
      },
    });
  }

  #recordConfirmed(sentAt: Milliseconds): void {
    this.#confirmedAt = Math.max(this.#confirmedAt ?? sentAt, sentAt);
    this.#health.recordSuccess(sentAt, this.options.clock());
  }

  #recordProven(at: Milliseconds): void {
    this.#provenAt = Math.max(this.#provenAt ?? at, at);
  }

  #handleFailure(error: MeadowstackError, event: PrefixWatchEvent): void {
    if (this.#stopped) return;
    this.#health.recordFailure(this.options.clock());
    this.options.onProblem(error);
    this.#handle(event);
  }
}

function retryAfterOf(error: MeadowstackError): Milliseconds | undefined {
  return error instanceof StoreFailure ? error.retryAfterMs : undefined;
}
