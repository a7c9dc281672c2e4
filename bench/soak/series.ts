/** Data of the plots of a round: results of the clients, and statements run by the instances. No I/O. */
import type { RunRecord } from '../../standins/direct/run-log.js';
import { type ClientStatement, isDone } from '../../test/support/direct-history.js';
import { groupBy } from '../history/group-by.js';
import { quantile } from '../report/quantile.js';
import type { FaultBand, LatencyPoint, LevelPoint, ServicePoint } from '../report/series.js';
import type { PlannedFault } from './schedule.js';

const MS_PER_SECOND = 1000;
const INTERVAL_MS = 500;
const PERCENTILES = { p50: 0.5, p99: 0.99 } as const;

/** The fields of a statement that the plots use. */
export type PlottedStatement = Pick<
  ClientStatement,
  'id' | 'kind' | 'routeType' | 'sentAt' | 'answeredAt' | 'error'
>;

/** Data of the plots of one round. */
export interface RoundPlots {
  readonly seconds: number;
  readonly faults: readonly FaultBand[];
  readonly service: readonly ServicePoint[];
  readonly latency: readonly LatencyPoint[];
  readonly load: readonly LevelPoint[];
  /** Runs at instances per statement sent. */
  readonly amplification: number;
}

/** Record of a round; times are of the machine's monotonic clock. */
export interface RoundHistory {
  readonly faults: readonly PlannedFault[];
  readonly faultsFrom: number;
  readonly endedAt: number;
  readonly statements: readonly PlottedStatement[];
  readonly runs: readonly Pick<RunRecord, 'startedAt'>[];
}

/** Data of the plots of a round, starting at its first statement. */
export function createPlots(history: RoundHistory): RoundPlots {
  const { faults, faultsFrom, endedAt, statements, runs } = history;
  const startedAt = statements[0]?.sentAt ?? faultsFrom;
  return {
    seconds: Math.ceil((endedAt - startedAt) / MS_PER_SECOND),
    faults: faultBands(faults, faultsFrom, startedAt),
    service: servicePoints(statements, startedAt),
    latency: latencyPoints(statements, startedAt),
    load: loadPoints(statements, runs, startedAt),
    amplification: amplification(statements, runs),
  };
}

/** Fraction of the statements sent in each interval that were answered without an error. */
export function servicePoints(
  statements: readonly PlottedStatement[],
  startedAt: number,
): readonly ServicePoint[] {
  return pointsByRouteAndInterval(statements, startedAt, (second, kind, members) => {
    const done = members.filter(isDone).length;
    return [{ second, kind, served: done / members.length }];
  });
}

/** Latency of successful statements. */
export function latencyPoints(
  statements: readonly PlottedStatement[],
  startedAt: number,
): readonly LatencyPoint[] {
  return pointsByRouteAndInterval(statements.filter(isDone), startedAt, (second, kind, members) => {
    const sorted = members.map(latencyOf).sort((left, right) => left - right);
    return Object.entries(PERCENTILES).map(([name, fraction]) => {
      const percentile = name as keyof typeof PERCENTILES;
      return { second, kind, percentile, latencyMs: quantile(sorted, fraction) };
    });
  });
}

/** Rates of reads, writes and commits: sent by clients, and run by instances. */
export function loadPoints(
  statements: readonly PlottedStatement[],
  runs: readonly Pick<RunRecord, 'startedAt'>[],
  startedAt: number,
): readonly LevelPoint[] {
  const asked = statements.filter(({ kind }) => kind !== 'other').map(({ sentAt }) => sentAt);
  const ran = runs.map((run) => run.startedAt);
  return [...ratePoints('sent by clients', asked, startedAt), ...ratePoints('run', ran, startedAt)];
}

/** Runs at instances per statement sent; above 1 if statements were retried. */
export function amplification(
  statements: readonly PlottedStatement[],
  runs: readonly unknown[],
): number {
  const asked = statements.filter(({ kind }) => kind !== 'other').length;
  return asked === 0 ? 0 : runs.length / asked;
}

/** A band for each fault on the time axis of the round. */
export function faultBands(
  faults: readonly PlannedFault[],
  faultsFrom: number,
  startedAt: number,
): readonly FaultBand[] {
  return faults.map(({ atMs, forMs, fault }) => {
    const from = (faultsFrom - startedAt + atMs) / MS_PER_SECOND;
    return { name: fault.kind, from, to: from + forMs / MS_PER_SECOND };
  });
}

function ratePoints(measure: string, times: readonly number[], startedAt: number): LevelPoint[] {
  const intervals = groupBy(times, (at) => intervalStartOf(at, startedAt));
  return [...intervals].map(([second, members]) => ({
    ...{ second, measure, value: members.length * (MS_PER_SECOND / INTERVAL_MS) },
  }));
}

function pointsByRouteAndInterval<Point>(
  statements: readonly PlottedStatement[],
  startedAt: number,
  pointsOf: (second: number, kind: string, members: readonly PlottedStatement[]) => Point[],
): Point[] {
  const routes = groupBy(statements, ({ routeType }) => routeType);
  return [...routes].flatMap(([kind, ofRoute]) => {
    const intervals = groupBy(ofRoute, ({ sentAt }) => intervalStartOf(sentAt, startedAt));
    return [...intervals].flatMap(([second, members]) => pointsOf(second, kind, members));
  });
}

function intervalStartOf(at: number, startedAt: number): number {
  return (Math.floor((at - startedAt) / INTERVAL_MS) * INTERVAL_MS) / MS_PER_SECOND;
}

function latencyOf({ sentAt, answeredAt }: PlottedStatement): number {
  return (answeredAt ?? sentAt) - sentAt;
}
