import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PROMISES, type ViolationCounts } from '../../../bench/checkers/index.js';
import {
  allPairs,
  FAULTS,
  findFault,
  MATRIX_FAULTS,
  UnknownFaultError,
} from '../../../bench/faults/registry.js';
import { planFaults } from '../../../bench/faults/schedule.js';
import { createRandom } from '../../../bench/load/random.js';
import { BenchUsageError, parseBenchArguments } from '../../../bench/options.js';
import { GroupNotSettledError } from '../../../bench/run/collect-logs.js';
import {
  countCellViolations,
  formatMatrixTable,
  listCombinations,
  type MatrixCell,
  runMatrix,
} from '../../../bench/run/fault-matrix.js';

const NO_VIOLATIONS = Object.fromEntries(
  PROMISES.map((promise) => [promise, 0]),
) as ViolationCounts;

test('faults have unique names, and each is found by its name', () => {
  const names = FAULTS.map(({ name }) => name);
  assert.is(new Set(names).size, names.length);
  for (const fault of FAULTS) assert.is(findFault(fault.name), fault);
  assert.throws(
    () => findFault('none'),
    (error: unknown) => error instanceof UnknownFaultError,
  );
});

test('the matrix has each fault alone and each pair once', () => {
  const count = MATRIX_FAULTS.length;
  assert.is(allPairs().length, (count * (count - 1)) / 2);
  const keys = listCombinations().map((faults) =>
    faults
      .map(({ name }) => name)
      .sort()
      .join('+'),
  );
  assert.is(new Set(keys).size, count + (count * (count - 1)) / 2);
});

test('the same seed plans the same times, all within the run', () => {
  const plan = (seed: number) => planFaults(FAULTS, 10_000, createRandom(seed));
  assert.equal(plan(1), plan(1));
  assert.not.equal(plan(1), plan(2));
  for (const { fault, beginMs, endMs } of plan(1)) {
    assert.ok(beginMs >= 1_500 && beginMs <= 4_000);
    assert.ok(endMs > beginMs && endMs <= (Number.isFinite(fault.durationMs) ? 8_000 : 10_000));
  }
});

test('flags are parsed into options, and invalid flags are refused', () => {
  const { run, allPairs: matrix } = parseBenchArguments([
    '--deployment=trust',
    '--duration=3',
    '--fault=store-down,zone-cut',
    '--policy=without-confirmation',
  ]);
  assert.is(run.deployment.name, 'trust');
  assert.is(run.durationMs, 3_000);
  assert.equal(
    run.faults.map(({ name }) => name),
    ['store-down', 'zone-cut'],
  );
  assert.not.ok(matrix);
  assert.ok(parseBenchArguments(['--fault=all-pairs']).allPairs);
  const isUsageError = (error: unknown): boolean => error instanceof BenchUsageError;
  assert.throws(() => parseBenchArguments(['--policy=best']), isUsageError);
  assert.throws(() => parseBenchArguments(['--rate=0']), isUsageError);
  assert.throws(() => parseBenchArguments(['--unheard-of']), isUsageError);
});

function cellOf(faults: readonly string[], change: Partial<MatrixCell>): MatrixCell {
  return {
    faults,
    seed: 9,
    violations: NO_VIOLATIONS,
    outcomes: undefined,
    firstViolations: [],
    failoverGapMs: [],
    withoutTarget: [],
    error: undefined,
    ...change,
  };
}

test('the table shows violations and failed runs, and how to run them again', () => {
  const pair = ['primary-killed', 'zone-cut'];
  const bad = cellOf(pair, { violations: { ...NO_VIOLATIONS, atMostOnce: 2 } });
  const failed = cellOf(['store-down'], { violations: undefined, error: 'no primary' });
  assert.is(countCellViolations(bad), 2);
  assert.is(countCellViolations(failed), undefined);
  const table = formatMatrixTable([cellOf(['primary-killed'], {}), bad, failed]);
  const rows = table.split('\n');
  assert.match(
    rows.find((line) => line.startsWith('| 1 primary-killed')) ?? '',
    /\| 0 \|.*\| 2 \|$/,
  );
  assert.match(table, /--seed 9 --fault primary-killed,zone-cut`: atMostOnce 2/);
  assert.match(table, /store-down`: the run failed: no primary/);
});

test('a run that cannot start gives a cell with its error, and the matrix continues', async () => {
  const { run } = parseBenchArguments(['--seed=10']);
  let reportedCells = 0;
  const cells = await runMatrix(
    run,
    () => Promise.reject(new GroupNotSettledError('no primary')),
    async () => {
      reportedCells += 1;
    },
  );
  assert.is(cells.length, listCombinations().length);
  assert.is(reportedCells, cells.length);
  assert.is(cells[2]?.seed, 12);
  assert.ok(cells.every(({ error }) => error === 'no primary'));
});

test.run();
