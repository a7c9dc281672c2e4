/** Common parts of the tenant isolation benches: flags, phases with and without a flood, report and exit code. */
import { writeFileSync } from 'node:fs';
import { availableParallelism, loadavg } from 'node:os';
import { type ParseArgsConfig, parseArgs } from 'node:util';
import { z } from 'zod';
import { BenchUsageError } from '../options.js';
import { computeFigures, type Phase, type PhaseKind } from './figures.js';
import type { Flood, FloodKind } from './flood.js';

const SETTLE_MS = 500;
const MS_PER_SECOND = 1000;
/** Maximum relative increase of the quiet tenant's p99 during a flood. */
const MAX_P99_INCREASE = 0.2;

const EXIT_WITHIN_LIMIT = 0;
const EXIT_BEYOND_LIMIT = 1;
const EXIT_USAGE = 2;

type Flags = NonNullable<ParseArgsConfig['options']>;

/** Options that all isolation benches have. */
export const isolationOptionsSchema = z.object({
  seed: z.coerce.number().int().min(0),
  cycles: z.coerce.number().int().min(1),
  phase: z.coerce.number().positive(),
  rate: z.coerce.number().positive(),
  'statement-ms': z.coerce.number().min(0),
  json: z.string().optional(),
});
export type IsolationOptions = z.output<typeof isolationOptionsSchema>;

/** The flags of these options; `defaults` are the values in which the benches differ. */
export function createIsolationFlags(defaults: {
  readonly rate: number;
  readonly statementMs: number;
}) {
  return {
    seed: { type: 'string', default: '1' },
    cycles: { type: 'string', default: '8' },
    phase: { type: 'string', default: '4' },
    rate: { type: 'string', default: String(defaults.rate) },
    'statement-ms': { type: 'string', default: String(defaults.statementMs) },
    json: { type: 'string' },
  } satisfies Flags;
}

/** Description of one isolation bench. */
export interface IsolationBench<Options extends IsolationOptions> {
  readonly name: string;
  readonly usage: string;
  readonly flags: Flags;
  readonly schema: z.ZodType<Options>;
  runAllPhases(options: Options): Promise<readonly Phase[]>;
  /** Makes further measurements, added to the report by name. */
  readonly measureFurther?: (options: Options) => Promise<Readonly<Record<string, unknown>>>;
  /** Tables computed from the phases, which are printed but not part of the report. */
  readonly createTables?: (phases: readonly Phase[]) => readonly unknown[];
}

/** Resolves with the exit code: 0 if p99 rises within the limit, 1 if beyond it, 2 for invalid flags. */
export async function runIsolationCommand<Options extends IsolationOptions>(
  bench: IsolationBench<Options>,
  args: readonly string[],
): Promise<number> {
  if (args.includes('--help')) {
    console.log(bench.usage);
    return EXIT_WITHIN_LIMIT;
  }
  const options = bench.schema.safeParse(readFlags(bench, args));
  if (!options.success) {
    process.stderr.write(`${z.prettifyError(options.error)}\n`);
    return EXIT_USAGE;
  }
  const loadBefore = loadavg();
  const phases = await bench.runAllPhases(options.data);
  const figures = computeFigures(phases, SETTLE_MS);
  const machine = { cores: availableParallelism(), loadBefore, loadAfter: loadavg() };
  const furtherTables = (await bench.measureFurther?.(options.data)) ?? {};
  const report = { bench: bench.name, options: options.data, machine, figures, ...furtherTables };
  const printedTables = [
    figures,
    ...(bench.createTables?.(phases) ?? []),
    ...Object.values(furtherTables),
  ];
  for (const table of printedTables) console.table(table);
  const { json } = options.data;
  if (json !== undefined) writeFileSync(json, `${JSON.stringify(report, null, 2)}\n`);
  const isWithin = figures.every(({ phaseP99Moved = 0 }) => phaseP99Moved <= MAX_P99_INCREASE);
  return isWithin ? EXIT_WITHIN_LIMIT : EXIT_BEYOND_LIMIT;
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

/** The load of the quiet tenant. */
interface QuietTenant {
  run(durationMs: number): Promise<Phase['requests']>;
}

/** Runs a phase without a flood and one with each kind of flood, `cycles` times. */
export async function runPhases(
  load: QuietTenant,
  flood: Flood,
  floods: readonly FloodKind[],
  { cycles, phase }: Pick<IsolationOptions, 'cycles' | 'phase'>,
): Promise<readonly Phase[]> {
  const phases: Phase[] = [];
  for (let cycle = 0; cycle < cycles; cycle += 1) {
    for (const kind of ['none' as const, ...floods]) {
      phases.push(await runPhase(kind, load, flood, phase * MS_PER_SECOND));
    }
  }
  return phases;
}

async function runPhase(
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
