/** Computes the figures of a run, which are written as one JSON object. */
import { build, type Histogram } from 'hdr-histogram-js';
import { countViolations, type Violation, type ViolationCounts } from '../checkers/index.js';
import type { Deployment } from '../deployments.js';
import { groupBy } from '../history/group-by.js';
import type { RequestRecord } from '../history/model.js';
import { measureFailoverGap, type PrimaryFailure } from './failover-gap.js';

export interface OutcomeCounts {
  readonly done: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly failed: number;
}

export interface LatencyFigures {
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

export interface FailoverGapFigures {
  /** Null if no primary failed. A gap that never ended lasts until the end of the run. */
  readonly p50: number | null;
  readonly max: number | null;
  readonly each: readonly number[];
  /** Number of failures after which no write succeeded. */
  readonly neverEnded: number;
}

export interface RunFigures {
  readonly deployment: string;
  readonly seed: number;
  readonly policy: string;
  /** Number of requests; each may have had several attempts. */
  readonly requests: number;
  /** Requests by the outcome of their last attempt. */
  readonly outcomes: OutcomeCounts;
  /** Fraction of all reads that a replica served; null if no result names its server. */
  readonly replicaReadShare: number | null;
  /** The same for reads that tolerate stale data. */
  readonly eligibleReplicaReadShare: number | null;
  readonly failoverGapMs: FailoverGapFigures;
  /** From the intended start to the end of the last attempt, for requests that succeeded. */
  readonly latencyMs: { readonly byKind: Readonly<Record<string, LatencyFigures>> };
  /** Fraction of requests that succeeded within their deadline. */
  readonly serviceByKind: Readonly<Record<string, number>>;
  /** Fraction of requests that succeeded within their deadline, weighted by kind. */
  readonly weightedService: number;
  /** Attempts per request. */
  readonly amplification: number;
  /** Number of unsuccessful attempts by `<outcome> <code>`. */
  readonly errors: Readonly<Record<string, number>>;
  readonly connectionsOpened: number;
  readonly violations: ViolationCounts;
  /** Reads that returned an older version than an earlier read of their session; the proxies don't guarantee otherwise. */
  readonly nonMonotonicReads: number;
}

export interface FiguresInput {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly policy: string;
  /** Attempts after the warm-up. */
  readonly requests: readonly RequestRecord[];
  readonly failures: readonly PrimaryFailure[];
  readonly violations: readonly Violation[];
  readonly nonMonotonicReads: number;
  /** Connections that the instances accepted. */
  readonly connectionsOpened: number;
  readonly endedAt: number;
}

/** The first and the last attempt of one request. */
export interface LogicalRequest {
  readonly first: RequestRecord;
  readonly last: RequestRecord;
}

const MICROSECONDS_PER_MS = 1_000;
const MAX_LATENCY_MICROSECONDS = 600_000_000;
const FRACTION_DIGITS = 4;
const LATENCY_DIGITS = 3;

export function computeFigures(input: FiguresInput): RunFigures {
  const logical = groupAttempts(input.requests);
  const byKind = groupBy(logical, ({ first }) => first.kind);
  const reads = input.requests.filter(({ access }) => access === 'read');
  return {
    deployment: input.deployment.name,
    seed: input.seed,
    policy: input.policy,
    requests: logical.length,
    outcomes: countOutcomes(logical),
    replicaReadShare: replicaReadFraction(reads),
    eligibleReplicaReadShare: replicaReadFraction(reads.filter((read) => read.toleratesStaleness)),
    failoverGapMs: computeFailoverGapFigures(input),
    latencyMs: { byKind: mapValues(byKind, computeLatencyFigures) },
    serviceByKind: mapValues(byKind, (requests) => servedFraction(requests, input.deployment)),
    weightedService: weightedService(byKind, input.deployment),
    amplification: ratio(input.requests.length, logical.length),
    errors: countErrors(input.requests),
    connectionsOpened: input.connectionsOpened,
    violations: countViolations(input.violations),
    nonMonotonicReads: input.nonMonotonicReads,
  };
}

/** Groups attempts into requests. */
export function groupAttempts(requests: readonly RequestRecord[]): LogicalRequest[] {
  const attempts = [...groupBy(requests, (request) => request.logicalId).values()];
  return attempts.flatMap((group) => {
    const ordered = [...group].sort((left, right) => left.sentAt - right.sentAt);
    const [first] = ordered;
    const last = ordered.at(-1);
    return first === undefined || last === undefined ? [] : [{ first, last }];
  });
}

function countOutcomes(requests: readonly LogicalRequest[]): OutcomeCounts {
  const countOf = (outcome: RequestRecord['outcome']): number =>
    requests.filter(({ last }) => last.outcome === outcome).length;
  return {
    done: countOf('done'),
    notRun: countOf('not-run'),
    unknown: countOf('unknown'),
    failed: countOf('failed'),
  };
}

function countErrors(requests: readonly RequestRecord[]): Readonly<Record<string, number>> {
  const failed = requests.filter(({ outcome }) => outcome !== 'done');
  const byCode = groupBy(failed, ({ outcome, errorCode }) => `${outcome} ${errorCode}`);
  return mapValues(byCode, (attempts) => attempts.length);
}

/** Fraction among the reads whose result names its server. */
function replicaReadFraction(reads: readonly RequestRecord[]): number | null {
  const readsWithServer = reads.filter(({ servedBy }) => servedBy !== undefined);
  if (readsWithServer.length === 0) return null;
  return ratio(
    readsWithServer.filter(({ servedBy }) => servedBy === 'replica').length,
    readsWithServer.length,
  );
}

function computeFailoverGapFigures({
  requests,
  failures,
  endedAt,
}: FiguresInput): FailoverGapFigures {
  const gaps = failures.map((failure) => measureFailoverGap(requests, failure, endedAt));
  const each = gaps.map(({ gapMs }) => round(gapMs, LATENCY_DIGITS));
  const sorted = [...each].sort((left, right) => left - right);
  return {
    p50: sorted[Math.floor((sorted.length - 1) / 2)] ?? null,
    max: sorted.at(-1) ?? null,
    each,
    neverEnded: gaps.filter(({ ended }) => !ended).length,
  };
}

function computeLatencyFigures(requests: readonly LogicalRequest[]): LatencyFigures {
  const histogram = build({ highestTrackableValue: MAX_LATENCY_MICROSECONDS });
  for (const { first, last } of requests) {
    if (last.outcome !== 'done') continue;
    const microseconds = Math.round((last.endedAt - first.intendedAt) * MICROSECONDS_PER_MS);
    histogram.recordValue(Math.min(Math.max(microseconds, 0), MAX_LATENCY_MICROSECONDS));
  }
  const at = (percentile: number): number => percentileMs(histogram, percentile);
  return { p50: at(50), p99: at(99), p999: at(99.9), max: at(100) };
}

function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}

