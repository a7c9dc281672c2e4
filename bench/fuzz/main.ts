/**
 * `npm run fuzz`: runs the simulations with consecutive seeds until a limit. On a violation it prints
 * the seed, a minimal set of events that causes it and a summary of the requests concerned, and exits
 * with code 1.
 */
import { FUZZ_HELP, type FuzzOptions, FuzzUsageError, parseFuzzArguments } from './options.js';
import { type FailedRun, type SearchResult, search } from './search.js';
import { shrink } from './shrink.js';

const EXIT_VIOLATION = 1;
const EXIT_USAGE = 2;
const RANDOM_SEED_RANGE = 1_000_000_000;
const MAX_VIOLATION_LINES = 10;

function main(args: readonly string[]): number {
  if (args.includes('--help')) {
    console.log(FUZZ_HELP);
    return 0;
  }
  try {
    return runFuzz(parseFuzzArguments(args));
  } catch (error) {
    if (!(error instanceof FuzzUsageError)) throw error;
    console.error(`${error.message}\n\n${FUZZ_HELP}`);
    return EXIT_USAGE;
  }
}

function runFuzz(options: FuzzOptions): number {
  const firstSeed = options.seed ?? Math.floor(Math.random() * RANDOM_SEED_RANGE);
  const names = options.scenarios.map(({ name }) => name).join(', ');
  console.log(`first seed ${firstSeed}, scenarios ${names}`);
  const startedAt = performance.now();
  const result = search({
    scenarios: options.scenarios,
    firstSeed,
    disabledMechanisms: options.disabledMechanisms,
    shouldContinue: (runs) => {
      const seeds = runs / options.scenarios.length;
      const inTime = performance.now() - startedAt < options.durationMs;
      return inTime && seeds < (options.seeds ?? Number.POSITIVE_INFINITY);
    },
  });
  const seconds = (performance.now() - startedAt) / 1000;
  console.log(`${result.runs} runs in ${seconds.toFixed(1)} s, last seed ${result.lastSeed}`);
  return report(result, options);
}

function report({ failed }: SearchResult, options: FuzzOptions): number {
  if (failed === undefined) {
    console.log('no violation');
    return 0;
  }
  for (const line of formatFailure(failed, options)) console.log(line);
  return EXIT_VIOLATION;
}

function formatFailure(failed: FailedRun, options: FuzzOptions): string[] {
  const { scenario, seed, plan } = failed;
  const { kept, outcome } = shrink(plan, failed.outcome);
  const events = plan.events.filter((_, index) => kept.has(index));
  const withoutFlag =
    options.disabledMechanisms.size === 0
      ? ''
      : ` --without ${[...options.disabledMechanisms].join(',')}`;
  const { violations } = outcome;
  return [
    `VIOLATION in scenario ${scenario.name}, seed ${seed}`,
    `to repeat: npm run fuzz -- --scenario ${scenario.name} --seed ${seed} --seeds 1${withoutFlag}`,
    `events that cause it (${events.length} of ${plan.events.length}):`,
    ...events.map((event) => `  ${event}`),
    `violations (${violations.length}):`,
    ...violations.slice(0, MAX_VIOLATION_LINES).map((violation) => `  ${violation}`),
    'requests or nodes concerned:',
    ...outcome.summaries.map((line) => `  ${line}`),
  ];
}

process.exitCode = main(process.argv.slice(2));
