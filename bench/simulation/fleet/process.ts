/** One incarnation of a simulated process: its actions wait while it is frozen and end when it is killed. */
import type { SimulatedClock } from '../clock.js';

export class SimulatedProcess {
  isAlive = true;
  frozenSince = 0;
  frozenUntil = 0;

  constructor(
    private readonly clock: SimulatedClock,
    readonly nodeId: string,
    /** Unique among all incarnations. */
    readonly name: string,
  ) {}

  get isFrozen(): boolean {
    return this.clock.now < this.frozenUntil;
  }

  /** Runs the action now, when the process resumes, or never if it was killed. */
  readonly run = (action: () => void): void => {
    if (!this.isAlive) return;
    if (this.isFrozen) this.clock.after(this.frozenUntil - this.clock.now, () => this.run(action));
    else action();
  };

  /** Runs the action in the process after a delay. */
  after(milliseconds: number, action: () => void): void {
    this.clock.after(milliseconds, () => this.run(action));
  }
}
