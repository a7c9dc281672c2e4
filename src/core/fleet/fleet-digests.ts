/**
 * Observations of instances by the whole fleet: this node's own and those that other nodes report, weighted by their
 * number and age. They are merged by weighted medians, and the weight of each source is limited, so that a few nodes
 * with bad links or false reports can't change the view of an instance. No I/O and no clock.
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

/** Older observations say nothing about the present state. */
export const MAX_AGE_MS: Milliseconds = 2500;
/** Age at which an observation weighs half; short, since load changes within a second. */
const HALF_LIFE_MS: Milliseconds = 250;
/** Longer answer or wait times are implausible, since the deadlines of callers are shorter. */
const MAX_DURATION_MS: Milliseconds = 60_000;
/** More observations are implausible: one node sends fewer statements to one instance within a second. */
const MAX_OBSERVATIONS_PER_OBSERVER = 2000;
/** Only this many observations of another node count, so that no node outweighs a fleet with few observations. */
const MAX_COUNTED_PER_OBSERVER = 5;
/** The newest reports suffice, and the cost of merging doesn't grow with the size of a zone. */
const MAX_REPORTERS = 24;
/** Maximum weight of one source, as a multiple of the median weight. */
const MAX_WEIGHT_TO_MEDIAN_RATIO = 2;
/** A digest with more observers is implausible. */
const MAX_OBSERVERS = 10_000;

interface ReportedDigest {
  readonly digest: InstanceDigest;
  readonly receivedAt: Milliseconds;
}

interface Source {
  readonly digest: InstanceDigest;
  readonly ageMs: Milliseconds;
  /** 1 for present observations, halved by each half-life of age. */
  readonly freshness: number;
  /** Number of observations that count. */
  readonly observationCount: number;
}

/** How long merged digests are reused, since a reader sends them to all nodes of its zone. */
const MERGE_CACHE_MS: Milliseconds = 100;

interface MergedDigests {
  readonly digests: readonly InstanceDigest[];
  readonly mergedAt: Milliseconds;
}

export class FleetDigests {
  readonly #own = new Map<string, { service: string; observations: OwnObservations }>();
  /** By instance, then by reporting node; the newest report comes last. */
  readonly #reported = new Map<string, Map<string, ReportedDigest>>();
  #mergedCache: MergedDigests | undefined;

  /** Records an observation of this node. */
  recordOwn(
    service: string,
    instanceId: string,
    observation: InstanceObservation,
    now: Milliseconds,
  ): void {
    let own = this.#own.get(instanceId);
    if (own === undefined) {
      own = { service, observations: new OwnObservations() };
      this.#own.set(instanceId, own);
    }
    own.observations.record(observation, now);
  }

  /** Records a digest that another node reports; returns the reason if the digest is refused. */
  recordReported(
    digest: InstanceDigest,
    from: string,
    now: Milliseconds,
  ): DigestRefusal | undefined {
    if (!isPlausible(digest)) return 'implausible';
    if (digest.ageMs >= MAX_AGE_MS) return 'stale';
    const reports = this.#reported.get(digest.instanceId) ?? new Map<string, ReportedDigest>();
    // Deleted first, so that the newest report comes last.
    reports.delete(from);
    this.#reported.set(digest.instanceId, reports.set(from, { digest, receivedAt: now }));
    return undefined;
  }

  /** Merges all recent observations of an instance; undefined if there are none. */
  viewOf(instanceId: string, now: Milliseconds): FleetView | undefined {
    const sources = this.#sourcesOf(instanceId, now);
    return sources.length === 0 ? undefined : merge(sources, ({ freshness }) => freshness);
  }

