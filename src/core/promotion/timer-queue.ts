/** Timers of the promotion state machine, which performs no I/O: its tick event runs those that are due, in order. */
import type { Milliseconds } from '../units.js';

/** Cancels a timer that has not run yet. */
export type CancelTimer = () => void;

interface TimerEntry {
  readonly at: Milliseconds;
  readonly action: () => void;
}

/** Holds a few dozen timers at most: a scan is cheaper than keeping them sorted. */
export class TimerQueue {
  readonly #entries = new Set<TimerEntry>();

  schedule(at: Milliseconds, action: () => void): CancelTimer {
    const entry = { at, action };
    this.#entries.add(entry);
    return () => {
      this.#entries.delete(entry);
    };
  }

  /** Time of the earliest timer. */
  nextAt(): Milliseconds | undefined {
    return this.#earliest()?.at;
  }

  /** Runs every timer due at `now`, including timers added meanwhile. */
  runDue(now: Milliseconds): void {
    for (;;) {
      const entry = this.#earliest();
      if (entry === undefined || entry.at > now) return;
      this.#entries.delete(entry);
      entry.action();
    }
  }

  clear(): void {
    this.#entries.clear();
  }

  #earliest(): TimerEntry | undefined {
    let earliest: TimerEntry | undefined;
    for (const entry of this.#entries) {
      if (earliest === undefined || entry.at < earliest.at) earliest = entry;
    }
    return earliest;
  }
}
