/** One life of a simulated process: what happens in it waits while it is frozen, and ends with it. */
import type { SimulatedClock } from '../clock.js';

export class SimulatedProcess {
  alive = true;
  frozenSince = 0;
  frozenUntil = 0;

  constructor(
    private readonly clock: SimulatedClock,
    readonly nodeId: string,
    /** Unique among all lives. */
    readonly name: string,
  ) {}

  get frozen(): boolean {
    return this.clock.now < this.frozenUntil;
  }

  /** Runs the action now, when the process goes on, or never. */
  readonly run = (action: () => void): void => {
    if (!this.alive) return;
    if (this.frozen) this.clock.after(this.frozenUntil - this.clock.now, () => this.run(action));
    else action();
  };

  /** A timer of the process. */
  after(milliseconds: number, action: () => void): void {
    this.clock.after(milliseconds, () => this.run(action));
  }
}
