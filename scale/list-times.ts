/** Measures the delay from the publication of a machine list until a node applies it. */
import type { Milliseconds } from '../src/core/units.js';
import { computeDistribution, type Distribution } from './distribution.js';
import type { SimulatedMachineList } from './simulated-machine-list.js';

/** Delays by phase. */
export class ListTimes {
  phase = 'boot';
  readonly #times = new Map<string, Milliseconds[]>();

  constructor(
    private readonly service: SimulatedMachineList,
    private readonly now: () => Milliseconds,
  ) {}

  /** Records that a node has applied a version. */
  onApplied(version: number): void {
    const publishedAt = this.service.publishedAt.get(version);
    if (publishedAt === undefined) return;
    const times = this.#times.get(this.phase) ?? [];
    times.push(this.now() - publishedAt);
    this.#times.set(this.phase, times);
  }

  /** Delays of the lists that were applied in a phase. */
  figures(phase: string): Distribution {
    return computeDistribution(this.#times.get(phase) ?? []);
  }
}
