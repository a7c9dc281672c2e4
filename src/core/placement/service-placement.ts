/** Where reads of one service go: expected times, a choice among them, and ejections. No I/O and no clock. */
import type { FleetView } from '../fleet/instance-digest.js';
import type { Milliseconds } from '../units.js';
import { type Expected, placeRead } from './choice.js';
import { type EjectionEvent, Ejections } from './ejection.js';
import { expectedMs, type PlacedInstance, usualAnswerMs } from './expected-time.js';

export interface ServicePlacementOptions {
  /** What is known of an instance now. */
  readonly seenBy: (instanceId: string, now: Milliseconds) => FleetView | undefined;
  /** Nodes that send requests to the instances. */
  readonly nodeCount: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
}

export class ServicePlacement {
  readonly #ejections: Ejections;
  /** As of the last look: merging is too dear for each request. */
  #seen = new Map<string, FleetView>();

  constructor(private readonly options: ServicePlacementOptions) {
    this.#ejections = new Ejections(options);
  }

  /** Takes what is known now and judges the instances by it. */
  look(instances: readonly { readonly id: string }[], now: Milliseconds): readonly EjectionEvent[] {
    const evidence = instances.map(({ id }) => ({ id, seen: this.options.seenBy(id, now) }));
    this.#seen = new Map(evidence.flatMap(({ id, seen }) => (seen ? [[id, seen]] : [])));
    return this.#ejections.evaluate(evidence, now);
  }

  get ejectedCount(): number {
    return this.#ejections.count;
  }

  /** Whether an instance gets only the reads of its probation. */
  isEjected(instanceId: string): boolean {
    return this.#ejections.isEjected(instanceId);
  }

  /**
   * Instances that may serve a read, the chosen one first; ejected ones come last.
   * @param isFirstTry whether the read may be the probe of an instance in probation
   */
  rank<Load extends PlacedInstance>(
    loads: readonly Load[],
    now: Milliseconds,
    isFirstTry: boolean,
  ): Expected<Load>[] {
    const usualMs = usualAnswerMs(loads, this.#seen);
    const expected = loads.map((load) => ({
      candidate: load,
      expectedMs: expectedMs(load, this.#seen.get(load.id), usualMs, now),
    }));
    const isEjected = ({ candidate }: Expected<Load>): boolean => this.isEjected(candidate.id);
    const ejected = expected.filter(isEjected);
    const placed = placeRead(
      expected.filter((one) => !isEjected(one)),
      this.options.random,
    );
    const probe = isFirstTry
      ? ejected.find(({ candidate }) => this.#ejections.takeProbe(candidate.id, now))
      : undefined;
    const last = ejected.filter((one) => one !== probe);
    return probe === undefined ? [...placed, ...last] : [probe, ...placed, ...last];
  }
}
