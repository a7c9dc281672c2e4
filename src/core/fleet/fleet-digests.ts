/**
 * Knowledge of instances over the fleet: what this node saw itself and what other nodes told, merged by the number of
 * observations and their age. Observers merge by weighted medians and each one's weight is bounded, so that a few with
 * bad links, or that lie, move no instance. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';
import {
  countObservations,
  type DigestRefusal,
  type FleetView,
  type InstanceDigest,
  type InstanceObservation,
} from './instance-digest.js';
import { OwnObservations } from './own-observations.js';
import { weightedMedian } from './weighted-median.js';

/** Older observations say nothing of now. */
export const OLDEST_MS: Milliseconds = 2500;
/** Load changes within a second: what is older by this weighs half. */
const HALF_LIFE_MS: Milliseconds = 250;
/** A node can't have waited longer for one answer: deadlines of callers are shorter. */
const LONGEST_TIME_MS: Milliseconds = 60_000;
/** Statements that one node sees at one instance within a second at most. */
const MOST_PER_OBSERVER = 2000;
/** More observations of another node say no more, so that none can outweigh a fleet that sees little. */
const MOST_TOLD_PER_OBSERVER = 5;
/** The newest of so many nodes say enough: what merging costs does not grow with a zone. */
const MOST_TELLERS = 24;
/** So many times the weight of a usual source is the most that one may have. */
const MOST_OF_USUAL_WEIGHT = 2;
/** Observers of one digest at most. */
const MOST_OBSERVERS = 10_000;

interface Told {
  readonly digest: InstanceDigest;
  readonly at: Milliseconds;
}

interface Source {
  readonly digest: InstanceDigest;
  readonly ageMs: Milliseconds;
  /** 1 for observations of now, and half of that for each half-life. */
  readonly freshness: number;
  /** Observations that it stands for. */
  readonly observed: number;
}

/** What is merged is merged again after this: a reader tells it to its whole zone. */
const MERGED_FOR_MS: Milliseconds = 100;

interface Merged {
  readonly digests: readonly InstanceDigest[];
  readonly at: Milliseconds;
}

export class FleetDigests {
  readonly #own = new Map<string, { service: string; seen: OwnObservations }>();
  /** By instance, then by who told. */
  readonly #told = new Map<string, Map<string, Told>>();
  #merged: Merged | undefined;

  /** Takes what this node itself saw. */
  noteOwn(
    service: string,
    instanceId: string,
    observation: InstanceObservation,
    now: Milliseconds,
  ): void {
    let own = this.#own.get(instanceId);
    if (own === undefined) {
      own = { service, seen: new OwnObservations() };
      this.#own.set(instanceId, own);
    }
    own.seen.note(observation, now);
  }

  /** Takes what another node told; gives why not if it says nothing. */
  noteTold(digest: InstanceDigest, from: string, now: Milliseconds): DigestRefusal | undefined {
    if (!isPlausible(digest)) return 'implausible';
    if (digest.ageMs >= OLDEST_MS) return 'stale';
    const tellers = this.#told.get(digest.instanceId) ?? new Map<string, Told>();
    // The newest comes last.
    tellers.delete(from);
    this.#told.set(digest.instanceId, tellers.set(from, { digest, at: now }));
    return undefined;
  }

  /** Everything that is known of an instance now; undefined if nobody asked it lately. */
  seenBy(instanceId: string, now: Milliseconds): FleetView | undefined {
    const sources = this.#sources(instanceId, now);
    return sources.length === 0 ? undefined : merge(sources, ({ freshness }) => freshness);
  }

