/** Deadlines of a pure machine: what is due is run by the machine's own tick, in order of time. */
import type { Milliseconds } from '../units.js';

/** Takes back an entry of the agenda that has not run yet. */
export type CancelEntry = () => void;

interface AgendaEntry {
  readonly at: Milliseconds;
  readonly action: () => void;
}

/** A few dozen entries at most: a scan is cheaper than keeping them ordered. */
export class Agenda {
  readonly #entries = new Set<AgendaEntry>();

  schedule(at: Milliseconds, action: () => void): CancelEntry {
    const entry = { at, action };
    this.#entries.add(entry);
    return () => {
      this.#entries.delete(entry);
    };
  }

  /** Time of the earliest entry. */
  next(): Milliseconds | undefined {
    return this.#earliest()?.at;
  }

  /** Runs everything due at `now`, also what gets due while it runs. */
  run(now: Milliseconds): void {
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

  #earliest(): AgendaEntry | undefined {
    let earliest: AgendaEntry | undefined;
    for (const entry of this.#entries) {
      if (earliest === undefined || entry.at < earliest.at) earliest = entry;
    }
    return earliest;
  }
}
