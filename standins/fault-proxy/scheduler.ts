/**
 * Timers for delayed bytes. Node's timers have a resolution of a millisecond and fire late. The
 * precise timer therefore polls with `setImmediate` before the due time, which uses up to one CPU
 * core while bytes wait.
 */
import { performance } from 'node:perf_hooks';

/** A timer fires up to a millisecond late; sending up to nearly half of that early offsets the error. */
const COARSE_TOLERANCE_MS = 0.4;
/** Time before the due time in which the precise timer polls. */
const IMMEDIATE_POLLING_MS = 2;

/** One pending call at a time. */
export interface DelayTimer {
  /** True if an action due in `waitMs` may be done now. */
  isDue(waitMs: number): boolean;
  /** Calls back after about `waitMs`, when `isDue` must be checked again; replaces a pending call. */
  schedule(waitMs: number, callback: () => void): void;
  cancel(): void;
}

class CoarseTimer implements DelayTimer {
  #timeout: NodeJS.Timeout | undefined;

  isDue(waitMs: number): boolean {
    return waitMs <= COARSE_TOLERANCE_MS;
  }

  schedule(waitMs: number, callback: () => void): void {
    this.cancel();
    this.#timeout = setTimeout(callback, waitMs);
  }

  cancel(): void {
    clearTimeout(this.#timeout);
  }
}

class PreciseTimer implements DelayTimer {
  #timeout: NodeJS.Timeout | undefined;
  #immediate: NodeJS.Immediate | undefined;

  isDue(waitMs: number): boolean {
    return waitMs <= 0;
  }

  schedule(waitMs: number, callback: () => void): void {
    this.cancel();
    const dueAtMs = performance.now() + waitMs;
    const poll = (): void => {
      if (performance.now() >= dueAtMs) callback();
      else this.#immediate = setImmediate(poll);
    };
    if (waitMs <= IMMEDIATE_POLLING_MS) this.#immediate = setImmediate(poll);
    else this.#timeout = setTimeout(poll, waitMs - IMMEDIATE_POLLING_MS);
  }

  cancel(): void {
    clearTimeout(this.#timeout);
    clearImmediate(this.#immediate);
  }
}

/** Creates timers of one kind. */
export type DelayTimerFactory = () => DelayTimer;

export function delayTimerFactory(isPrecise: boolean): DelayTimerFactory {
  return isPrecise ? () => new PreciseTimer() : () => new CoarseTimer();
}
