/** Where reads of one service go: expected times, a choice among them, and ejections. No I/O and no clock. */
import type { FleetView } from '../fleet/instance-digest.js';
import { RecentView, scaled } from '../fleet/recent-view.js';
import type { Milliseconds } from '../units.js';
import { AnswerMemory } from './answer-memory.js';
import { type Expected, placeRead } from './choice.js';
import { type EjectionEvent, Ejections } from './ejection.js';
import { expectedMs, observedMs, type PlacedInstance, usualAnswerMs } from './expected-time.js';

/** Each look sees most observations of the one before once more: so large a part of them is new. */
const FRESH_SHARE = 0.2;

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
  /** What ejections rest on: some seconds. */
  readonly #recent = new Map<string, RecentView>();
  readonly #memory = new AnswerMemory();

  constructor(private readonly options: ServicePlacementOptions) {
    this.#ejections = new Ejections(options);
  }

  /** Takes what is known now and judges the instances by it. */
  look(instances: readonly PlacedInstance[], now: Milliseconds): readonly EjectionEvent[] {
    const present = new Set(instances.map(({ id }) => id));
    for (const id of this.#recent.keys()) if (!present.has(id)) this.#recent.delete(id);
    this.#memory.forgetOthers(present);
    this.#seen = new Map();
    for (const { id } of instances) {
      const seen = this.options.seenBy(id, now);
      if (seen !== undefined) this.#seen.set(id, seen);
      this.#recentOf(id).add(seen, FRESH_SHARE, now);
    }
    this.#remember(instances, now);
    const evidence = instances.map(({ id }) => ({
      ...{ id, seen: this.#seen.get(id), recent: this.#recentOf(id).view },
    }));
    const events = this.#ejections.evaluate(evidence, now);
    // What comes next is judged by what is seen from now on.
    for (const { instanceId } of events) this.#recentOf(instanceId).clear();
    return events;
  }

  #recentOf(id: string): RecentView {
    const known = this.#recent.get(id);
    if (known !== undefined) return known;
    const recent = new RecentView();
    this.#recent.set(id, recent);
    return recent;
  }

  #remember(instances: readonly PlacedInstance[], now: Milliseconds): void {
    const usualMs = usualAnswerMs(instances, this.#seen);
    for (const [id, seen] of this.#seen) {
      const priorMs = this.#memory.expected(id, usualMs, now);
      this.#memory.note(id, observedMs(scaled(seen, FRESH_SHARE), priorMs), now);
    }
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
   * @param mayProbe whether the read may be the probe of an instance in probation
   */
  rank<Load extends PlacedInstance>(
    loads: readonly Load[],
    now: Milliseconds,
    mayProbe: boolean,
  ): Expected<Load>[] {
    const usualMs = usualAnswerMs(loads, this.#seen);
    const expected = loads.map((load) => ({
      candidate: load,
      expectedMs: this.#expectedMs(load, usualMs, now),
    }));
    const isEjected = ({ candidate }: Expected<Load>): boolean => this.isEjected(candidate.id);
    const ejected = expected.filter(isEjected);
    const placed = placeRead(
      expected.filter((one) => !isEjected(one)),
      this.options.random,
    );
    const probe = mayProbe
      ? ejected.find(({ candidate }) => this.#ejections.takeProbe(candidate.id, now))
      : undefined;
    const last = ejected.filter((one) => one !== probe);
    return probe === undefined ? [...placed, ...last] : [probe, ...placed, ...last];
  }

  #expectedMs(load: PlacedInstance, usualMs: Milliseconds, now: Milliseconds): Milliseconds {
    const priorMs = this.#memory.expected(load.id, usualMs, now);
    return expectedMs(load, this.#seen.get(load.id), priorMs, now);
  }
}
