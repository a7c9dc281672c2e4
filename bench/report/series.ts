/** The rows behind the plots: what happened in each stretch of the measured part. Pure. */
import type { Deployment } from '../deployments.js';
import type { FaultRecord } from '../faults/injector.js';
import { groupBy } from '../history/group-by.js';
import { isServed, type LogicalRequest } from '../load/figures.js';
import type { ClusterSample } from '../recorders/run-recorder.js';
import { quantile } from './quantile.js';

/** How a request went, as the plot of outcomes tells it. */
export type Ending = 'in time' | 'late' | 'not run' | 'unknown' | 'failed';

export const ENDINGS: readonly Ending[] = ['in time', 'late', 'not run', 'unknown', 'failed'];

/** `second`: seconds after the start of the measured part, the beginning of the stretch. */
export interface OutcomePoint {
  readonly second: number;
  readonly ending: Ending;
  readonly requestsPerSecond: number;
}

export interface ServicePoint {
  readonly second: number;
  readonly kind: string;
  /** Share of the requests due in the stretch that were done within their deadline. */
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
const OUTCOME_STRETCH_MS = 250;
const SERVICE_STRETCH_MS = 500;
const QUANTILES = [0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999];

export function outcomePoints(
  requests: readonly LogicalRequest[],
  startedAt: number,
  deployment: Deployment,
): OutcomePoint[] {
  const stretches = inStretches(requests, startedAt, OUTCOME_STRETCH_MS);
  return [...stretches].flatMap(([second, members]) =>
    ENDINGS.map((ending) => ({
      second,
      ending,
      requestsPerSecond:
        members.filter((request) => endingOf(request, deployment) === ending).length *
        (MS_PER_SECOND / OUTCOME_STRETCH_MS),
    })),
  );
}

export function servicePoints(
  requests: readonly LogicalRequest[],
  startedAt: number,
  deployment: Deployment,
): ServicePoint[] {
  return byKindAndStretch(requests, startedAt, (second, kind, members) => {
    const served = members.filter((request) => isServed(request, deployment)).length;
    return [{ second, kind, served: served / members.length }];
  });
}

export function latencyPoints(
  requests: readonly LogicalRequest[],
  startedAt: number,
): LatencyPoint[] {
  return byKindAndStretch(doneOf(requests), startedAt, (second, kind, members) => {
    const sorted = sortedLatencies(members);
    return [
      { second, kind, percentile: 'p50', latencyMs: quantile(sorted, 0.5) },
      { second, kind, percentile: 'p99', latencyMs: quantile(sorted, 0.99) },
    ];
  });
}

export function percentilePoints(requests: readonly LogicalRequest[]): PercentilePoint[] {
  const byKind = groupBy(doneOf(requests), ({ first }) => first.kind);
  return [...byKind].flatMap(([kind, members]) => {
    const sorted = sortedLatencies(members);
    return QUANTILES.map((wanted) => ({
      kind,
      oneIn: 1 / (1 - wanted),
      latencyMs: quantile(sorted, wanted),
    }));
  });
}

/** Of reads whose answer told where they were served. */
export function replicaSharePoints(
  requests: readonly LogicalRequest[],
  startedAt: number,
): SharePoint[] {
  const told = requests.filter(({ last }) => last.servedBy !== undefined);
  return [...inStretches(told, startedAt, SERVICE_STRETCH_MS)].map(([second, members]) => ({
    second,
    share: members.filter(({ last }) => last.servedBy === 'replica').length / members.length,
  }));
}

/** `samples` of the measured part. */
export function queuePoints(samples: readonly ClusterSample[], startedAt: number): LevelPoint[] {
  return samples.flatMap(({ at, queuedAtProxies, queuedAtInstances }) => [
    { second: secondOf(at, startedAt), measure: 'in proxies', value: queuedAtProxies },
    {
      second: secondOf(at, startedAt),
      measure: 'for slots of instances',
      value: queuedAtInstances,
    },
  ]);
}

export function connectionPoints(
  samples: readonly ClusterSample[],
  startedAt: number,
): LevelPoint[] {
  return samples.map(({ at, connections }) => ({
    second: secondOf(at, startedAt),
    measure: 'open on all instances',
    value: connections,
  }));
}

/** Faults that took place. */
export function faultBands(faults: readonly FaultRecord[], startedAt: number): FaultBand[] {
  const hit = faults.filter(({ target }) => target !== undefined);
  return hit.map(({ name, beganAt, endedAt }) => ({
    name,
    from: secondOf(beganAt, startedAt),
    to: secondOf(endedAt, startedAt),
  }));
}

function endingOf(request: LogicalRequest, deployment: Deployment): Ending {
  const { outcome } = request.last;
  if (outcome === 'done') return isServed(request, deployment) ? 'in time' : 'late';
  return outcome === 'not-run' ? 'not run' : outcome;
}

function byKindAndStretch<Point>(
  requests: readonly LogicalRequest[],
  startedAt: number,
  pointsOf: (second: number, kind: string, members: readonly LogicalRequest[]) => Point[],
): Point[] {
  return [...groupBy(requests, ({ first }) => first.kind)].flatMap(([kind, members]) =>
    [...inStretches(members, startedAt, SERVICE_STRETCH_MS)].flatMap(([second, some]) =>
      pointsOf(second, kind, some),
    ),
  );
}

/** By the intended start, in order of time. */
function inStretches(
  requests: readonly LogicalRequest[],
  startedAt: number,
  lengthMs: number,
): ReadonlyMap<number, readonly LogicalRequest[]> {
  const ordered = [...requests].sort((a, b) => a.first.intendedAt - b.first.intendedAt);
  return groupBy(ordered, ({ first }) => {
    const stretch = Math.floor((first.intendedAt - startedAt) / lengthMs);
    return (stretch * lengthMs) / MS_PER_SECOND;
  });
}

function doneOf(requests: readonly LogicalRequest[]): LogicalRequest[] {
  return requests.filter(({ last }) => last.outcome === 'done');
}

function sortedLatencies(requests: readonly LogicalRequest[]): number[] {
  const latencies = requests.map(({ first, last }) => last.endedAt - first.intendedAt);
  return latencies.sort((left, right) => left - right);
}

function secondOf(at: number, startedAt: number): number {
  return (at - startedAt) / MS_PER_SECOND;
}