function servedFraction(requests: readonly LogicalRequest[], deployment: Deployment): number {
  const served = requests.filter((request) => isServed(request, deployment));
  return ratio(served.length, requests.length);
}

/** True if the request succeeded within the deadline of its kind, counted from the intended start. */
export function isServed({ first, last }: LogicalRequest, deployment: Deployment): boolean {
  const kind = deployment.kinds.find((candidate) => candidate.kind === first.kind);
  const deadlineMs = kind?.deadlineMs ?? Number.POSITIVE_INFINITY;
  return last.outcome === 'done' && last.endedAt - first.intendedAt <= deadlineMs;
}

function weightedService(
  byKind: ReadonlyMap<string, readonly LogicalRequest[]>,
  deployment: Deployment,
): number {
  let served = 0;
  let total = 0;
  for (const { kind, weight } of deployment.kinds) {
    const requests = byKind.get(kind) ?? [];
    served += weight * requests.filter((request) => isServed(request, deployment)).length;
    total += weight * requests.length;
  }
  return ratio(served, total);
}

function mapValues<Input, Output>(
  map: ReadonlyMap<string, Input>,
  transform: (value: Input) => Output,
): Readonly<Record<string, Output>> {
  return Object.fromEntries([...map].map(([key, value]) => [key, transform(value)] as const));
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : round(part / whole, FRACTION_DIGITS);
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
