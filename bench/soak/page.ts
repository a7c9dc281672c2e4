/** A self-contained HTML page of a soak: a table of all rounds, and plots of selected rounds. */
import { createLatencyChart, createLevelChart, createServiceChart } from '../report/charts.js';
import {
  escapeHtml,
  renderHtmlPage,
  renderPlot,
  renderTable,
  renderTile,
  renderTiles,
} from '../report/html.js';
import type { RoundResult } from './round.js';

/** Maximum number of plotted rounds; rounds with findings are always plotted. */
const MAX_PLOTTED_ROUNDS = 6;
const PERCENT = 100;

/** Number of cores and load averages of the machine at the end of the soak. */
export interface SoakMachine {
  readonly cores: number;
  readonly load: readonly number[];
}

/** Renders the page. */
export async function renderSoakPage(
  rounds: readonly RoundResult[],
  { cores, load }: SoakMachine,
): Promise<string> {
  const loads = load.map((value) => value.toFixed(1)).join(', ');
  const plotted = await Promise.all(selectRoundsToPlot(rounds).map(renderRoundPlots));
  return renderHtmlPage('soak', `${cores} cores, load ${loads}`, [
    renderTotals(rounds),
    renderTable(
      ['seed', 'way', 'statements', 'failed', 'runs per statement', 'findings', 'faults'],
      rounds.map(renderRow),
    ),
    ...plotted,
  ]);
}

/** Rounds with findings, then the others; both by descending fraction of failed statements. */
export function selectRoundsToPlot(rounds: readonly RoundResult[]): readonly RoundResult[] {
  const byFailures = [...rounds].sort(
    (left, right) => failedFraction(right) - failedFraction(left),
  );
  const bad = byFailures.filter(({ findings }) => findings.length > 0);
  const good = byFailures.filter(({ findings }) => findings.length === 0);
  return [...bad, ...good].slice(0, Math.max(MAX_PLOTTED_ROUNDS, bad.length));
}

function renderTotals(rounds: readonly RoundResult[]): string {
  const statements = rounds.reduce((sum, round) => sum + round.statements, 0);
  const failed = rounds.reduce((sum, round) => sum + countFailures(round), 0);
  const findings = rounds.reduce((sum, round) => sum + round.findings.length, 0);
  return renderTiles([
    renderTile('rounds', String(rounds.length)),
    renderTile('statements', String(statements)),
    renderTile('failed', formatPercent(statements === 0 ? 0 : failed / statements)),
    renderTile('findings', String(findings), findings > 0),
  ]);
}

function renderRow(round: RoundResult): readonly string[] {
  const { schedule, statements, findings, plots } = round;
  return [
    String(schedule.seed),
    schedule.hasOwners ? 'owners' : 'direct',
    String(statements),
    formatPercent(failedFraction(round)),
    plots.amplification.toFixed(2),
    String(findings.length),
    schedule.faults.map(({ fault }) => fault.kind).join(', '),
  ];
}

async function renderRoundPlots({ schedule, plots }: RoundResult): Promise<string> {
  const { seconds, faults, service, latency, load } = plots;
  const charts = [
    createServiceChart(service, faults, seconds),
    createLatencyChart(latency, faults, seconds),
    createLevelChart(
      'Load',
      'Reads, writes and commits a second: what clients sent, and what instances ran of it.',
      load,
      faults,
      seconds,
    ),
  ];
  const drawn = await Promise.all(charts.map(renderPlot));
  return `<h1>${escapeHtml(`seed ${schedule.seed}`)}</h1>${drawn.join('')}`;
}

function countFailures({ failed }: RoundResult): number {
  return Object.values(failed).reduce((sum, count) => sum + count, 0);
}

function failedFraction(round: RoundResult): number {
  return round.statements === 0 ? 0 : countFailures(round) / round.statements;
}

function formatPercent(share: number): string {
  return `${(share * PERCENT).toFixed(1)} %`;
}
