/**
 * The store's word as a reader heard it from another one: what it may tell its own followers, and when it should do so at
 * once. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';

/** When the store had no more than was told: as it answered, and as the poll was sent that it answered. */
export interface WordTimes {
  readonly currentAt: Milliseconds;
  readonly provenAt: Milliseconds;
}

export class RelayedWord {
  #times: WordTimes | undefined;
  #passedCurrentAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** A word that is younger by less waits for the next heartbeat: two readers of the store answer in turns. */
  constructor(private readonly passEveryMs: Milliseconds) {}

  /** Undefined if there is nothing to tell. */
  get times(): WordTimes | undefined {
    return this.#times;
  }

  /** All changes up to what is known here were told, and stood at these times. */
  note({ currentAt, provenAt }: WordTimes): void {
    if (!Number.isFinite(currentAt) || !Number.isFinite(provenAt)) return;
    this.#times = {
      currentAt: Math.max(currentAt, this.#times?.currentAt ?? currentAt),
      provenAt: Math.max(provenAt, this.#times?.provenAt ?? provenAt),
    };
  }

  forget(): void {
    this.#times = undefined;
  }

  /** True once for each word that followers should hear at once. */
  takeNews(hasChanges: boolean): boolean {
    if (this.#times === undefined) return false;
    const { currentAt } = this.#times;
    if (!hasChanges && currentAt - this.#passedCurrentAt < this.passEveryMs) return false;
    this.#passedCurrentAt = currentAt;
    return true;
  }
}
