/** A pause before something is tried again, which the return of the store ends early. */
import type { Milliseconds } from '../units.js';
import type { PromotionRuntime } from './runtime.js';

export class RetryPause {
  /** Undefined while there is no pause. */
  #runNow: (() => void) | undefined;

  constructor(private readonly runtime: Pick<PromotionRuntime, 'after'>) {}

  /** Does this after a while, or once the pause is ended. */
  schedule(delayMs: Milliseconds, action: () => void): void {
    const act = (): void => {
      cancel();
      this.#runNow = undefined;
      action();
    };
    const cancel = this.runtime.after(delayMs, act);
    this.#runNow = act;
  }

  /** What waits is done now. */
  runNow(): void {
    this.#runNow?.();
  }
}
