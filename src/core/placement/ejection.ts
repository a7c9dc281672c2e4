/**
 * Outlier ejection: instances that fail, or answer several times slower than the others of their service, get no reads
 * for a while. Judged by the outcome of requests, never by health checks. Capped, so that a service keeps most of its
 * instances. Work that only a primary can do goes to an ejected primary too. No I/O and no clock.
 */
import { countObservations, type FleetView } from '../fleet/instance-digest.js';
import { weightedMedian } from '../fleet/weighted-median.js';
import type { Milliseconds } from '../units.js';

/** Fewer observations prove nothing: a few answers normally take several times as long. Counts decay with age. */
const MIN_OBSERVATIONS = 6;
/** Fewer than outside of probation, since an instance in probation gets few requests. */
const MIN_PROBE_OBSERVATIONS = 1;
/** Callers retry and so get over a smaller fraction of failures; from this fraction on most of them are affected. */
const MIN_FAILED_FRACTION = 0.3;
/** An instance counts as failing only if the failed fraction of the others is at most this part of its own. */
const MAX_OTHERS_FAILED_RATIO = 1 / 3;
const MIN_SLOWDOWN_FACTOR = 3.5;
/** A smaller difference is not noticed by callers. */
const MIN_SLOWDOWN_MS: Milliseconds = 25;
/** Time until probation. Earlier observations have expired by then, so that probation is judged by its own answers. */
export const FIRST_EJECTION_MS: Milliseconds = 3000;
const MAX_EJECTION_MS: Milliseconds = 20_000;
/** An instance that returned at least this long ago is next ejected for as long as the first time. */
const EJECTION_HISTORY_TTL_MS: Milliseconds = 20_000;
/** The nodes of the fleet together send an instance in probation one request per interval. */
const FLEET_PROBE_PERIOD_MS: Milliseconds = 250;

/** What an instance is judged by. */
export interface HealthEvidence {
  readonly id: string;
  /** The present moment: shows a change at once. */
  readonly current: FleetView | undefined;
  /** The last seconds: has enough observations of an instance that gets few requests. */
  readonly recent: FleetView | undefined;
}

export type EjectionReason = 'failing' | 'slow';

/** A change of an instance's state, with the evidence for it. */
export interface EjectionEvent {
  readonly type: 'ejected' | 'probation' | 'returned';
  readonly instanceId: string;
  readonly reason: EjectionReason;
  /** Time until probation, for type `ejected`; otherwise 0. */
  readonly pauseMs: Milliseconds;
  readonly view: FleetView | undefined;
  readonly othersAnswerMs: Milliseconds;
}

interface EjectedInstance {
  readonly reason: EjectionReason;
  readonly ejectionCount: number;
  readonly pauseMs: Milliseconds;
  readonly endsAt: Milliseconds;
  state: 'ejected' | 'probation';
  nextProbeAt: Milliseconds;
}

interface EjectionHistory {
  readonly count: number;
  readonly expiresAt: Milliseconds;
}

export interface EjectionOptions {
  /** Number of nodes that send requests to the instances. */
  readonly nodeCount: () => number;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

/** Ejections among the instances of one service. */
export class Ejections {
  readonly #ejected = new Map<string, EjectedInstance>();
  readonly #histories = new Map<string, EjectionHistory>();

  constructor(private readonly options: EjectionOptions) {}

  /** Judges the instances of the service and returns what changed. */
  evaluate(instances: readonly HealthEvidence[], now: Milliseconds): readonly EjectionEvent[] {
    this.#removeAbsent(instances);
    const events: EjectionEvent[] = [];
    for (const instance of instances) {
      const others = instances.filter(({ id }) => id !== instance.id && !this.isEjected(id));
      const event = this.#evaluateInstance(instance, others, instances.length, now);
      if (event !== undefined) events.push(event);
    }
    return events;
  }

  /** Number of instances that are ejected or in probation. */
  get count(): number {
    return this.#ejected.size;
  }

  /** Whether an instance gets no reads except probes in probation. */
  isEjected(instanceId: string): boolean {
    return this.#ejected.has(instanceId);
  }

  /** True if this node may send a probe to an instance in probation now; the probe then counts as sent. */
  takeProbe(instanceId: string, now: Milliseconds): boolean {
    const ejected = this.#ejected.get(instanceId);
    if (ejected?.state !== 'probation' || now < ejected.nextProbeAt) return false;
    ejected.nextProbeAt = now + this.#nodeProbeIntervalMs();
    return true;
  }

