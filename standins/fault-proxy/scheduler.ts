/**
 * Timers for delayed bytes. Node's timers have a resolution of a millisecond and fire late; the
 * precise scheduler therefore spends the last stretch in turns of the event loop, which occupies up
 * to one core while bytes wait.
 */
import { performance } from 'node:perf_hooks';

/** A timer fires up to a millisecond late; sending nearly half of that early evens the error out. */
const COARSE_TOLERANCE_MS = 0.4;
/** The last stretch, which the precise scheduler spends in turns of the event loop. */
const PRECISE_STRETCH_MS = 2;

/** One pending call at a time. */
export interface DelayTimer {
  /** True if something due after `waitMs` may as well be done now. */
  isDue(waitMs: number): boolean;
  /** Calls back after about `waitMs`, to ask `isDue` again; replaces a pending call. */
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
    const turn = (): void => {
      if (performance.now() >= dueAtMs) callback();
      else this.#immediate = setImmediate(turn);
    };
    if (waitMs <= PRECISE_STRETCH_MS) this.#immediate = setImmediate(turn);
    else this.#timeout = setTimeout(turn, waitMs - PRECISE_STRETCH_MS);
  }

  cancel(): void {
    clearTimeout(this.#timeout);
    clearImmediate(this.#immediate);
  }
}

/** Makes timers of one kind. */
export type DelayTimerFactory = () => DelayTimer;

export function delayTimers(precise: boolean): DelayTimerFactory {
  return precise ? () => new PreciseTimer() : () => new CoarseTimer();
}
