/** Deadlines of a pure machine: what is due is run by the machine's own tick, in order of time. */
import type { Milliseconds } from '../units.js';

/** Takes back an entry of the agenda that has not run yet. */
export type CancelTimer = () => void;

interface Timer {
  readonly at: Milliseconds;
  readonly action: () => void;
}

/** A few dozen entries at most: a scan is cheaper than keeping them ordered. */
export class TimerQueue {
  readonly #timers = new Set<Timer>();

  schedule(at: Milliseconds, action: () => void): CancelTimer {
    const timer = { at, action };
    this.#timers.add(timer);
    return () => {
      this.#timers.delete(timer);
    };
  }

  /** Time of the earliest entry. */
  nextAt(): Milliseconds | undefined {
    return this.#earliest()?.at;
  }

  /** Runs everything due at `now`, also what gets due while it runs. */
  runDue(now: Milliseconds): void {
    for (;;) {
      const timer = this.#earliest();
      if (timer === undefined || timer.at > now) return;
      this.#timers.delete(timer);
      timer.action();
    }
  }

  clear(): void {
    this.#timers.clear();
  }

  #earliest(): Timer | undefined {
    let earliest: Timer | undefined;
    for (const timer of this.#timers) {
      if (earliest === undefined || timer.at < earliest.at) earliest = timer;
    }
    return earliest;
  }
}
