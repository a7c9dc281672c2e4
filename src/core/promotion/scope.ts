/** The life of a part of the machine: what it has planned or awaits is dropped once it ends. */
import type { Milliseconds } from '../units.js';
import type { PromotionRuntime } from './runtime.js';

export class Scope {
  #ended = false;
  readonly #cancels = new Set<() => void>();

  constructor(private readonly runtime: PromotionRuntime) {}

  get isEnded(): boolean {
    return this.#ended;
  }

  /** Runs an action later, unless the scope has ended by then. */
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

  /** What follows an answer, unless the scope has ended by then. */
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
