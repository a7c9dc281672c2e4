/** One self-contained page of a soak: a table of all rounds, and plots of those worth a look. */
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

/** Rounds whose plots are shown: those with findings, then those that served least. */
const MOST_PLOTTED = 6;
const PERCENT = 100;

/** Cores of the machine and its load when the soak ended. */
export interface SoakMachine {
  readonly cores: number;
  readonly load: readonly number[];
}

/** The page of these rounds. */
export async function renderSoakPage(
  rounds: readonly RoundResult[],
  { cores, load }: SoakMachine,
): Promise<string> {
  const loads = load.map((value) => value.toFixed(1)).join(', ');
  const plotted = await Promise.all(worthPlotting(rounds).map(roundPlots));
  return renderHtmlPage('soak', `${cores} cores, load ${loads}`, [
    figures(rounds),
    renderTable(
      ['seed', 'way', 'statements', 'failed', 'runs per statement', 'findings', 'faults'],
      rounds.map(rowOf),
    ),
    ...plotted,
  ]);
}

/** Those that broke something first, then by the share of statements that failed. */
export function worthPlotting(rounds: readonly RoundResult[]): readonly RoundResult[] {
  const byFailures = [...rounds].sort((left, right) => failedShare(right) - failedShare(left));
  const bad = byFailures.filter(({ findings }) => findings.length > 0);
  const good = byFailures.filter(({ findings }) => findings.length === 0);
  return [...bad, ...good].slice(0, Math.max(MOST_PLOTTED, bad.length));
}

function figures(rounds: readonly RoundResult[]): string {
  const statements = rounds.reduce((sum, round) => sum + round.statements, 0);
  const failed = rounds.reduce((sum, round) => sum + failures(round), 0);
  const findings = rounds.reduce((sum, round) => sum + round.findings.length, 0);
  return renderTiles([
    renderTile('rounds', String(rounds.length)),
    renderTile('statements', String(statements)),
    renderTile('failed', percent(statements === 0 ? 0 : failed / statements)),
    renderTile('findings', String(findings), findings > 0),
  ]);
}

function rowOf(round: RoundResult): readonly string[] {
  const { schedule, statements, findings, plots } = round;
  return [
    String(schedule.seed),
    schedule.hasOwners ? 'owners' : 'direct',
    String(statements),
    percent(failedShare(round)),
    plots.amplification.toFixed(2),
    String(findings.length),
    schedule.faults.map(({ fault }) => fault.kind).join(', '),
  ];
}

async function roundPlots({ schedule, plots }: RoundResult): Promise<string> {
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

function failures({ failed }: RoundResult): number {
  return Object.values(failed).reduce((sum, count) => sum + count, 0);
}

function failedShare(round: RoundResult): number {
  return round.statements === 0 ? 0 : failures(round) / round.statements;
}

function percent(share: number): string {
  return `${(share * PERCENT).toFixed(1)} %`;
}
