/**
 * Instances that get no reads for a while, since they fail or answer several times slower than the others of their
 * service. By the outcome of requests, never by a health check. Capped: a service keeps most of its instances. What
 * only a primary can do goes to it all the same. No I/O and no clock.
 */
import { countObservations, type FleetView } from '../fleet/instance-digest.js';
import { weightedMedian } from '../fleet/weighted-median.js';
import type { Milliseconds } from '../units.js';

/** Fewer observations prove nothing: a few answers take several times the usual by nature. Counts shrink with age. */
const LEAST_OBSERVATIONS = 6;
/** In probation few requests are sent. */
const LEAST_PROBES = 1;
/** Callers try again at a loss of a few answers; from this part on most of them lose. */
const FAILED_SHARE = 0.3;
/** An instance is ill only beside others that fail less than this part of its own failures. */
const OTHERS_FAILED_FACTOR = 1 / 3;
const SLOW_FACTOR = 3.5;
/** What callers don't notice is no reason. */
const SLOW_BY_MS: Milliseconds = 25;
/** Pause before probation. What was seen before is forgotten by then, so that probation is judged by its own answers. */
export const FIRST_PAUSE_MS: Milliseconds = 3000;
const LONGEST_PAUSE_MS: Milliseconds = 20_000;
/** An instance that was well for so long has its next pause as if it were the first. */
const MEMORY_MS: Milliseconds = 20_000;
/** In probation the whole fleet sends one request in so long. */
const PROBE_INTERVAL_MS: Milliseconds = 250;

/** What a decision about an instance rests on. */
export interface HealthEvidence {
  readonly id: string;
  /** As of now: tells of a change at once. */
  readonly seen: FleetView | undefined;
  /** Over the last seconds: tells of an instance that gets few requests. */
  readonly recent: FleetView | undefined;
}

export type EjectionReason = 'failing' | 'slow';

/** What changed for an instance, and by what evidence. */
export interface EjectionEvent {
  readonly type: 'ejected' | 'probation' | 'returned';
  readonly instanceId: string;
  readonly reason: EjectionReason;
  /** Until probation, for one that was ejected. */
  readonly pauseMs: Milliseconds;
  readonly seen: FleetView | undefined;
  readonly othersAnswerMs: Milliseconds;
}

interface Ejected {
  readonly reason: EjectionReason;
  readonly strikes: number;
  readonly pauseMs: Milliseconds;
  readonly endsAt: Milliseconds;
  state: 'ejected' | 'probation';
  nextProbeAt: Milliseconds;
}

interface Strikes {
  readonly count: number;
  readonly forgottenAt: Milliseconds;
}

export interface EjectionOptions {
  /** Nodes that send requests to the instances. */
  readonly nodeCount: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
}

/** Ejections among the instances of one service. */
export class Ejections {
  readonly #ejected = new Map<string, Ejected>();
  readonly #strikes = new Map<string, Strikes>();

  constructor(private readonly options: EjectionOptions) {}

  /** Judges the instances of the service by what is known of them now. */
  evaluate(instances: readonly HealthEvidence[], now: Milliseconds): readonly EjectionEvent[] {
    this.#forgetGone(instances);
    const events: EjectionEvent[] = [];
    for (const instance of instances) {
      const others = instances.filter(({ id }) => id !== instance.id && !this.isEjected(id));
      const event = this.#evaluateOne(instance, others, instances.length, now);
      if (event !== undefined) events.push(event);
    }
    return events;
  }

  /** Instances that are ejected or in probation. */
  get count(): number {
    return this.#ejected.size;
  }

  /** Whether it gets no reads but those of its probation. */
  isEjected(instanceId: string): boolean {
    return this.#ejected.has(instanceId);
  }

  /** Whether one request of this node may try an instance in probation now; it then counts as sent. */
  takeProbe(instanceId: string, now: Milliseconds): boolean {
    const ejected = this.#ejected.get(instanceId);
    if (ejected?.state !== 'probation' || now < ejected.nextProbeAt) return false;
    ejected.nextProbeAt = now + this.#probeIntervalMs();
    return true;
  }

