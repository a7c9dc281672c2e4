/** Runs a callback at a state machine's next deadline. */
import type { Milliseconds } from '../src/core/units.js';
import type { VirtualClock } from './virtual-clock.js';

export class DeadlineTimer {
  readonly #clock: VirtualClock;
  readonly #nextDeadline: () => Milliseconds | undefined;
  readonly #onDue: () => void;
  #armedAt = Number.POSITIVE_INFINITY;

  /** @param onDue runs when a deadline has passed; it must arm the timer again */
  constructor(
    clock: VirtualClock,
    nextDeadline: () => Milliseconds | undefined,
    onDue: () => void,
  ) {
    this.#clock = clock;
    this.#nextDeadline = nextDeadline;
    this.#onDue = onDue;
  }

  /** Must be called after anything that may have changed the deadline. */
  arm(): void {
    const deadline = this.#nextDeadline();
    if (deadline === undefined || deadline >= this.#armedAt) return;
    this.#armedAt = deadline;
    this.#clock.after(deadline - this.#clock.now, () => this.#fire(deadline));
  }

  #fire(deadline: Milliseconds): void {
    // The timer was replaced by one with an earlier deadline.
    if (deadline !== this.#armedAt) return;
    this.#armedAt = Number.POSITIVE_INFINITY;
    const due = this.#nextDeadline();
    if (due !== undefined && due <= this.#clock.now) this.#onDue();
    else this.arm();
  }
}
