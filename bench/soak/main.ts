/**
 * `npm run soak`: rounds of real gateways, database groups and a store as separate processes, with
 * faults drawn from a seed, until the time limit or a violation.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { availableParallelism, loadavg, tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { z } from 'zod';
import { seededRandom } from '../../test/support/random.js';
import { renderSoakPage } from './page.js';
import { REGRESSIONS } from './regressions.js';
import { FAULT_SPAN_MS, type Finding, type RoundResult, runRound } from './round.js';
import {
  type DisruptionKind,
  drawSchedule,
  type PlannedFault,
  type Schedule,
  withNewIncarnation,
  withStoreReturns,
} from './schedule.js';

const USAGE = `npm run soak -- [options]
  --minutes N     runs rounds with new seeds for this time (default 5)
  --seed S        first seed; later rounds count up (default: random)
  --replay S      runs the round of one seed
  --regressions   runs all seeds that failed in the past
  --store-returns restores the store from a backup once or twice in each round
  --new-incarnations  starts one instance again without its log in each round
  --gateways N    gateways of each round, at most 40 (default 5)
  --json FILE     writes the result of each round
  --html FILE     writes a page: all rounds, and plots of those with the most failures

Exit codes:
  0  no rule was violated, and service recovered after each round's faults
  1  a finding: prints the seed, the faults and the folder with the gateways' logs
  2  wrong usage`;
const EXIT_FINDING = 1;
const EXIT_USAGE = 2;
const RANDOM_SEED_RANGE = 1_000_000_000;
/** Distance between the seeds of two rounds, since each client of a round has a seed of its own. */
const SEED_STEP = 1000;
const MS_PER_MINUTE = 60_000;
const MAX_FINDINGS_SHOWN = 5;
/** Limited because each gateway is a process of about 60 MB. */
const MAX_GATEWAYS = 40;

const optionsSchema = z.object({
  minutes: z.coerce.number().positive().default(5),
  seed: z.coerce.number().int().min(0).optional(),
  replay: z.coerce.number().int().min(0).optional(),
  regressions: z.boolean().default(false),
  'store-returns': z.boolean().default(false),
  'new-incarnations': z.boolean().default(false),
  gateways: z.coerce.number().int().min(1).max(MAX_GATEWAYS).optional(),
  json: z.string().optional(),
  html: z.string().optional(),
});
type SoakOptions = z.output<typeof optionsSchema>;

async function main(): Promise<number> {
  const { values } = parseArgs({
    options: {
      ...{ minutes: { type: 'string' }, seed: { type: 'string' }, replay: { type: 'string' } },
      ...{
        regressions: { type: 'boolean' },
        'store-returns': { type: 'boolean' },
        'new-incarnations': { type: 'boolean' },
        gateways: { type: 'string' },
        json: { type: 'string' },
        html: { type: 'string' },
        help: { type: 'boolean' },
      },
    },
  });
  if (values.help === true) {
    console.log(USAGE);
    return 0;
  }
  const options = optionsSchema.safeParse(values);
  if (!options.success) {
    console.error(`${z.prettifyError(options.error)}\n\n${USAGE}`);
    return EXIT_USAGE;
  }
  const results: RoundResult[] = [];
  for (const seed of generateSeeds(options.data)) {
    const result = await runRound(createSchedule(seed, options.data), options.data);
    results.push(result);
    report(result);
    if (result.findings.length > 0 && !options.data.regressions) break;
  }
  return writeReports(results, options.data);
}

/** The seeds to run, in order; new seeds until the time limit. */
function* generateSeeds({ minutes, seed, replay, regressions }: SoakOptions): Generator<number> {
  if (replay !== undefined) {
    yield replay;
    return;
  }
  if (regressions) {
    for (const regression of REGRESSIONS) yield regression.seed;
    return;
  }
  const endsAt = performance.now() + minutes * MS_PER_MINUTE;
  let next = seed ?? Math.floor(Math.random() * RANDOM_SEED_RANGE);
  while (performance.now() < endsAt) {
    yield next;
    next += SEED_STEP;
  }
}

