/** What the benches of tenant isolation share: flags, phases with and without a flood, report and verdict. */
import { writeFileSync } from 'node:fs';
import { availableParallelism, loadavg } from 'node:os';
import { type ParseArgsConfig, parseArgs } from 'node:util';
import { z } from 'zod';
import { BenchUsageError } from '../options.js';
import { figuresOf, type Phase, type PhaseKind } from './figures.js';
import type { Flood, FloodKind } from './flood.js';

const SETTLE_MS = 500;
const MS_PER_SECOND = 1000;
/** The bar: p99 of the quiet tenant may move by no more than this. */
const MOST_MOVED = 0.2;

const EXIT_WITHIN_BAR = 0;
const EXIT_BEYOND_BAR = 1;
const EXIT_USAGE = 2;

type Flags = NonNullable<ParseArgsConfig['options']>;

/** Options of every such bench. */
export const isolationOptions = z.object({
  seed: z.coerce.number().int().min(0),
  cycles: z.coerce.number().int().min(1),
  phase: z.coerce.number().positive(),
  rate: z.coerce.number().positive(),
  'statement-ms': z.coerce.number().min(0),
  json: z.string().optional(),
});
export type IsolationOptions = z.output<typeof isolationOptions>;

/** Their flags, with the defaults that differ. */
export function isolationFlags(defaults: { readonly rate: number; readonly statementMs: number }) {
  return {
    seed: { type: 'string', default: '1' },
    cycles: { type: 'string', default: '8' },
    phase: { type: 'string', default: '4' },
    rate: { type: 'string', default: String(defaults.rate) },
    'statement-ms': { type: 'string', default: String(defaults.statementMs) },
    json: { type: 'string' },
  } satisfies Flags;
}

/** One bench. */
export interface IsolationBench<Options extends IsolationOptions> {
  readonly name: string;
  readonly usage: string;
  readonly flags: Flags;
  readonly schema: z.ZodType<Options>;
  play(options: Options): Promise<readonly Phase[]>;
  /** Further tables of the report. */
  readonly more?: (options: Options) => Promise<Readonly<Record<string, unknown>>>;
  /** Tables that follow from the phases; printed only. */
  readonly tables?: (phases: readonly Phase[]) => readonly unknown[];
}

/** Gives the exit code: 0 within the bar, 1 beyond it, 2 wrong flags. */
export async function runIsolation<Options extends IsolationOptions>(
  bench: IsolationBench<Options>,
  args: readonly string[],
): Promise<number> {
  if (args.includes('--help')) {
    console.log(bench.usage);
    return EXIT_WITHIN_BAR;
  }
  const options = bench.schema.safeParse(readFlags(bench, args));
  if (!options.success) {
    process.stderr.write(`${z.prettifyError(options.error)}\n`);
    return EXIT_USAGE;
  }
  const loadBefore = loadavg();
  const phases = await bench.play(options.data);
  const figures = figuresOf(phases, SETTLE_MS);
  const machine = { cores: availableParallelism(), loadBefore, loadAfter: loadavg() };
  const more = (await bench.more?.(options.data)) ?? {};
  const report = { bench: bench.name, options: options.data, machine, figures, ...more };
  const shown = [figures, ...(bench.tables?.(phases) ?? []), ...Object.values(more)];
  for (const table of shown) console.table(table);
  const { json } = options.data;
  if (json !== undefined) writeFileSync(json, `${JSON.stringify(report, null, 2)}\n`);
  const isWithin = figures.every(({ phaseP99Moved = 0 }) => phaseP99Moved <= MOST_MOVED);
  return isWithin ? EXIT_WITHIN_BAR : EXIT_BEYOND_BAR;
}

/** @throws BenchUsageError */
function readFlags(
  { usage, flags }: Pick<IsolationBench<IsolationOptions>, 'usage' | 'flags'>,
  args: readonly string[],
): unknown {
  try {
    return parseArgs({ args: [...args], options: flags }).values;
  } catch (cause) {
    throw new BenchUsageError(usage, { cause });
  }
}

/** The quiet tenant's load. */
interface QuietTenant {
  run(durationMs: number): Promise<Phase['requests']>;
}

/** Phases without and with each flood, so many times. */
export async function playPhases(
  load: QuietTenant,
  flood: Flood,
  floods: readonly FloodKind[],
  { cycles, phase }: Pick<IsolationOptions, 'cycles' | 'phase'>,
): Promise<readonly Phase[]> {
  const phases: Phase[] = [];
  for (let cycle = 0; cycle < cycles; cycle += 1) {
    for (const kind of ['none' as const, ...floods]) {
      phases.push(await playPhase(kind, load, flood, phase * MS_PER_SECOND));
    }
  }
  return phases;
}

async function playPhase(
  kind: PhaseKind,
  load: QuietTenant,
  flood: Flood,
  durationMs: number,
): Promise<Phase> {
  if (kind === 'none') return { kind, requests: await load.run(durationMs), flood: undefined };
  await flood.begin(kind);
  const requests = await load.run(durationMs);
  return { kind, requests, flood: await flood.end() };
}
