/** Limits how many log lines of each kind are written per second, and counts the omitted ones. */
import type { Milliseconds } from '../core/units.js';

const WINDOW_MS: Milliseconds = 1000;

interface KindState {
  startedAt: Milliseconds;
  admitted: number;
  leftOut: number;
}

/** Whether a line may be written, and how many of its kind were omitted since the last one written. */
export interface Admission {
  readonly isAdmitted: boolean;
  readonly leftOut: number;
}

export class EventLimit {
  readonly #kinds = new Map<string, KindState>();

  constructor(private readonly maxPerSecond: number) {}

  /** `kind` must come from a limited set of values, as its state is kept for good. */
  admit(kind: string, now: Milliseconds): Admission {
    const state = this.#stateOf(kind, now);
    if (state.admitted >= this.maxPerSecond) {
      state.leftOut += 1;
      return { isAdmitted: false, leftOut: state.leftOut };
    }
    state.admitted += 1;
    const { leftOut } = state;
    state.leftOut = 0;
    return { isAdmitted: true, leftOut };
  }

  #stateOf(kind: string, now: Milliseconds): KindState {
    const existing = this.#kinds.get(kind);
    if (existing === undefined) {
      const state = { startedAt: now, admitted: 0, leftOut: 0 };
      this.#kinds.set(kind, state);
      return state;
    }
    if (now - existing.startedAt >= WINDOW_MS) {
      existing.startedAt = now;
      existing.admitted = 0;
    }
    return existing;
  }
}
