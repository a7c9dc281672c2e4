/**
 * Tracks the store's era, which each of its responses carries and which rises with each restore from a backup. After a
 * restore, everything acknowledged since the backup is lost, and revisions are assigned a second time. No I/O and no
 * clock.
 */

/** What one response shows about the store's era. */
export type EraObservation =
  /** The known era, or a store that reports none. */
  | { readonly type: 'present'; readonly era: number }
  /** The first era seen; when it began is unknown. */
  | { readonly type: 'first'; readonly era: number }
  /** The store was restored from a backup since the previous response. */
  | { readonly type: 'risen'; readonly era: number; readonly before: number }
  /** The response doesn't show the store's current state. */
  | { readonly type: 'unusable'; readonly reason: EraProblem };

/**
 * Why a response is unusable: it has no era although earlier ones had (`missing`), an era that is not a number
 * (`malformed`), or one that a restore has ended (`over`).
 */
export type EraProblem = 'missing' | 'malformed' | 'over';

/** Era of a store that reports none. */
export const DEFAULT_ERA = 0;
const ERA_PATTERN = /^\d{1,15}$/;

/** Tracks the era over all responses of one store, in the order of their arrival. */
export class StoreEra {
  #era = DEFAULT_ERA;
  #hasNamedEra = false;
  #hasAnswered = false;

  /** The highest era seen. */
  get era(): number {
    return this.#era;
  }

  /** Evaluates the era that a response carries; undefined if it carries none. */
  observe(named: string | undefined): EraObservation {
    const problem = this.#problemOf(named);
    if (problem !== undefined) return { type: 'unusable', reason: problem };
    const before = this.#era;
    const isFirst = !this.#hasAnswered;
    this.#hasAnswered = true;
    if (named === undefined) return { type: 'present', era: before };
    this.#hasNamedEra = true;
    this.#era = Number(named);
    const isRisen = !isFirst && this.#era > before;
    if (isRisen) return { type: 'risen', era: this.#era, before };
    return { type: isFirst ? 'first' : 'present', era: this.#era };
  }

  #problemOf(named: string | undefined): EraProblem | undefined {
    if (named === undefined) return this.#hasNamedEra ? 'missing' : undefined;
    if (!ERA_PATTERN.test(named)) return 'malformed';
    return Number(named) < this.#era ? 'over' : undefined;
  }
}
