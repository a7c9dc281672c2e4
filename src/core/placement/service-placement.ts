/** Places the reads of one service, by expected times and ejections. No I/O and no clock. */
import type { FleetView } from '../fleet/instance-digest.js';
import { RecentView, scaleObservations } from '../fleet/recent-view.js';
import type { Milliseconds } from '../units.js';
import { AnswerTimeEstimates } from './answer-time-estimates.js';
import { rankForRead, type TimedCandidate } from './choice.js';
import { type EjectionEvent, Ejections } from './ejection.js';
import {
  baselineAnswerMs,
  estimateObservedMs,
  estimateReadMs,
  type ReadCandidate,
} from './expected-time.js';

/** Views of successive refreshes overlap: only this fraction of a view's observations is new. */
const NEW_OBSERVATION_FRACTION = 0.2;

export interface ServicePlacementOptions {
  /** The fleet's present view of an instance. */
  readonly viewOf: (instanceId: string, now: Milliseconds) => FleetView | undefined;
  /** Number of nodes that send requests to the instances. */
  readonly nodeCount: () => number;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

export class ServicePlacement {
  readonly #ejections: Ejections;
  /** As of the last refresh: merging views is too expensive for each request. */
  #views = new Map<string, FleetView>();
  /** Views over some seconds, for ejections. */
  readonly #recentViews = new Map<string, RecentView>();
  readonly #answerTimes = new AnswerTimeEstimates();

  constructor(private readonly options: ServicePlacementOptions) {
    this.#ejections = new Ejections(options);
  }

  /** Reads the present views and judges the instances by them. */
  refresh(instances: readonly ReadCandidate[], now: Milliseconds): readonly EjectionEvent[] {
    const presentIds = new Set(instances.map(({ id }) => id));
    for (const id of this.#recentViews.keys())
      if (!presentIds.has(id)) this.#recentViews.delete(id);
    this.#answerTimes.retainOnly(presentIds);
    this.#views = new Map();
    for (const { id } of instances) {
      const view = this.options.viewOf(id, now);
      if (view !== undefined) this.#views.set(id, view);
      this.#recentViewOf(id).add(view, NEW_OBSERVATION_FRACTION, now);
    }
    this.#updateAnswerTimes(instances, now);
    const evidence = instances.map(({ id }) => ({
      ...{ id, current: this.#views.get(id), recent: this.#recentViewOf(id).view },
    }));
    const events = this.#ejections.evaluate(evidence, now);
    // The new state is judged by observations from now on only.
    for (const { instanceId } of events) this.#recentViewOf(instanceId).clear();
    return events;
  }

  #recentViewOf(id: string): RecentView {
    const known = this.#recentViews.get(id);
    if (known !== undefined) return known;
    const recent = new RecentView();
    this.#recentViews.set(id, recent);
    return recent;
  }

  #updateAnswerTimes(instances: readonly ReadCandidate[], now: Milliseconds): void {
    const usualMs = baselineAnswerMs(instances, this.#views);
    for (const [id, view] of this.#views) {
      const priorMs = this.#answerTimes.estimate(id, usualMs, now);
      this.#answerTimes.record(
        id,
        estimateObservedMs(scaleObservations(view, NEW_OBSERVATION_FRACTION), priorMs),
        now,
      );
    }
  }

  get ejectedCount(): number {
    return this.#ejections.count;
  }

  /** Whether an instance gets no reads except probes in probation. */
  isEjected(instanceId: string): boolean {
    return this.#ejections.isEjected(instanceId);
  }

  /**
   * Returns the instances that may serve a read, the chosen entry first and ejected ones last.
   * @param mayProbe whether the read may be used to probe an instance in probation
   */
  rank<Load extends ReadCandidate>(
    loads: readonly Load[],
    now: Milliseconds,
    mayProbe: boolean,
  ): TimedCandidate<Load>[] {
    const usualMs = baselineAnswerMs(loads, this.#views);
    const expected = loads.map((load) => ({
      candidate: load,
      expectedMs: this.#estimateMs(load, usualMs, now),
    }));
    const isEjected = ({ candidate }: TimedCandidate<Load>): boolean =>
      this.isEjected(candidate.id);
    const ejected = expected.filter(isEjected);
    const placed = rankForRead(
      expected.filter((entry) => !isEjected(entry)),
      this.options.random,
    );
    const probe = mayProbe
      ? ejected.find(({ candidate }) => this.#ejections.takeProbe(candidate.id, now))
      : undefined;
    const notProbed = ejected.filter((entry) => entry !== probe);
    return probe === undefined ? [...placed, ...notProbed] : [probe, ...placed, ...notProbed];
  }

  #estimateMs(load: ReadCandidate, usualMs: Milliseconds, now: Milliseconds): Milliseconds {
    const priorMs = this.#answerTimes.estimate(load.id, usualMs, now);
    return estimateReadMs(load, this.#views.get(load.id), priorMs, now);
  }
}
