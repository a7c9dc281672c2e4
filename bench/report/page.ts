/** One self-contained page of a run: figures, plots rendered to SVG, faults, promises. */
import { PROMISES } from '../checkers/index.js';
import { DEPLOYMENTS } from '../deployments.js';
import { groupAttempts } from '../load/figures.js';
import type { BenchReport, BenchRun } from '../run/run-bench.js';
import {
  type Chart,
  latencyChart,
  levelChart,
  outcomeChart,
  percentileChart,
  replicaShareChart,
  serviceChart,
} from './charts.js';
import { page, plot, table, tile, tiles } from './html.js';
import {
  connectionPoints,
  type FaultBand,
  faultBands,
  latencyPoints,
  outcomePoints,
  percentilePoints,
  queuePoints,
  replicaSharePoints,
  servicePoints,
} from './series.js';

const MS_PER_SECOND = 1_000;
const PERCENT = 100;

export async function renderPage(run: BenchRun): Promise<string> {
  const { report, measured } = run;
  const faults = faultBands(report.faults, measured.startedAt);
  const plots = await Promise.all(chartsOf(run, faults).map(plot));
  const parts = [figures(report), faultTable(report, faults), ...plots];
  return page(`bench: ${titleOf(report)}`, settingsLine(report), [
    ...parts,
    latencyTable(report),
    promiseTable(report),
  ]);
}

function chartsOf({ report, measured, samples }: BenchRun, faults: readonly FaultBand[]): Chart[] {
  const { startedAt } = measured;
  const deployment = DEPLOYMENTS[report.deployment === 'trust' ? 'trust' : 'bureau'];
  const requests = groupAttempts(measured.requests);
  const during = samples.filter(({ at }) => at >= startedAt && at <= measured.endedAt);
  const seconds = Math.ceil((measured.endedAt - startedAt) / MS_PER_SECOND);
  return [
    outcomeChart(outcomePoints(requests, startedAt, deployment), faults, seconds),
    serviceChart(servicePoints(requests, startedAt, deployment), faults, seconds),
    latencyChart(latencyPoints(requests, startedAt), faults, seconds),
    replicaShareChart(replicaSharePoints(requests, startedAt), faults, seconds),
    levelChart(
      'Queues',
      'Requests that wait in the proxies, and statements that wait for a slot of an instance.',
      queuePoints(during, startedAt),
      faults,
      seconds,
    ),
    levelChart(
      'Connections',
      'Connections that the instances hold open, probes among them.',
      connectionPoints(during, startedAt),
      faults,
      seconds,
    ),
    percentileChart(percentilePoints(requests)),
  ];
}

function titleOf({ deployment, policy, seed, faults }: BenchReport): string {
  const names = faults.map(({ name }) => name).join(', ');
  return `${deployment}, ${policy}, seed ${seed}${names === '' ? '' : `: ${names}`}`;
}

function settingsLine({ settings, machine }: BenchReport): string {
  const seconds = settings.durationMs / MS_PER_SECOND;
  const load = `${settings.requestsPerSecond} requests a second of ${settings.sessions} sessions`;
  const cluster = `${settings.proxies} proxies, statements of ${settings.statementMs} ms`;
  const loads = `load ${machine.loadBefore.toFixed(1)} before, ${machine.loadAfter.toFixed(1)} after`;
  return `${seconds} s at ${load}, ${cluster}; ${machine.cores} cores of ${machine.cpu}, ${loads}`;
}

function figures(report: BenchReport): string {
  const { outcomes, failoverGapMs } = report;
  const violations = totalViolations(report);
  const gap = failoverGapMs.max === null ? 'none' : `${Math.round(failoverGapMs.max)} ms`;
  const told = [
    tile('requests', String(report.requests)),
    tile('weighted service', percent(report.weightedService)),
    tile('reads on replicas', percent(report.replicaReadShare)),
    tile('longest failover gap', gap),
    tile(
      'not run / unknown / failed',
      `${outcomes.notRun} / ${outcomes.unknown} / ${outcomes.failed}`,
    ),
    tile('violations', String(violations), violations > 0),
  ];
  return tiles(told);
}

function faultTable({ faults }: BenchReport, bands: readonly FaultBand[]): string {
  if (faults.length === 0) return '';
  const rows = faults.map(({ name, target }) => {
    const band = bands.find((candidate) => candidate.name === name);
    const times = band === undefined ? '' : `${band.from.toFixed(1)} to ${band.to.toFixed(1)} s`;
    return [name, target ?? 'nothing to hit', times];
  });
  return table(['fault', 'hit', 'when'], rows);
}

function latencyTable({ latencyMs, serviceByKind }: BenchReport): string {
  const rows = Object.entries(latencyMs.byKind).map(([kind, { p50, p99, p999, max }]) => [
    kind,
    ...[p50, p99, p999, max].map((value) => value.toFixed(1)),
    percent(serviceByKind[kind] ?? null),
  ]);
  return table(['kind', 'p50 ms', 'p99 ms', 'p99.9 ms', 'max ms', 'served'], rows);
}

function promiseTable(report: BenchReport): string {
  const rows = PROMISES.map((promise) => {
    const observed = report.unobserved.includes(promise) ? 'had no occasion in this run' : '';
    return [promise, String(report.violations[promise]), observed];
  });
  const first = report.firstViolations.map(({ reason, detail }) => [reason, detail]);
  const details = first.length === 0 ? '' : table(['first violations', ''], first);
  return `<h2>Promises</h2>${table(['promise', 'violations', ''], rows)}${details}`;
}

function totalViolations({ violations }: BenchReport): number {
  return Object.values(violations).reduce((sum, count) => sum + count, 0);
}

function percent(share: number | null): string {
  return share === null ? 'not told' : `${(share * PERCENT).toFixed(1)} %`;
}
