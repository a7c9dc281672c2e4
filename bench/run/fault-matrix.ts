/** The fault matrix: one run for each fault alone and for each pair of faults, and a table of the results. */
import { MeadowstackError } from '../../src/core/errors.js';
import type { Violation, ViolationCounts } from '../checkers/index.js';
import type { Fault } from '../faults/fault.js';
import { allPairs, MATRIX_FAULTS } from '../faults/registry.js';
import type { OutcomeCounts } from '../load/figures.js';
import type { BenchOptions, BenchRun } from './run-bench.js';

/** One run of the matrix. */
export interface MatrixCell {
  /** Names of one or two faults. */
  readonly faults: readonly string[];
  readonly seed: number;
  /** Undefined if the run failed. */
  readonly violations: ViolationCounts | undefined;
  readonly outcomes: OutcomeCounts | undefined;
  /** The first violations, as a starting point for diagnosis. */
  readonly firstViolations: readonly Violation[];
  readonly failoverGapMs: readonly number[];
  /** Faults that had no target, for example because there was no second proxy to kill. */
  readonly withoutTarget: readonly string[];
  /** Why the run failed; undefined if it didn't. */
  readonly error: string | undefined;
}

export type RunBench = (options: BenchOptions) => Promise<BenchRun>;

/** Fault combinations in the order in which they run: first the single faults, then the pairs. */
export function listCombinations(): readonly (readonly Fault[])[] {
  return [...MATRIX_FAULTS.map((fault) => [fault]), ...allPairs()];
}

/** Runs all combinations one after the other, each with its own seed. */
export async function runMatrix(
  options: BenchOptions,
  runBench: RunBench,
  onCell: (cells: readonly MatrixCell[]) => Promise<void>,
): Promise<readonly MatrixCell[]> {
  const cells: MatrixCell[] = [];
  for (const [index, faults] of listCombinations().entries()) {
    cells.push(await runCell({ ...options, faults, seed: options.seed + index }, runBench));
    await onCell(cells);
  }
  return cells;
}

/** Number of violations; undefined if the run failed. */
export function countCellViolations({ violations }: MatrixCell): number | undefined {
  if (violations === undefined) return undefined;
  return Object.values(violations).reduce((sum, count) => sum + count, 0);
}

/** A Markdown table of violation counts: single faults on the diagonal, pairs elsewhere. */
export function formatMatrixTable(cells: readonly MatrixCell[]): string {
  const names = MATRIX_FAULTS.map(({ name }) => name);
  const header = `| | ${names.map((_, index) => index + 1).join(' | ')} |`;
  const rule = `|---|${names.map(() => '---|').join('')}`;
  const rows = names.map((row, index) => {
    const entries = names.map((column) => formatEntry(cells, row, column));
    return `| ${index + 1} ${row} | ${entries.join(' | ')} |`;
  });
  return [header, rule, ...rows, '', ...formatProblems(cells), ''].join('\n');
}

async function runCell(options: BenchOptions, runOne: RunBench): Promise<MatrixCell> {
  const faults = options.faults.map(({ name }) => name);
  const { seed } = options;
  try {
    const { report } = await runOne(options);
    return {
      faults,
      seed,
      violations: report.violations,
      outcomes: report.outcomes,
      firstViolations: report.firstViolations,
      failoverGapMs: report.failoverGapMs.each,
      withoutTarget: report.faults
        .filter(({ target }) => target === undefined)
        .map(({ name }) => name),
      error: undefined,
    };
  } catch (error) {
    if (!(error instanceof MeadowstackError)) throw error;
    return {
      faults,
      seed,
      violations: undefined,
      outcomes: undefined,
      firstViolations: [],
      failoverGapMs: [],
      withoutTarget: [],
      error: error.message,
    };
  }
}

function formatEntry(cells: readonly MatrixCell[], row: string, column: string): string {
  const wanted = new Set([row, column]);
  const cell = cells.find(
    ({ faults }) => faults.length === wanted.size && faults.every((name) => wanted.has(name)),
  );
  if (cell === undefined) return '';
  return String(countCellViolations(cell) ?? 'failed');
}

/** One line for each run with a problem, with the flags that repeat the run. */
function formatProblems(cells: readonly MatrixCell[]): string[] {
  return cells.flatMap((cell) => {
    const name = `\`--seed ${cell.seed} --fault ${cell.faults.join(',')}\``;
    if (cell.error !== undefined) return [`- ${name}: the run failed: ${cell.error}`];
    const violated = Object.entries(cell.violations ?? {}).filter(([, count]) => count > 0);
    const counts = violated.map(([promise, count]) => `${promise} ${count}`).join(', ');
    const targetless = cell.withoutTarget.map((fault) => `${fault} had no target`);
    const remarks = counts === '' ? targetless : [counts, ...targetless];
    return remarks.length === 0 ? [] : [`- ${name}: ${remarks.join('; ')}`];
  });
}
