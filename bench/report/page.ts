/** Renders the report of a run as one self-contained page: figures, plots, faults and promises. */
import { PROMISES } from '../checkers/index.js';
import { DEPLOYMENTS } from '../deployments.js';
import { groupAttempts } from '../load/figures.js';
import type { BenchReport, BenchRun } from '../run/run-bench.js';
import {
  type Chart,
  createLatencyChart,
  createLevelChart,
  createOutcomeChart,
  createPercentileChart,
  createReplicaShareChart,
  createServiceChart,
} from './charts.js';
import { renderHtmlPage, renderPlot, renderTable, renderTile, renderTiles } from './html.js';
import {
  computeConnectionPoints,
  computeFaultBands,
  computeLatencyPoints,
  computeOutcomePoints,
  computePercentilePoints,
  computeQueuePoints,
  computeReplicaSharePoints,
  computeServicePoints,
  type FaultBand,
} from './series.js';

const MS_PER_SECOND = 1_000;
const PERCENT = 100;

export async function renderPage(run: BenchRun): Promise<string> {
  const { report, measured } = run;
  const faults = computeFaultBands(report.faults, measured.startedAt);
  const plots = await Promise.all(createCharts(run, faults).map(renderPlot));
  const parts = [renderFigures(report), renderFaultTable(report, faults), ...plots];
  return renderHtmlPage(`bench: ${formatTitle(report)}`, formatSettings(report), [
    ...parts,
    renderLatencyTable(report),
    renderPromiseTable(report),
  ]);
}

function createCharts(
  { report, measured, samples }: BenchRun,
  faults: readonly FaultBand[],
): Chart[] {
  const { startedAt } = measured;
  const deployment = DEPLOYMENTS[report.deployment === 'trust' ? 'trust' : 'bureau'];
  const requests = groupAttempts(measured.requests);
  const samplesInRun = samples.filter(({ at }) => at >= startedAt && at <= measured.endedAt);
  const seconds = Math.ceil((measured.endedAt - startedAt) / MS_PER_SECOND);
  return [
    createOutcomeChart(computeOutcomePoints(requests, startedAt, deployment), faults, seconds),
    createServiceChart(computeServicePoints(requests, startedAt, deployment), faults, seconds),
    createLatencyChart(computeLatencyPoints(requests, startedAt), faults, seconds),
    createReplicaShareChart(computeReplicaSharePoints(requests, startedAt), faults, seconds),
    createLevelChart(
      'Queues',
      'Requests queued in the proxies, and statements that wait for a free slot of an instance.',
      computeQueuePoints(samplesInRun, startedAt),
      faults,
      seconds,
    ),
    createLevelChart(
      'Connections',
      'Connections open on the instances, including those of probes.',
      computeConnectionPoints(samplesInRun, startedAt),
      faults,
      seconds,
    ),
    createPercentileChart(computePercentilePoints(requests)),
  ];
}

function formatTitle({ deployment, policy, seed, faults }: BenchReport): string {
  const names = faults.map(({ name }) => name).join(', ');
  return `${deployment}, ${policy}, seed ${seed}${names === '' ? '' : `: ${names}`}`;
}

function formatSettings({ settings, machine }: BenchReport): string {
  const seconds = settings.durationMs / MS_PER_SECOND;
  const load = `${settings.requestsPerSecond} requests per second of ${settings.sessions} sessions`;
  const cluster = `${settings.proxies} proxies, statements of ${settings.statementMs} ms`;
  const loads = `load ${machine.loadBefore.toFixed(1)} before, ${machine.loadAfter.toFixed(1)} after`;
  return `${seconds} s at ${load}, ${cluster}; ${machine.cores} cores of ${machine.cpu}, ${loads}`;
}

function renderFigures(report: BenchReport): string {
  const { outcomes, failoverGapMs } = report;
  const violations = countViolations(report);
  const gap = failoverGapMs.max === null ? 'none' : `${Math.round(failoverGapMs.max)} ms`;
  const figureTiles = [
    renderTile('requests', String(report.requests)),
    renderTile('weighted service', formatPercent(report.weightedService)),
    renderTile('reads on replicas', formatPercent(report.replicaReadShare)),
    renderTile('longest failover gap', gap),
    renderTile(
      'not run / unknown / failed',
      `${outcomes.notRun} / ${outcomes.unknown} / ${outcomes.failed}`,
    ),
    renderTile('violations', String(violations), violations > 0),
  ];
  return renderTiles(figureTiles);
}

function renderFaultTable({ faults }: BenchReport, bands: readonly FaultBand[]): string {
  if (faults.length === 0) return '';
  const rows = faults.map(({ name, target }) => {
    const band = bands.find((candidate) => candidate.name === name);
    const times = band === undefined ? '' : `${band.from.toFixed(1)} to ${band.to.toFixed(1)} s`;
    return [name, target ?? 'no target', times];
  });
  return renderTable(['fault', 'hit', 'when'], rows);
}

function renderLatencyTable({ latencyMs, serviceByKind }: BenchReport): string {
  const rows = Object.entries(latencyMs.byKind).map(([kind, { p50, p99, p999, max }]) => [
    kind,
    ...[p50, p99, p999, max].map((value) => value.toFixed(1)),
    formatPercent(serviceByKind[kind] ?? null),
  ]);
  return renderTable(['kind', 'p50 ms', 'p99 ms', 'p99.9 ms', 'max ms', 'served'], rows);
}

function renderPromiseTable(report: BenchReport): string {
  const rows = PROMISES.map((promise) => {
    const observed = report.unobserved.includes(promise) ? 'not tested in this run' : '';
    return [promise, String(report.violations[promise]), observed];
  });
  const first = report.firstViolations.map(({ reason, detail }) => [reason, detail]);
  const details = first.length === 0 ? '' : renderTable(['first violations', ''], first);
  return `<h2>Promises</h2>${renderTable(['promise', 'violations', ''], rows)}${details}`;
}

function countViolations({ violations }: BenchReport): number {
  return Object.values(violations).reduce((sum, count) => sum + count, 0);
}

function formatPercent(fraction: number | null): string {
  return fraction === null ? 'unknown' : `${(fraction * PERCENT).toFixed(1)} %`;
}