  #evaluateInstance(
    instance: HealthEvidence,
    others: readonly HealthEvidence[],
    instanceCount: number,
    now: Milliseconds,
  ): EjectionEvent | undefined {
    const { id } = instance;
    const ejected = this.#ejected.get(id);
    const minimum = ejected === undefined ? MIN_OBSERVATIONS : MIN_PROBE_OBSERVATIONS;
    const period = hasObservations(instance.current, minimum) ? 'current' : 'recent';
    const view = instance[period];
    const otherViews = others.map((other) => other[period]).filter(isComparable);
    const evidence = { instanceId: id, view, othersAnswerMs: answerMsOf(otherViews) };
    if (ejected?.state === 'ejected') {
      if (now < ejected.endsAt) return undefined;
      ejected.state = 'probation';
      ejected.nextProbeAt = now + this.#nodeProbeIntervalMs() * this.options.random();
      return { type: 'probation', reason: ejected.reason, pauseMs: 0, ...evidence };
    }
    if (!hasObservations(view, minimum)) return undefined;
    const reason = ejectionReasonOf(view, otherViews);
    if (reason === undefined) {
      if (ejected === undefined) return undefined;
      this.#ejected.delete(id);
      this.#histories.set(id, {
        count: ejected.ejectionCount,
        expiresAt: now + EJECTION_HISTORY_TTL_MS,
      });
      return { type: 'returned', reason: ejected.reason, pauseMs: 0, ...evidence };
    }
    if (ejected === undefined && !this.#mayEjectAnother(instanceCount)) return undefined;
    const pauseMs = this.#eject(id, reason, now);
    return { type: 'ejected', reason, pauseMs, ...evidence };
  }

  #eject(id: string, reason: EjectionReason, now: Milliseconds): Milliseconds {
    const ejectionCount = this.#ejectionCountOf(id, now) + 1;
    const pauseMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** (ejectionCount - 1));
    const schedule = { endsAt: now + pauseMs, nextProbeAt: Number.POSITIVE_INFINITY };
    this.#ejected.set(id, { reason, ejectionCount, pauseMs, state: 'ejected', ...schedule });
    return pauseMs;
  }

  #ejectionCountOf(id: string, now: Milliseconds): number {
    const ejected = this.#ejected.get(id);
    if (ejected !== undefined) return ejected.ejectionCount;
    const history = this.#histories.get(id);
    return history === undefined || now >= history.expiresAt ? 0 : history.count;
  }

  /** Allows neither the last instance nor most of the instances to be ejected. */
  #mayEjectAnother(instanceCount: number): boolean {
    return this.#ejected.size + 1 <= Math.floor((instanceCount - 1) / 2);
  }

  #nodeProbeIntervalMs(): Milliseconds {
    return FLEET_PROBE_PERIOD_MS * Math.max(1, this.options.nodeCount());
  }

  #removeAbsent(instances: readonly HealthEvidence[]): void {
    const present = new Set(instances.map(({ id }) => id));
    for (const id of this.#ejected.keys()) if (!present.has(id)) this.#ejected.delete(id);
    for (const id of this.#histories.keys()) if (!present.has(id)) this.#histories.delete(id);
  }
}

function hasObservations(view: FleetView | undefined, minimum: number): view is FleetView {
  return view !== undefined && countObservations(view) >= minimum;
}

function isComparable(view: FleetView | undefined): view is FleetView {
  return hasObservations(view, MIN_PROBE_OBSERVATIONS);
}

/** Compares an instance with the others; undefined if it is healthy, or if there are no others. */
function ejectionReasonOf(
  view: FleetView,
  others: readonly FleetView[],
): EjectionReason | undefined {
  if (others.length === 0) return undefined;
  const failedFraction = failedFractionOf([view]);
  if (
    failedFraction >= MIN_FAILED_FRACTION &&
    failedFractionOf(others) <= failedFraction * MAX_OTHERS_FAILED_RATIO
  ) {
    return 'failing';
  }
  return isSlow(view, others) ? 'slow' : undefined;
}

/** An instance that answers more requests than any other is overloaded, not faulty. */
function isSlow(view: FleetView, others: readonly FleetView[]): boolean {
  const othersMs = answerMsOf(others);
  const isMostLoaded = others.every(({ answered }) => answered < view.answered);
  const slowMs = Math.max(othersMs * MIN_SLOWDOWN_FACTOR, othersMs + MIN_SLOWDOWN_MS);
  return othersMs > 0 && view.answerMs >= slowMs && !isMostLoaded;
}

function failedFractionOf(views: readonly FleetView[]): number {
  const observed = views.reduce((sum, view) => sum + countObservations(view), 0);
  return observed === 0 ? 0 : views.reduce((sum, { failed }) => sum + failed, 0) / observed;
}

function answerMsOf(views: readonly FleetView[]): Milliseconds {
  const timed = views.filter(({ answerMs }) => answerMs > 0);
  return weightedMedian(timed.map(({ answerMs }) => ({ value: answerMs, weight: 1 })));
}