  /** Recent observations of this node, by instance. */
  ownDigests(now: Milliseconds): readonly InstanceDigest[] {
    return [...this.#own.keys()].flatMap((id) => this.#ownDigestOf(id, now) ?? []);
  }

  /** Recent observations of this node and of the nodes that report to it, merged by instance. */
  mergedDigests(now: Milliseconds): readonly InstanceDigest[] {
    if (this.#mergedCache === undefined || now - this.#mergedCache.mergedAt >= MERGE_CACHE_MS) {
      this.#mergedCache = { digests: this.#mergeAll(now), mergedAt: now };
    }
    const { digests, mergedAt } = this.#mergedCache;
    return digests.map((digest) => ({ ...digest, ageMs: digest.ageMs + now - mergedAt }));
  }

  #mergeAll(now: Milliseconds): readonly InstanceDigest[] {
    const ids = new Set([...this.#own.keys(), ...this.#reported.keys()]);
    return [...ids].flatMap((instanceId) => {
      const sources = this.#sourcesOf(instanceId, now);
      const service = sources[0]?.digest.service;
      if (service === undefined) return [];
      // Counts are not reduced by age here: the node that receives them does it.
      return [{ service, instanceId, ...merge(sources, () => 1), ageMs: meanAge(sources) }];
    });
  }

  /** Removes instances that are no longer known, and reports that are too old. */
  removeStale(isKnown: (instanceId: string) => boolean, now: Milliseconds): void {
    for (const id of this.#own.keys()) if (!isKnown(id)) this.#own.delete(id);
    for (const [id, reports] of this.#reported) {
      for (const [from, { digest, receivedAt }] of reports) {
        if (digest.ageMs + now - receivedAt >= MAX_AGE_MS) reports.delete(from);
      }
      if (reports.size === 0 || !isKnown(id)) this.#reported.delete(id);
    }
  }

  #ownDigestOf(instanceId: string, now: Milliseconds): InstanceDigest | undefined {
    const own = this.#own.get(instanceId);
    const digest = own?.observations.digest(now);
    return own && digest && { service: own.service, instanceId, ...digest };
  }

  #sourcesOf(instanceId: string, now: Milliseconds): readonly Source[] {
    const own = this.#ownDigestOf(instanceId, now);
    const sources: Source[] = [];
    if (own !== undefined) sources.push(sourceOf(own, own.ageMs, countObservations(own)));
    const reports = [...(this.#reported.get(instanceId)?.values() ?? [])].slice(-MAX_REPORTERS);
    for (const { digest, receivedAt } of reports) {
      const ageMs = digest.ageMs + Math.max(0, now - receivedAt);
      if (ageMs >= MAX_AGE_MS) continue;
      const maxCounted = MAX_COUNTED_PER_OBSERVER * digest.observers;
      sources.push(sourceOf(digest, ageMs, Math.min(maxCounted, countObservations(digest))));
    }
    return limitWeights(sources);
  }
}

function sourceOf(digest: InstanceDigest, ageMs: Milliseconds, observationCount: number): Source {
  return { digest, ageMs, freshness: 0.5 ** (ageMs / HALF_LIFE_MS), observationCount };
}

function weightOf({ observationCount, freshness }: Source): number {
  return observationCount * freshness;
}

/** Limits each source's weight to a multiple of the median weight, where there are at least three sources. */
function limitWeights(sources: readonly Source[]): readonly Source[] {
  if (sources.length < 3) return sources;
  const weights = sources.map(weightOf).sort((left, right) => left - right);
  const maxWeight = MAX_WEIGHT_TO_MEDIAN_RATIO * (weights[Math.floor(weights.length / 2)] ?? 0);
  return sources.map((source) =>
    weightOf(source) <= maxWeight
      ? source
      : { ...source, observationCount: maxWeight / source.freshness },
  );
}

/**
 * Merges by medians, also of the refused and failed fractions, so that no minority of the observers moves them far.
 * @param scaleOf factor by which the counts of a source are multiplied
 */
function merge(sources: readonly Source[], scaleOf: (source: Source) => number): FleetView {
  const observed = sources.reduce(
    (total, source) => total + source.observationCount * scaleOf(source),
    0,
  );
  const median = (measure: (digest: InstanceDigest) => number, used = sources): number =>
    weightedMedian(
      used.map((source) => ({ value: measure(source.digest), weight: weightOf(source) })),
    );
  const refusedFraction = median((digest) => digest.refused / countObservations(digest));
  const failedFraction = median((digest) => digest.failed / countObservations(digest));
  const timed = sources.filter(({ digest }) => digest.answerMs > 0);
  return {
    observers: sources.reduce((total, { digest }) => total + digest.observers, 0),
    answered: observed * Math.max(0, 1 - refusedFraction - failedFraction),
    refused: observed * refusedFraction,
    failed: observed * failedFraction,
    answerMs: median(({ answerMs }) => answerMs, timed),
    waitMs: median(({ waitMs }) => waitMs),
  };
}

function meanAge(sources: readonly Source[]): Milliseconds {
  const total = sources.reduce((sum, source) => sum + weightOf(source), 0);
  if (total === 0) return MAX_AGE_MS;
  return sources.reduce((sum, source) => sum + source.ageMs * weightOf(source), 0) / total;
}

function isPlausible(digest: InstanceDigest): boolean {
  const { ageMs, observers, answered, refused, failed, answerMs, waitMs } = digest;
  const hasValidObservers = observers >= 1 && observers <= MAX_OBSERVERS;
  const hasValidCounts = [answered, refused, failed].every((count) => count >= 0);
  const observed = countObservations(digest);
  const hasPlausibleCount = observed > 0 && observed <= MAX_OBSERVATIONS_PER_OBSERVER * observers;
  const hasValidTimes = [answerMs, waitMs].every((time) => time >= 0 && time <= MAX_DURATION_MS);
  return hasValidObservers && ageMs >= 0 && hasValidCounts && hasPlausibleCount && hasValidTimes;
}
