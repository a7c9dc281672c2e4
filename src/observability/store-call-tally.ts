/** Calls to the store, counted by what they are for and how they ended. */

/**
 * `refused`: the store said that it did nothing. `lost`: no answer came, and it may have been done. `unsent`: no
 * connection was made. `left`: this node did not wait for the answer.
 */
export type StoreCallOutcome = 'done' | 'refused' | 'lost' | 'unsent' | 'left';

export interface StoreCallCount {
  readonly kind: string;
  readonly outcome: StoreCallOutcome;
  readonly count: number;
}

export class StoreCallTally {
  readonly #counts = new Map<string, Map<StoreCallOutcome, number>>();

  note(kind: string, outcome: StoreCallOutcome): void {
    const ofKind = this.#counts.get(kind) ?? new Map<StoreCallOutcome, number>();
    this.#counts.set(kind, ofKind);
    ofKind.set(outcome, (ofKind.get(outcome) ?? 0) + 1);
  }

  counts(): StoreCallCount[] {
    return [...this.#counts].flatMap(([kind, ofKind]) =>
      [...ofKind].map(([outcome, count]) => ({ kind, outcome, count })),
    );
  }

  /** For a line of the log: by kind, and by outcome where it is not the usual one. */
  summary(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      this.counts().map(({ kind, outcome, count }) => [
        outcome === 'done' ? kind : `${kind}:${outcome}`,
        count,
      ]),
    );
  }
}