function createSchedule(seed: number, options: SoakOptions): Schedule {
  const draw = seededRandom(seed);
  let schedule = drawSchedule(seed, draw, FAULT_SPAN_MS);
  if (options['store-returns']) schedule = withStoreReturns(schedule, draw, FAULT_SPAN_MS);
  if (options['new-incarnations']) schedule = withNewIncarnation(schedule, draw, FAULT_SPAN_MS);
  return schedule;
}

function report({ schedule, findings, late, statements, failed, tookMs }: RoundResult): void {
  const { seed, hasOwners, faults } = schedule;
  const routing = hasOwners ? 'owners' : 'direct';
  const failures = Object.values(failed).reduce((sum, count) => sum + count, 0);
  const verdict = findings.length === 0 ? 'ok' : `${findings.length} findings`;
  const kinds = faults.map(({ fault }) => fault.kind).join(', ');
  const seconds = Math.round(tookMs / 1000);
  const figures = `${statements} statements, ${failures} failed, ${late.length} late, ${seconds} s`;
  console.log(`seed ${seed} (${routing}): ${verdict}; ${figures}; ${kinds}`);
  for (const one of late.slice(0, MAX_FINDINGS_SHOWN)) console.log(`  late: ${one}`);
}

async function writeReports(
  results: readonly RoundResult[],
  { json, html }: SoakOptions,
): Promise<number> {
  const machine = { cores: availableParallelism(), load: loadavg() };
  if (json !== undefined) {
    const rounds = results.map(({ logs: _logs, plots: _plots, ...rest }) => rest);
    writeFileSync(json, `${JSON.stringify({ machine, rounds }, null, 2)}\n`);
  }
  if (html !== undefined) writeFileSync(html, await renderSoakPage(results, machine));
  const roundsWithFindings = results.filter(({ findings }) => findings.length > 0);
  const statements = results.reduce((sum, result) => sum + result.statements, 0);
  const late = results.reduce((sum, result) => sum + result.late.length, 0);
  const counted = `${statements} statements, ${late} late, ${roundsWithFindings.length} with findings`;
  console.log(`${results.length} rounds, ${counted}`);
  for (const result of roundsWithFindings) showFindings(result);
  return roundsWithFindings.length === 0 ? 0 : EXIT_FINDING;
}

/** Flags that run a schedule again. */
function replayFlags({ seed, faults }: Schedule): string {
  const flagOf = (kind: DisruptionKind, flag: string): string =>
    faults.some(({ fault }) => fault.kind === kind) ? ` ${flag}` : '';
  const returns = flagOf('store-returns', '--store-returns');
  return `--replay ${seed}${returns}${flagOf('instance-starts-again', '--new-incarnations')}`;
}

function showFindings({ schedule, findings, logs }: RoundResult): void {
  const folder = join(tmpdir(), `meadowstack-soak-${schedule.seed}`);
  mkdirSync(folder, { recursive: true });
  for (const [name, text] of logs) writeFileSync(join(folder, `${name}.log`), text);
  console.log(
    `seed ${schedule.seed}: logs in ${folder}; to repeat: npm run soak -- ${replayFlags(schedule)}`,
  );
  for (const planned of schedule.faults) console.log(`  ${formatFault(planned)}`);
  for (const finding of findings.slice(0, MAX_FINDINGS_SHOWN))
    console.log(`  ${formatFinding(finding)}`);
}

function formatFault({ atMs, forMs, fault }: PlannedFault): string {
  return `${atMs} ms, for ${forMs} ms: ${JSON.stringify(fault)}`;
}

const FINDING_FORMATTERS: {
  readonly [Type in Finding['type']]: (finding: Extract<Finding, { type: Type }>) => string;
} = {
  violation: ({ violation }) => `${violation.rule}: ${violation.detail}`,
  'no-recovery': ({ detail }) => `no service after the faults: ${detail}`,
  'ended-by-itself': ({ gateway, how }) => `${gateway} ended by itself: ${how}`,
};

function formatFinding(finding: Finding): string {
  return (FINDING_FORMATTERS[finding.type] as (finding: Finding) => string)(finding);
}

process.exitCode = await main();
