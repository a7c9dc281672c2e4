/** The command that benches a deployment: parses flags, and writes the JSON report and the HTML page. */
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

/** Resolves with the exit code: 0 if the run finished, 1 if it failed, 2 for invalid flags. */
export async function runDeploymentBench(args: readonly string[]): Promise<number> {
  if (args.includes('--help')) {
    process.stdout.write(BENCH_HELP);
    return EXIT_DONE;
  }
  let command: BenchCommand;
  try {
    command = parseBenchArguments(args);
  } catch (error) {
    return reportFailure(error, EXIT_USAGE);
  }
  try {
    await executeCommand(command);
    return EXIT_DONE;
  } catch (error) {
    return reportFailure(error, EXIT_FAILED);
  }
}

async function executeCommand(command: BenchCommand): Promise<void> {
  if (command.allPairs) await runFaultMatrix(command);
  else await writeReports(command, await runBench(command.run));
}

/** Writes the files after each run, so that they are useful during the matrix and if it is interrupted. */
async function runFaultMatrix({ run, jsonFile, markdownFile }: BenchCommand): Promise<void> {
  const cells = await runMatrix(run, runBench, async (finishedCells) => {
    const last = finishedCells.at(-1);
    if (last !== undefined) process.stderr.write(`${formatCell(last)}\n`);
    if (jsonFile !== undefined) await writeFile(jsonFile, formatJson(finishedCells));
    if (markdownFile !== undefined) await writeFile(markdownFile, formatMatrixTable(finishedCells));
  });
  if (jsonFile === undefined) process.stdout.write(formatJson(cells));
  if (markdownFile === undefined) process.stderr.write(formatMatrixTable(cells));
}

function formatCell(cell: MatrixCell): string {
  const violations = countCellViolations(cell);
  const result = violations === undefined ? `failed: ${cell.error}` : `${violations} violations`;
  return `seed ${cell.seed}  ${cell.faults.join(' + ')}: ${result}`;
}

async function writeReports({ jsonFile, htmlFile }: BenchCommand, run: BenchRun): Promise<void> {
  if (jsonFile === undefined) process.stdout.write(formatJson(run.report));
  else await writeFile(jsonFile, formatJson(run.report));
  if (htmlFile !== undefined) await writeFile(htmlFile, await renderPage(run));
}

function formatJson(value: unknown): string {
  return `${JSON.stringify(value, null, 2)}\n`;
}

function reportFailure(error: unknown, exitCode: number): number {
  if (!(error instanceof MeadowstackError)) throw error;
  process.stderr.write(`${error.message}\n`);
  return exitCode;
}
