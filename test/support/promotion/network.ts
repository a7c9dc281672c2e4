/** Simulated network between machines, with cuts in one or both directions. */
import type { SimulatedClock } from './clock.js';

export class SimulatedNetwork {
  readonly #cuts = new Map<string, number>();

  constructor(readonly clock: SimulatedClock) {}

  /** Drops messages from `from` to `to` for a time, in that direction only. */
  cutOneWay(from: string, to: string, forMs: number): void {
    this.#cuts.set(`${from}>${to}`, this.clock.now + forMs);
  }

  cut(left: string, right: string, forMs: number): void {
    this.cutOneWay(left, right, forMs);
    this.cutOneWay(right, left, forMs);
  }

  reaches(from: string, to: string): boolean {
    return (this.#cuts.get(`${from}>${to}`) ?? 0) <= this.clock.now;
  }

  /** Delivers after a delay, unless the link is cut when sending or delivering. */
  send(from: string, to: string, action: () => void, lowMs = 0.5, highMs = 4): void {
    if (!this.reaches(from, to)) return;
    this.clock.after(this.clock.between(lowMs, highMs), () => {
      if (this.reaches(from, to)) action();
    });
  }
}
