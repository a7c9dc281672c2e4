/** Computes the data of the plots: figures for each time interval of the measured part. Pure. */
import type { Deployment } from '../deployments.js';
import type { FaultRecord } from '../faults/injector.js';
import { groupBy } from '../history/group-by.js';
import { isServed, type LogicalRequest } from '../load/figures.js';
import type { ClusterSample } from '../recorders/run-recorder.js';
import { quantile } from './quantile.js';

/** Result of a request in the plot of outcomes. */
export type Ending = 'in time' | 'late' | 'not run' | 'unknown' | 'failed';

export const ENDINGS: readonly Ending[] = ['in time', 'late', 'not run', 'unknown', 'failed'];

/** `second`: start of the interval, in seconds after the start of the measured part. */
export interface OutcomePoint {
  readonly second: number;
  readonly ending: Ending;
  readonly requestsPerSecond: number;
}

export interface ServicePoint {
  readonly second: number;
  readonly kind: string;
  /** Fraction of the requests due in the interval that succeeded within their deadline. */
  readonly served: number;
}

export interface LatencyPoint {
  readonly second: number;
  readonly kind: string;
  readonly percentile: 'p50' | 'p99';
  readonly latencyMs: number;
}

export interface PercentilePoint {
  readonly kind: string;
  /** Axis position: 1 / (1 - quantile). */
  readonly oneIn: number;
  readonly latencyMs: number;
}

export interface SharePoint {
  readonly second: number;
  readonly share: number;
}

export interface LevelPoint {
  readonly second: number;
  readonly measure: string;
  readonly value: number;
}

export interface FaultBand {
  readonly name: string;
  readonly from: number;
  readonly to: number;
}

const MS_PER_SECOND = 1_000;
const OUTCOME_INTERVAL_MS = 250;
const SERVICE_INTERVAL_MS = 500;
const QUANTILES = [0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999];

export function computeOutcomePoints(
  requests: readonly LogicalRequest[],
  startedAt: number,
  deployment: Deployment,
): OutcomePoint[] {
  const intervals = groupByInterval(requests, startedAt, OUTCOME_INTERVAL_MS);
  return [...intervals].flatMap(([second, members]) =>
    ENDINGS.map((ending) => ({
      second,
      ending,
      requestsPerSecond:
        members.filter((request) => endingOf(request, deployment) === ending).length *
        (MS_PER_SECOND / OUTCOME_INTERVAL_MS),
    })),
  );
}

export function computeServicePoints(
  requests: readonly LogicalRequest[],
  startedAt: number,
  deployment: Deployment,
): ServicePoint[] {
  return mapByKindAndInterval(requests, startedAt, (second, kind, members) => {
    const served = members.filter((request) => isServed(request, deployment)).length;
    return [{ second, kind, served: served / members.length }];
  });
}

export function computeLatencyPoints(
  requests: readonly LogicalRequest[],
  startedAt: number,
): LatencyPoint[] {
  return mapByKindAndInterval(selectDone(requests), startedAt, (second, kind, members) => {
    const sorted = sortLatencies(members);
    return [
      { second, kind, percentile: 'p50', latencyMs: quantile(sorted, 0.5) },
      { second, kind, percentile: 'p99', latencyMs: quantile(sorted, 0.99) },
    ];
  });
}

export function computePercentilePoints(requests: readonly LogicalRequest[]): PercentilePoint[] {
  const byKind = groupBy(selectDone(requests), ({ first }) => first.kind);
  return [...byKind].flatMap(([kind, members]) => {
    const sorted = sortLatencies(members);
    return QUANTILES.map((wanted) => ({
      kind,
      oneIn: 1 / (1 - wanted),
      latencyMs: quantile(sorted, wanted),
    }));
  });
}

/** Counts only reads whose result names its server. */
export function computeReplicaSharePoints(
  requests: readonly LogicalRequest[],
  startedAt: number,
): SharePoint[] {
  const requestsWithServer = requests.filter(({ last }) => last.servedBy !== undefined);
  return [...groupByInterval(requestsWithServer, startedAt, SERVICE_INTERVAL_MS)].map(
    ([second, members]) => ({
      second,
      share: members.filter(({ last }) => last.servedBy === 'replica').length / members.length,
    }),
  );
}

/** `samples` are those of the measured part. */
export function computeQueuePoints(
  samples: readonly ClusterSample[],
  startedAt: number,
): LevelPoint[] {
  return samples.flatMap(({ at, queuedAtProxies, queuedAtInstances }) => [
    { second: toSecond(at, startedAt), measure: 'in proxies', value: queuedAtProxies },
    {
      second: toSecond(at, startedAt),
      measure: 'for slots of instances',
      value: queuedAtInstances,
    },
  ]);
}

export function computeConnectionPoints(
  samples: readonly ClusterSample[],
  startedAt: number,
): LevelPoint[] {
  return samples.map(({ at, connections }) => ({
    second: toSecond(at, startedAt),
    measure: 'open on all instances',
    value: connections,
  }));
}

/** Bands of the faults that had a target. */
export function computeFaultBands(faults: readonly FaultRecord[], startedAt: number): FaultBand[] {
  const faultsWithTarget = faults.filter(({ target }) => target !== undefined);
  return faultsWithTarget.map(({ name, beganAt, endedAt }) => ({
    name,
    from: toSecond(beganAt, startedAt),
    to: toSecond(endedAt, startedAt),
  }));
}

function endingOf(request: LogicalRequest, deployment: Deployment): Ending {
  const { outcome } = request.last;
  if (outcome === 'done') return isServed(request, deployment) ? 'in time' : 'late';
  return outcome === 'not-run' ? 'not run' : outcome;
}

function mapByKindAndInterval<Point>(
  requests: readonly LogicalRequest[],
  startedAt: number,
  pointsOf: (second: number, kind: string, members: readonly LogicalRequest[]) => Point[],
): Point[] {
  return [...groupBy(requests, ({ first }) => first.kind)].flatMap(([kind, members]) =>
    [...groupByInterval(members, startedAt, SERVICE_INTERVAL_MS)].flatMap(
      ([second, intervalMembers]) => pointsOf(second, kind, intervalMembers),
    ),
  );
}

/** Groups requests by the interval of their intended start, in order of time. */
function groupByInterval(
  requests: readonly LogicalRequest[],
  startedAt: number,
  lengthMs: number,
): ReadonlyMap<number, readonly LogicalRequest[]> {
  const ordered = [...requests].sort((a, b) => a.first.intendedAt - b.first.intendedAt);
  return groupBy(ordered, ({ first }) => {
    const intervalIndex = Math.floor((first.intendedAt - startedAt) / lengthMs);
    return (intervalIndex * lengthMs) / MS_PER_SECOND;
  });
}

function selectDone(requests: readonly LogicalRequest[]): LogicalRequest[] {
  return requests.filter(({ last }) => last.outcome === 'done');
}

function sortLatencies(requests: readonly LogicalRequest[]): number[] {
  const latencies = requests.map(({ first, last }) => last.endedAt - first.intendedAt);
  return latencies.sort((left, right) => left - right);
}

function toSecond(at: number, startedAt: number): number {
  return (at - startedAt) / MS_PER_SECOND;
}
