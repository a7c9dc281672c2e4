/** How long published machine lists take until a node has them. */
import type { Milliseconds } from '../src/core/units.js';
import { type Distribution, distributionOf } from './distribution.js';
import type { SimulatedMachineList } from './simulated-machine-list.js';

/** Times by phase. */
export class ListTimes {
  phase = 'boot';
  readonly #times = new Map<string, Milliseconds[]>();

  constructor(
    private readonly service: SimulatedMachineList,
    private readonly now: () => Milliseconds,
  ) {}

  /** A node has taken a version over. */
  onApplied(version: number): void {
    const publishedAt = this.service.publishedAt.get(version);
    if (publishedAt === undefined) return;
    const times = this.#times.get(this.phase) ?? [];
    times.push(this.now() - publishedAt);
    this.#times.set(this.phase, times);
  }

  /** Times of the lists that were taken over in a phase. */
  figures(phase: string): Distribution {
    return distributionOf(this.#times.get(phase) ?? []);
  }
}
