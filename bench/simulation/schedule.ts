/** Simulated time: runs actions in order of their time, and of scheduling if times are equal. */

interface ScheduledAction {
  readonly at: number;
  readonly action: () => void;
}

/** Actions on a simulated clock, in milliseconds. */
export class Schedule {
  now = 0;
  readonly #actions: ScheduledAction[] = [];

  /** Schedules an action after a delay; it never runs before the current action has returned. */
  after(milliseconds: number, action: () => void): void {
    const at = this.now + Math.max(0, milliseconds);
    let low = 0;
    let high = this.#actions.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.#actions[middle];
      if (other !== undefined && other.at <= at) low = middle + 1;
      else high = middle;
    }
    this.#actions.splice(low, 0, { at, action });
  }

  /** Runs all actions scheduled up to `until`. */
  runUntil(until: number): void {
    for (let next = this.#actions[0]; next !== undefined; next = this.#actions[0]) {
      if (next.at > until) break;
      this.#actions.shift();
      this.now = next.at;
      next.action();
    }
    this.now = until;
  }
}
