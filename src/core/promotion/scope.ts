/** Lifetime of a component of the state machine: when it ends, pending timers and responses are dropped. */
import type { Milliseconds } from '../units.js';
import type { PromotionRuntime } from './runtime.js';

export class Scope {
  #ended = false;
  readonly #cancels = new Set<() => void>();

  constructor(private readonly runtime: PromotionRuntime) {}

  get isEnded(): boolean {
    return this.#ended;
  }

  /** Runs an action after a delay, unless the scope has ended; the returned function cancels it. */
  after(delayMs: Milliseconds, action: () => void): () => void {
    if (this.#ended) return () => {};
    const cancelEntry = this.runtime.after(delayMs, () => {
      this.#cancels.delete(cancel);
      action();
    });
    const cancel = (): void => {
      this.#cancels.delete(cancel);
      cancelEntry();
    };
    this.#cancels.add(cancel);
    return cancel;
  }

  /** Wraps a response handler so that it does nothing once the scope has ended. */
  guard<Answer>(onAnswer: (answer: Answer) => void): (answer: Answer) => void {
    return (answer) => {
      if (!this.#ended) onAnswer(answer);
    };
  }

  end(): void {
    this.#ended = true;
    for (const cancel of [...this.#cancels]) cancel();
  }
}
