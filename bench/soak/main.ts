/**
 * `npm run soak`: rounds of real gateways, database groups and a store as separate processes, with faults
 * drawn from a seed, until the time is over or a rule is broken.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { availableParallelism, loadavg, tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { z } from 'zod';
import { seededRandom } from '../../test/support/random.js';
import { renderSoakPage } from './page.js';
import { REGRESSIONS } from './regressions.js';
import { FAULT_SPAN_MS, type Finding, playRound, type RoundResult } from './round.js';
import { drawSchedule, type PlannedFault, type Schedule, withStoreReturns } from './schedule.js';

const USAGE = `npm run soak -- [options]
  --minutes N     plays rounds with fresh seeds for so long (default 5)
  --seed S        first seed; the next rounds count up (default: drawn)
  --replay S      plays the round of one seed
  --regressions   plays all seeds that ever failed
  --store-returns the store comes back from a copy once or twice in each round
  --gateways N    gateways of each round, at most 40 (default 5)
  --json FILE     writes what each round came to
  --html FILE     writes a page: all rounds, and plots of those that served least

Exit codes:
  0  no rule was broken, and service came back after each round's faults
  1  a finding: seed and faults are printed, logs of the gateways are kept in a folder that is named
  2  wrong usage`;
const EXIT_FINDING = 1;
const EXIT_USAGE = 2;
const DRAWN_SEEDS = 1_000_000_000;
/** Seeds of rounds lie apart, since each client of a round has a seed of its own. */
const SEED_STEP = 1000;
const MS_PER_MINUTE = 60_000;
const MOST_FINDINGS_SHOWN = 5;
/** Each is a process of some 60 MB. */
const MOST_GATEWAYS = 40;

const optionsSchema = z.object({
  minutes: z.coerce.number().positive().default(5),
  seed: z.coerce.number().int().min(0).optional(),
  replay: z.coerce.number().int().min(0).optional(),
  regressions: z.boolean().default(false),
  'store-returns': z.boolean().default(false),
  gateways: z.coerce.number().int().min(1).max(MOST_GATEWAYS).optional(),
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
  for (const seed of seedsOf(options.data)) {
    const result = await playRound(scheduleOf(seed, options.data), options.data);
    results.push(result);
    report(result);
    if (result.findings.length > 0 && !options.data.regressions) break;
  }
  return conclude(results, options.data);
}

/** Seeds in their order; for fresh ones, until the time is over. */
function* seedsOf({ minutes, seed, replay, regressions }: SoakOptions): Generator<number> {
  if (replay !== undefined) {
    yield replay;
    return;
  }
  if (regressions) {
    for (const regression of REGRESSIONS) yield regression.seed;
    return;
  }
  const endsAt = performance.now() + minutes * MS_PER_MINUTE;
  let next = seed ?? Math.floor(Math.random() * DRAWN_SEEDS);
  while (performance.now() < endsAt) {
    yield next;
    next += SEED_STEP;
  }
}

function scheduleOf(seed: number, options: SoakOptions): Schedule {
  const draw = seededRandom(seed);
  const schedule = drawSchedule(seed, draw, FAULT_SPAN_MS);
  return options['store-returns'] ? withStoreReturns(schedule, draw, FAULT_SPAN_MS) : schedule;
}

function report({ schedule, findings, late, statements, failed, tookMs }: RoundResult): void {
  const { seed, hasOwners, faults } = schedule;
  const way = hasOwners ? 'owners' : 'direct';
  const failures = Object.values(failed).reduce((sum, count) => sum + count, 0);
  const verdict = findings.length === 0 ? 'ok' : `${findings.length} findings`;
  const kinds = faults.map(({ fault }) => fault.kind).join(', ');
  const seconds = Math.round(tookMs / 1000);
  const figures = `${statements} statements, ${failures} failed, ${late.length} late, ${seconds} s`;
  console.log(`seed ${seed} (${way}): ${verdict}; ${figures}; ${kinds}`);
  for (const one of late.slice(0, MOST_FINDINGS_SHOWN)) console.log(`  late: ${one}`);
}

async function conclude(
  results: readonly RoundResult[],
  { json, html }: SoakOptions,
): Promise<number> {
  const machine = { cores: availableParallelism(), load: loadavg() };
  if (json !== undefined) {
    const rounds = results.map(({ logs: _logs, plots: _plots, ...rest }) => rest);
    writeFileSync(json, `${JSON.stringify({ machine, rounds }, null, 2)}\n`);
  }
  if (html !== undefined) writeFileSync(html, await renderSoakPage(results, machine));
  const bad = results.filter(({ findings }) => findings.length > 0);
  const statements = results.reduce((sum, result) => sum + result.statements, 0);
  const late = results.reduce((sum, result) => sum + result.late.length, 0);
  const counted = `${statements} statements, ${late} late, ${bad.length} with findings`;
  console.log(`${results.length} rounds, ${counted}`);
  for (const result of bad) showFindings(result);
  return bad.length === 0 ? 0 : EXIT_FINDING;
}

/** Flags that play a schedule again. */
function replayOf({ seed, faults }: Schedule): string {
  const hasReturns = faults.some(({ fault }) => fault.kind === 'store-returns');
  return `--replay ${seed}${hasReturns ? ' --store-returns' : ''}`;
}

function showFindings({ schedule, findings, logs }: RoundResult): void {
  const folder = join(tmpdir(), `meadowstack-soak-${schedule.seed}`);
  mkdirSync(folder, { recursive: true });
  for (const [name, text] of logs) writeFileSync(join(folder, `${name}.log`), text);
  console.log(
    `seed ${schedule.seed}: logs in ${folder}; again: npm run soak -- ${replayOf(schedule)}`,
  );
  for (const planned of schedule.faults) console.log(`  ${faultText(planned)}`);
  for (const finding of findings.slice(0, MOST_FINDINGS_SHOWN))
    console.log(`  ${findingText(finding)}`);
}

function faultText({ atMs, forMs, fault }: PlannedFault): string {
  return `${atMs} ms, for ${forMs} ms: ${JSON.stringify(fault)}`;
}

const FINDING_TEXTS: {
  readonly [Type in Finding['type']]: (finding: Extract<Finding, { type: Type }>) => string;
} = {
  violation: ({ violation }) => `${violation.rule}: ${violation.detail}`,
  'no-recovery': ({ detail }) => `no service after the faults: ${detail}`,
  'ended-by-itself': ({ gateway, how }) => `${gateway} ended by itself: ${how}`,
};

function findingText(finding: Finding): string {
  return (FINDING_TEXTS[finding.type] as (finding: Finding) => string)(finding);
}

process.exitCode = await main();
