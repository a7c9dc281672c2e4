/**
 * Counts how often the store came back from a copy of itself, as its answers tell: what it acknowledged since that copy
 * is gone then, and it gives out the same revisions again. No I/O and no clock.
 */

/** What one answer tells of the era that it is of. */
export type EraReading =
  /** The era that is known, or a store that names none. */
  | { readonly type: 'present'; readonly era: number }
  /** The first era heard of: since when it is, is not known. */
  | { readonly type: 'first'; readonly era: number }
  /** The store came back from a copy since the answer before. */
  | { readonly type: 'risen'; readonly era: number; readonly before: number }
  /** The answer says nothing of what the store holds now. */
  | { readonly type: 'unusable'; readonly reason: EraProblem };

/** Why an answer can't be placed: it names no era though others did, none that is a number, or one that is over. */
export type EraProblem = 'missing' | 'malformed' | 'over';

/** Era of a store that names none. */
export const ERA_OF_SILENT_STORE = 0;
const ERA_PATTERN = /^\d{1,15}$/;

/** Follows the era over all answers of one store, in the order in which they come. */
export class StoreEra {
  #era = ERA_OF_SILENT_STORE;
  #isNamed = false;
  #hasAnswered = false;

  /** The highest era heard of. */
  get era(): number {
    return this.#era;
  }

  /** Takes the era that an answer names; undefined if it names none. */
  note(named: string | undefined): EraReading {
    const problem = this.#problemOf(named);
    if (problem !== undefined) return { type: 'unusable', reason: problem };
    const before = this.#era;
    const isFirst = !this.#hasAnswered;
    this.#hasAnswered = true;
    if (named === undefined) return { type: 'present', era: before };
    this.#isNamed = true;
    this.#era = Number(named);
    const isRisen = !isFirst && this.#era > before;
    if (isRisen) return { type: 'risen', era: this.#era, before };
    return { type: isFirst ? 'first' : 'present', era: this.#era };
  }

  #problemOf(named: string | undefined): EraProblem | undefined {
    if (named === undefined) return this.#isNamed ? 'missing' : undefined;
    if (!ERA_PATTERN.test(named)) return 'malformed';
    return Number(named) < this.#era ? 'over' : undefined;
  }
}
