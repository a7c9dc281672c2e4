/** Bounds how many lines of each kind are written, and counts what was left out. */
import type { Milliseconds } from '../core/units.js';

const INTERVAL_MS: Milliseconds = 1000;

interface KindState {
  startedAt: Milliseconds;
  admitted: number;
  leftOut: number;
}

/** Whether a line may be written, and how many of its kind were left out before it. */
export interface Admission {
  readonly isAdmitted: boolean;
  readonly leftOut: number;
}

/** So many lines of each kind in a second. */
export class EventLimit {
  readonly #kinds = new Map<string, KindState>();

  constructor(private readonly perSecond: number) {}

  /** `kind` comes from a bounded set. */
  admit(kind: string, now: Milliseconds): Admission {
    const state = this.#stateOf(kind, now);
    if (state.admitted >= this.perSecond) {
      state.leftOut += 1;
      return { isAdmitted: false, leftOut: state.leftOut };
    }
    state.admitted += 1;
    const { leftOut } = state;
    state.leftOut = 0;
    return { isAdmitted: true, leftOut };
  }

  #stateOf(kind: string, now: Milliseconds): KindState {
    const known = this.#kinds.get(kind);
    if (known === undefined) {
      const state = { startedAt: now, admitted: 0, leftOut: 0 };
      this.#kinds.set(kind, state);
      return state;
    }
    if (now - known.startedAt >= INTERVAL_MS) {
      known.startedAt = now;
      known.admitted = 0;
    }
    return known;
  }
}
