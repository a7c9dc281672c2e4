/** The bench of a deployment, as a command: flags in, JSON and page out. */
import { writeFile } from 'node:fs/promises';
import { MeadowstackError } from '../src/core/errors.js';
import { BENCH_HELP, type BenchCommand, parseBenchArguments } from './options.js';
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
  const run = await runBench(command.run);
  await writeReports(command, run);
}

async function writeReports({ jsonFile }: BenchCommand, { report }: BenchRun): Promise<void> {
  const text = `${JSON.stringify(report, null, 2)}\n`;
  if (jsonFile === undefined) process.stdout.write(text);
  else await writeFile(jsonFile, text);
}

function fail(error: unknown, exitCode: number): number {
  if (!(error instanceof MeadowstackError)) throw error;
  process.stderr.write(`${error.message}\n`);
  return exitCode;
}
