/**
 * `npm run bench -- isolation`: one tenant floods a group that another one uses, in short phases that
 * alternate with phases without a flood; with `--outage` also a primary that is killed. Prints a table; `--json FILE` writes the figures.
 */
import { writeFileSync } from 'node:fs';
import { availableParallelism, loadavg } from 'node:os';
import { parseArgs } from 'node:util';
import { z } from 'zod';
import { BenchUsageError } from '../options.js';
import { figuresOf, type Phase, type PhaseKind } from './figures.js';
import { FLOOD_KINDS, Flood } from './flood.js';
import { measureOutage, type OutageWindow } from './outage.js';
import { QuietLoad } from './quiet-load.js';
import { GROUP, QUIET_TENANT, startSharedCluster } from './shared-cluster.js';
import { TenantSessions } from './tenant-sessions.js';

const USAGE = `npm run bench -- isolation [options]
  --seed N          of the load (default 1)
  --cycles N        times each phase is run (default 8)
  --phase S         seconds of a phase (default 4)
  --rate R          requests a second of the quiet tenant (default 40)
  --statement-ms N  service time of a statement on an instance (default 20)
  --floods NAMES    of ${FLOOD_KINDS.join(',')} (default all)
  --outage          kill a primary in a run of its own, and count requests sent
  --json FILE       write the figures there`;

const SLOTS = 5;
const NO_ELECTION_MS = 10_000;
const QUIET_SESSIONS = 40;
const WARM_UP_MS = 3000;
const SETTLE_MS = 500;
const MS_PER_SECOND = 1000;
/** The bar: p99 of the quiet tenant may move by no more than this. */
const MOST_MOVED = 0.2;

const EXIT_WITHIN_BAR = 0;
const EXIT_BEYOND_BAR = 1;
const EXIT_USAGE = 2;

const optionsSchema = z.object({
  seed: z.coerce.number().int().min(0),
  cycles: z.coerce.number().int().min(1),
  phase: z.coerce.number().positive(),
  rate: z.coerce.number().positive(),
  'statement-ms': z.coerce.number().min(0),
  floods: z
    .string()
    .transform((names) => names.split(','))
    .pipe(z.array(z.enum(FLOOD_KINDS))),
  outage: z.boolean(),
  json: z.string().optional(),
});
type IsolationOptions = z.output<typeof optionsSchema>;

/** Gives the exit code: 0 within the bar, 1 beyond it, 2 wrong flags. */
export async function runIsolationBench(args: readonly string[]): Promise<number> {
  if (args.includes('--help')) {
    console.log(USAGE);
    return EXIT_WITHIN_BAR;
  }
  const options = optionsSchema.safeParse(readFlags(args));
  if (!options.success) {
    process.stderr.write(`${z.prettifyError(options.error)}\n`);
    return EXIT_USAGE;
  }
  const loadBefore = loadavg();
  const figures = figuresOf(await runPhases(options.data), SETTLE_MS);
  const machine = { cores: availableParallelism(), loadBefore, loadAfter: loadavg() };
  const outage = await runOutage(options.data);
  const report = { bench: 'isolation', options: options.data, machine, figures, outage };
  console.table(figures);
  console.table(outage);
  const { json } = options.data;
  if (json !== undefined) writeFileSync(json, `${JSON.stringify(report, null, 2)}\n`);
  const isWithin = figures.every(({ phaseP99Moved = 0 }) => phaseP99Moved <= MOST_MOVED);
  return isWithin ? EXIT_WITHIN_BAR : EXIT_BEYOND_BAR;
}

async function runOutage(options: IsolationOptions): Promise<readonly OutageWindow[]> {
  if (!options.outage) return [];
  const { seed, rate: ratePerSecond } = options;
  return measureOutage({
    seed,
    ratePerSecond,
    statementMs: options['statement-ms'],
    slots: SLOTS,
  });
}

/** @throws BenchUsageError */
function readFlags(args: readonly string[]): unknown {
  try {
    return parseArgs({
      args: [...args],
      options: {
        seed: { type: 'string', default: '1' },
        cycles: { type: 'string', default: '8' },
        phase: { type: 'string', default: '4' },
        rate: { type: 'string', default: '40' },
        'statement-ms': { type: 'string', default: '20' },
        floods: { type: 'string', default: FLOOD_KINDS.join(',') },
        outage: { type: 'boolean', default: false },
        json: { type: 'string' },
      },
    }).values;
  } catch (cause) {
    throw new BenchUsageError(USAGE, { cause });
  }
}

async function runPhases(options: IsolationOptions): Promise<readonly Phase[]> {
  const { seed, rate, cycles, floods } = options;
  const statementMs = options['statement-ms'];
  const cluster = await startSharedCluster({
    seed,
    statementMs,
    slots: SLOTS,
    electionTimeoutMs: NO_ELECTION_MS,
  });
  try {
    const proxies = cluster.callerAddresses;
    const sessions = await TenantSessions.open(proxies, QUIET_TENANT, GROUP, QUIET_SESSIONS);
    const flood = await Flood.start(proxies, seed + 1);
    const load = new QuietLoad(sessions, seed, rate);
    const phases: Phase[] = [];
    try {
      await load.run(WARM_UP_MS);
      for (let cycle = 0; cycle < cycles; cycle += 1) {
        for (const kind of ['none' as const, ...floods]) {
          phases.push(await runPhase(kind, load, flood, options.phase * MS_PER_SECOND));
        }
      }
      return phases;
    } finally {
      await flood.stop();
      await sessions.close();
    }
  } finally {
    await cluster.stop();
  }
}

async function runPhase(
  kind: PhaseKind,
  load: QuietLoad,
  flood: Flood,
  durationMs: number,
): Promise<Phase> {
  if (kind === 'none') return { kind, requests: await load.run(durationMs), flood: undefined };
  await flood.begin(kind);
  const requests = await load.run(durationMs);
  return { kind, requests, flood: await flood.end() };
}
