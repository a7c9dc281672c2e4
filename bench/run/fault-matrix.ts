/** The matrix of faults: each alone and each pair, one short run for each, and a table of the results. */
import { MeadowstackError } from '../../src/core/errors.js';
import type { Violation, ViolationCounts } from '../checkers/index.js';
import type { Fault } from '../faults/fault.js';
import { allPairs, MATRIX_FAULTS } from '../faults/registry.js';
import type { OutcomeCounts } from '../load/figures.js';
import type { BenchOptions, BenchRun } from './run-bench.js';

/** One run of the matrix. */
export interface MatrixCell {
  /** One name, or two. */
  readonly faults: readonly string[];
  readonly seed: number;
  /** Undefined if the run could not be carried out. */
  readonly violations: ViolationCounts | undefined;
  readonly outcomes: OutcomeCounts | undefined;
  /** To begin looking from. */
  readonly firstViolations: readonly Violation[];
  readonly failoverGapMs: readonly number[];
  /** Faults that found nothing to hit, such as a second proxy to kill. */
  readonly withoutTarget: readonly string[];
  /** Why the run could not be carried out. */
  readonly error: string | undefined;
}

export type RunOne = (options: BenchOptions) => Promise<BenchRun>;

/** Combinations in the order in which they run: first each fault alone. */
export function combinations(): readonly (readonly Fault[])[] {
  return [...MATRIX_FAULTS.map((fault) => [fault]), ...allPairs()];
}

/** Runs all combinations one after the other; each has a seed of its own. */
export async function runMatrix(
  options: BenchOptions,
  runOne: RunOne,
  onCell: (cells: readonly MatrixCell[]) => Promise<void>,
): Promise<readonly MatrixCell[]> {
  const cells: MatrixCell[] = [];
  for (const [index, faults] of combinations().entries()) {
    cells.push(await runCell({ ...options, faults, seed: options.seed + index }, runOne));
    await onCell(cells);
  }
  return cells;
}

/** Number of violations; undefined if the run could not be carried out. */
export function violationsIn({ violations }: MatrixCell): number | undefined {
  if (violations === undefined) return undefined;
  return Object.values(violations).reduce((sum, count) => sum + count, 0);
}

/** A table of violations: on the diagonal a fault alone, elsewhere a pair. */
export function matrixTable(cells: readonly MatrixCell[]): string {
  const names = MATRIX_FAULTS.map(({ name }) => name);
  const header = `| | ${names.map((_, index) => index + 1).join(' | ')} |`;
  const rule = `|---|${names.map(() => '---|').join('')}`;
  const rows = names.map((row, index) => {
    const entries = names.map((column) => entryOf(cells, row, column));
    return `| ${index + 1} ${row} | ${entries.join(' | ')} |`;
  });
  return [header, rule, ...rows, '', ...problemLines(cells), ''].join('\n');
}

async function runCell(options: BenchOptions, runOne: RunOne): Promise<MatrixCell> {
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

function entryOf(cells: readonly MatrixCell[], row: string, column: string): string {
  const wanted = new Set([row, column]);
  const cell = cells.find(
    ({ faults }) => faults.length === wanted.size && faults.every((name) => wanted.has(name)),
  );
  if (cell === undefined) return '';
  return String(violationsIn(cell) ?? 'failed');
}

/** What to run again to see each problem. */
function problemLines(cells: readonly MatrixCell[]): string[] {
  return cells.flatMap((cell) => {
    const name = `\`--seed ${cell.seed} --fault ${cell.faults.join(',')}\``;
    if (cell.error !== undefined) return [`- ${name}: the run failed: ${cell.error}`];
    const broken = Object.entries(cell.violations ?? {}).filter(([, count]) => count > 0);
    const counts = broken.map(([promise, count]) => `${promise} ${count}`).join(', ');
    const skipped = cell.withoutTarget.map((fault) => `${fault} found nothing to hit`);
    const remarks = counts === '' ? skipped : [counts, ...skipped];
    return remarks.length === 0 ? [] : [`- ${name}: ${remarks.join('; ')}`];
  });
}
