/** Wakes a state machine at its next deadline, with one timer at a time. */
import type { Milliseconds } from '../src/core/units.js';
import type { VirtualClock } from './virtual-clock.js';

export class DeadlineTimer {
  readonly #clock: VirtualClock;
  readonly #nextDeadline: () => Milliseconds | undefined;
  readonly #onDue: () => void;
  #armedAt = Number.POSITIVE_INFINITY;

  /** @param onDue runs when a deadline has passed; it is to arm the timer again */
  constructor(
    clock: VirtualClock,
    nextDeadline: () => Milliseconds | undefined,
    onDue: () => void,
  ) {
    this.#clock = clock;
    this.#nextDeadline = nextDeadline;
    this.#onDue = onDue;
  }

  /** To be called after everything that may have moved the deadline. */
  arm(): void {
    const deadline = this.#nextDeadline();
    if (deadline === undefined || deadline >= this.#armedAt) return;
    this.#armedAt = deadline;
    this.#clock.after(deadline - this.#clock.now, () => this.#fire(deadline));
  }

  #fire(deadline: Milliseconds): void {
    // A timer that an earlier one has overtaken.
    if (deadline !== this.#armedAt) return;
    this.#armedAt = Number.POSITIVE_INFINITY;
    const due = this.#nextDeadline();
    if (due !== undefined && due <= this.#clock.now) this.#onDue();
    else this.arm();
  }
}
