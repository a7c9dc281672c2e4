/** Delay before a retry, which ends early when the store responds again. */
import type { Milliseconds } from '../units.js';
import type { PromotionRuntime } from './runtime.js';

export class RetryPause {
  /** Undefined while nothing is scheduled. */
  #runNow: (() => void) | undefined;

  constructor(private readonly runtime: Pick<PromotionRuntime, 'after'>) {}

  /** Runs an action after a delay, or earlier by `runNow`. */
  schedule(delayMs: Milliseconds, action: () => void): void {
    const act = (): void => {
      cancel();
      this.#runNow = undefined;
      action();
    };
    const cancel = this.runtime.after(delayMs, act);
    this.#runNow = act;
  }

  /** Runs the scheduled action immediately. */
  runNow(): void {
    this.#runNow?.();
  }
}