  #evaluateOne(
    instance: HealthEvidence,
    others: readonly HealthEvidence[],
    instanceCount: number,
    now: Milliseconds,
  ): EjectionEvent | undefined {
    const { id } = instance;
    const ejected = this.#ejected.get(id);
    const least = ejected === undefined ? LEAST_OBSERVATIONS : LEAST_PROBES;
    const period = hasAtLeast(instance.seen, least) ? 'seen' : 'recent';
    const seen = instance[period];
    const known = others.map((other) => other[period]).filter(isCompared);
    const told = { instanceId: id, seen, othersAnswerMs: answerMsOf(known) };
    if (ejected?.state === 'ejected') {
      if (now < ejected.endsAt) return undefined;
      ejected.state = 'probation';
      ejected.nextProbeAt = now + this.#probeIntervalMs() * this.options.random();
      return { type: 'probation', reason: ejected.reason, pauseMs: 0, ...told };
    }
    if (!hasAtLeast(seen, least)) return undefined;
    const reason = illnessOf(seen, known);
    if (reason === undefined) {
      if (ejected === undefined) return undefined;
      this.#ejected.delete(id);
      this.#strikes.set(id, { count: ejected.strikes, forgottenAt: now + MEMORY_MS });
      return { type: 'returned', reason: ejected.reason, pauseMs: 0, ...told };
    }
    if (ejected === undefined && !this.#mayEjectOneMore(instanceCount)) return undefined;
    const pauseMs = this.#eject(id, reason, now);
    return { type: 'ejected', reason, pauseMs, ...told };
  }

  #eject(id: string, reason: EjectionReason, now: Milliseconds): Milliseconds {
    const strikes = this.#strikesOf(id, now) + 1;
    const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (strikes - 1));
    const until = { endsAt: now + pauseMs, nextProbeAt: Number.POSITIVE_INFINITY };
    this.#ejected.set(id, { reason, strikes, pauseMs, state: 'ejected', ...until });
    return pauseMs;
  }

  #strikesOf(id: string, now: Milliseconds): number {
    const ejected = this.#ejected.get(id);
    if (ejected !== undefined) return ejected.strikes;
    const before = this.#strikes.get(id);
    return before === undefined || now >= before.forgottenAt ? 0 : before.count;
  }

  /** Never the last one, and never most of them. */
  #mayEjectOneMore(instanceCount: number): boolean {
    return this.#ejected.size + 1 <= Math.floor((instanceCount - 1) / 2);
  }

  #probeIntervalMs(): Milliseconds {
    return PROBE_INTERVAL_MS * Math.max(1, this.options.nodeCount());
  }

  #forgetGone(instances: readonly HealthEvidence[]): void {
    const present = new Set(instances.map(({ id }) => id));
    for (const id of this.#ejected.keys()) if (!present.has(id)) this.#ejected.delete(id);
    for (const id of this.#strikes.keys()) if (!present.has(id)) this.#strikes.delete(id);
  }
}

function hasAtLeast(seen: FleetView | undefined, least: number): seen is FleetView {
  return seen !== undefined && countObservations(seen) >= least;
}

function isCompared(seen: FleetView | undefined): seen is FleetView {
  return hasAtLeast(seen, LEAST_PROBES);
}

/** Why it is ill beside the others; undefined if it is not, or if there is nothing to compare it with. */
function illnessOf(seen: FleetView, others: readonly FleetView[]): EjectionReason | undefined {
  if (others.length === 0) return undefined;
  const failedShare = failedShareOf([seen]);
  if (failedShare >= FAILED_SHARE && failedShareOf(others) <= failedShare * OTHERS_FAILED_FACTOR) {
    return 'failing';
  }
  return isSlow(seen, others) ? 'slow' : undefined;
}

/** One that answers more requests than any other is not ill, but has too many of them. */
function isSlow(seen: FleetView, others: readonly FleetView[]): boolean {
  const othersMs = answerMsOf(others);
  const isLoaded = others.every(({ answered }) => answered < seen.answered);
  const slowMs = Math.max(othersMs * SLOW_FACTOR, othersMs + SLOW_BY_MS);
  return othersMs > 0 && seen.answerMs >= slowMs && !isLoaded;
}

function failedShareOf(views: readonly FleetView[]): number {
  const observed = views.reduce((sum, view) => sum + countObservations(view), 0);
  return observed === 0 ? 0 : views.reduce((sum, { failed }) => sum + failed, 0) / observed;
}

function answerMsOf(views: readonly FleetView[]): Milliseconds {
  const timed = views.filter(({ answerMs }) => answerMs > 0);
  return weightedMedian(timed.map(({ answerMs }) => ({ value: answerMs, weight: 1 })));
}
