/** Counts calls to the store by purpose and outcome. */

/**
 * `refused`: the store responded that it did nothing. `lost`: no response came, and the call may have taken effect.
 * `unsent`: no connection was made. `left`: this node did not wait for the response.
 */
export type StoreCallOutcome = 'done' | 'refused' | 'lost' | 'unsent' | 'left';

export interface StoreCallCount {
  readonly kind: string;
  readonly outcome: StoreCallOutcome;
  readonly count: number;
}

export class StoreCallTally {
  readonly #counts = new Map<string, Map<StoreCallOutcome, number>>();

  record(kind: string, outcome: StoreCallOutcome): void {
    const countsOfKind = this.#counts.get(kind) ?? new Map<StoreCallOutcome, number>();
    this.#counts.set(kind, countsOfKind);
    countsOfKind.set(outcome, (countsOfKind.get(outcome) ?? 0) + 1);
  }

  counts(): StoreCallCount[] {
    return [...this.#counts].flatMap(([kind, ofKind]) =>
      [...ofKind].map(([outcome, count]) => ({ kind, outcome, count })),
    );
  }

  /** Counts for a log line: keys are KIND for calls that were done, else KIND:OUTCOME. */
  summary(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      this.counts().map(({ kind, outcome, count }) => [
        outcome === 'done' ? kind : `${kind}:${outcome}`,
        count,
      ]),
    );
  }
}
