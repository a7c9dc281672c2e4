/** The bench of a deployment, as a command: flags in, JSON and page out. */
import { writeFile } from 'node:fs/promises';
import { MeadowstackError } from '../src/core/errors.js';
import { BENCH_HELP, type BenchCommand, parseBenchArguments } from './options.js';
import { renderPage } from './report/page.js';
import {
  countCellViolations,
  formatMatrixTable,
  type MatrixCell,
  runMatrix,
} from './run/fault-matrix.js';
import { type BenchRun, runBench } from './run/run-bench.js';

const EXIT_DONE = 0;
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

/** Resolves with the exit code: 0 a finished run, 1 it could not be carried out, 2 wrong flags. */
export async function runDeploymentBench(args: readonly string[]): Promise<number> {
  if (args.includes('--help')) {
    process.stdout.write(BENCH_HELP);
    return EXIT_DONE;
  }
  let command: BenchCommand;
  try {
    command = parseBenchArguments(args);
  } catch (error) {
    return fail(error, EXIT_USAGE);
  }
  try {
    await carryOut(command);
    return EXIT_DONE;
  } catch (error) {
    return fail(error, EXIT_FAILED);
  }
}

async function carryOut(command: BenchCommand): Promise<void> {
  if (command.allPairs) await carryOutMatrix(command);
  else await writeReports(command, await runBench(command.run));
}

/** The files are written after each run, so that a matrix can be followed and broken off. */
async function carryOutMatrix({ run, jsonFile, markdownFile }: BenchCommand): Promise<void> {
  const cells = await runMatrix(run, runBench, async (soFar) => {
    const last = soFar.at(-1);
    if (last !== undefined) process.stderr.write(`${cellLine(last)}\n`);
    if (jsonFile !== undefined) await writeFile(jsonFile, jsonText(soFar));
    if (markdownFile !== undefined) await writeFile(markdownFile, formatMatrixTable(soFar));
  });
  if (jsonFile === undefined) process.stdout.write(jsonText(cells));
  if (markdownFile === undefined) process.stderr.write(formatMatrixTable(cells));
}

function cellLine(cell: MatrixCell): string {
  const violations = countCellViolations(cell);
  const result = violations === undefined ? `failed: ${cell.error}` : `${violations} violations`;
  return `seed ${cell.seed}  ${cell.faults.join(' + ')}: ${result}`;
}

async function writeReports({ jsonFile, htmlFile }: BenchCommand, run: BenchRun): Promise<void> {
  if (jsonFile === undefined) process.stdout.write(jsonText(run.report));
  else await writeFile(jsonFile, jsonText(run.report));
  if (htmlFile !== undefined) await writeFile(htmlFile, await renderPage(run));
}

function jsonText(value: unknown): string {
  return `${JSON.stringify(value, null, 2)}\n`;
}

function fail(error: unknown, exitCode: number): number {
  if (!(error instanceof MeadowstackError)) throw error;
  process.stderr.write(`${error.message}\n`);
  return exitCode;
}
