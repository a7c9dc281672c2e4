/** Simulated time: runs scheduled actions in order of time, and of scheduling at equal times. */

interface ScheduledAction {
  readonly at: number;
  readonly action: () => void;
}

/** Actions on a simulated clock, in milliseconds. */
export class Schedule {
  now = 0;
  readonly #actions: ScheduledAction[] = [];

  /** Runs an action after a time; at the earliest after the action that runs now. */
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

  /** Runs everything scheduled up to `until`. */
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
