/** One self-contained page of a run: figures, plots rendered to SVG, faults, promises. */
import { PROMISES } from '../checkers/index.js';
import { DEPLOYMENTS } from '../deployments.js';
import { logicalRequests } from '../load/figures.js';
import type { BenchReport, BenchRun } from '../run/run-bench.js';
import {
  type Chart,
  latencyChart,
  levelChart,
  outcomeChart,
  percentileChart,
  renderSvg,
  replicaShareChart,
  serviceChart,
} from './charts.js';
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

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; color: #24303f; max-width: 980px; margin: 2rem auto; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: 0; } h2 { font-size: 1.05rem; margin: 2rem 0 0; }
p.caption { color: #6a7686; margin: 0 0 .5rem; font-size: .85rem; }
.tiles { display: flex; flex-wrap: wrap; gap: .75rem; margin: 1.25rem 0; }
.tile { border: 1px solid #e0e5eb; border-radius: 6px; padding: .5rem .9rem; min-width: 7.5rem; }
.tile b { display: block; font-size: 1.35rem; font-variant-numeric: tabular-nums; }
.tile span { color: #6a7686; font-size: .8rem; } .bad b, td.bad { color: #c81e1e; }
table { border-collapse: collapse; margin: .5rem 0; font-variant-numeric: tabular-nums; }
td, th { padding: .2rem .9rem .2rem 0; text-align: left; border-bottom: 1px solid #e6eaef; }
th { font-weight: 500; color: #6a7686; } svg { max-width: 100%; height: auto; }
`;

export async function renderPage(run: BenchRun): Promise<string> {
  const { report, measured } = run;
  const faults = faultBands(report.faults, measured.startedAt);
  const plots = await Promise.all(chartsOf(run, faults).map(renderChart));
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>meadowstack bench: ${escapeHtml(titleOf(report))}</title><style>${STYLE}</style></head><body>`,
    `<h1>${escapeHtml(titleOf(report))}</h1>`,
    `<p class="caption">${escapeHtml(settingsLine(report))}</p>`,
    tiles(report),
    faultTable(report, faults),
    ...plots,
    latencyTable(report),
    promiseTable(report),
    '</body></html>\n',
  ].join('\n');
}

function chartsOf({ report, measured, samples }: BenchRun, faults: readonly FaultBand[]): Chart[] {
  const { startedAt } = measured;
  const deployment = DEPLOYMENTS[report.deployment === 'trust' ? 'trust' : 'bureau'];
  const requests = logicalRequests(measured.requests);
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

async function renderChart({ title, caption, spec }: Chart): Promise<string> {
  const svg = await renderSvg(spec);
  return `<h2>${escapeHtml(title)}</h2><p class="caption">${escapeHtml(caption)}</p>${svg}`;
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

function tiles(report: BenchReport): string {
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
  return `<div class="tiles">${told.join('')}</div>`;
}

function tile(label: string, value: string, bad = false): string {
  const classes = bad ? 'tile bad' : 'tile';
  return `<div class="${classes}"><b>${escapeHtml(value)}</b><span>${escapeHtml(label)}</span></div>`;
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

function table(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const cells = (tag: string, texts: readonly string[]): string =>
    `<tr>${texts.map((text) => `<${tag}>${escapeHtml(text)}</${tag}>`).join('')}</tr>`;
  return `<table>${cells('th', head)}${rows.map((row) => cells('td', row)).join('')}</table>`;
}

function percent(share: number | null): string {
  return share === null ? 'not told' : `${(share * PERCENT).toFixed(1)} %`;
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