  /** What this node itself saw of each instance lately. */
  own(now: Milliseconds): readonly InstanceDigest[] {
    return [...this.#own.keys()].flatMap((id) => this.#ownOf(id, now) ?? []);
  }

  /** What this node and those that told it know together. */
  merged(now: Milliseconds): readonly InstanceDigest[] {
    if (this.#merged === undefined || now - this.#merged.at >= MERGED_FOR_MS) {
      this.#merged = { digests: this.#mergeAll(now), at: now };
    }
    const { digests, at } = this.#merged;
    return digests.map((digest) => ({ ...digest, ageMs: digest.ageMs + now - at }));
  }

  #mergeAll(now: Milliseconds): readonly InstanceDigest[] {
    const ids = new Set([...this.#own.keys(), ...this.#told.keys()]);
    return [...ids].flatMap((instanceId) => {
      const sources = this.#sources(instanceId, now);
      const service = sources[0]?.digest.service;
      if (service === undefined) return [];
      // Who is told lets the counts shrink with their age.
      return [{ service, instanceId, ...merge(sources, () => 1), ageMs: meanAge(sources) }];
    });
  }

  /** Forgets instances that are not known any more, and what is too old. */
  forget(isKnown: (instanceId: string) => boolean, now: Milliseconds): void {
    for (const id of this.#own.keys()) if (!isKnown(id)) this.#own.delete(id);
    for (const [id, tellers] of this.#told) {
      for (const [from, { digest, at }] of tellers) {
        if (digest.ageMs + now - at >= OLDEST_MS) tellers.delete(from);
      }
      if (tellers.size === 0 || !isKnown(id)) this.#told.delete(id);
    }
  }

  #ownOf(instanceId: string, now: Milliseconds): InstanceDigest | undefined {
    const own = this.#own.get(instanceId);
    const seen = own?.seen.digest(now);
    return own && seen && { service: own.service, instanceId, ...seen };
  }

  #sources(instanceId: string, now: Milliseconds): readonly Source[] {
    const own = this.#ownOf(instanceId, now);
    const sources: Source[] = [];
    if (own !== undefined) sources.push(sourceOf(own, own.ageMs, countObservations(own)));
    const told = [...(this.#told.get(instanceId)?.values() ?? [])].slice(-MOST_TELLERS);
    for (const { digest, at } of told) {
      const ageMs = digest.ageMs + Math.max(0, now - at);
      if (ageMs >= OLDEST_MS) continue;
      const most = MOST_TOLD_PER_OBSERVER * digest.observers;
      sources.push(sourceOf(digest, ageMs, Math.min(most, countObservations(digest))));
    }
    return bounded(sources);
  }
}

function sourceOf(digest: InstanceDigest, ageMs: Milliseconds, observed: number): Source {
  return { digest, ageMs, freshness: 0.5 ** (ageMs / HALF_LIFE_MS), observed };
}

function weightOf({ observed, freshness }: Source): number {
  return observed * freshness;
}

/** Beside two others or more, no source weighs more than a few usual ones. */
function bounded(sources: readonly Source[]): readonly Source[] {
  if (sources.length < 3) return sources;
  const weights = sources.map(weightOf).sort((left, right) => left - right);
  const most = MOST_OF_USUAL_WEIGHT * (weights[Math.floor(weights.length / 2)] ?? 0);
  return sources.map((source) =>
    weightOf(source) <= most ? source : { ...source, observed: most / source.freshness },
  );
}

/** Medians, also of the parts that were refused or failed: no minority of the observers moves them far. */
function merge(sources: readonly Source[], part: (source: Source) => number): FleetView {
  const observed = sources.reduce((total, one) => total + one.observed * part(one), 0);
  const median = (measure: (digest: InstanceDigest) => number, used = sources): number =>
    weightedMedian(used.map((one) => ({ value: measure(one.digest), weight: weightOf(one) })));
  const refusedShare = median((digest) => digest.refused / countObservations(digest));
  const failedShare = median((digest) => digest.failed / countObservations(digest));
  const timed = sources.filter(({ digest }) => digest.answerMs > 0);
  return {
    observers: sources.reduce((total, { digest }) => total + digest.observers, 0),
    answered: observed * Math.max(0, 1 - refusedShare - failedShare),
    refused: observed * refusedShare,
    failed: observed * failedShare,
    answerMs: median(({ answerMs }) => answerMs, timed),
    waitMs: median(({ waitMs }) => waitMs),
  };
}

function meanAge(sources: readonly Source[]): Milliseconds {
  const total = sources.reduce((sum, source) => sum + weightOf(source), 0);
  if (total === 0) return OLDEST_MS;
  return sources.reduce((sum, source) => sum + source.ageMs * weightOf(source), 0) / total;
}

function isPlausible(digest: InstanceDigest): boolean {
  const { ageMs, observers, answered, refused, failed, answerMs, waitMs } = digest;
  const isCounted = observers >= 1 && observers <= MOST_OBSERVERS;
  const hasCounts = [answered, refused, failed].every((count) => count >= 0);
  const observed = countObservations(digest);
  const isWithinBounds = observed > 0 && observed <= MOST_PER_OBSERVER * observers;
  const hasTimes = [answerMs, waitMs].every((time) => time >= 0 && time <= LONGEST_TIME_MS);
  return isCounted && ageMs >= 0 && hasCounts && isWithinBounds && hasTimes;
}
