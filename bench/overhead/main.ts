/**
 * `npm run bench -- overhead`: point statements to a database direct, via a plain TCP pass-through,
 * and via the proxy (gateway and owner), in one run. Prints a table; `--json FILE` writes figures.
 */
import { writeFileSync } from 'node:fs';
import { availableParallelism, loadavg } from 'node:os';
import { parseArgs } from 'node:util';
import { parsePositive } from './address.js';
import { type LoopResult, openConnections, runClosedLoop, runOpenLoop } from './point-load.js';
import { processorSeconds } from './processor-time.js';
import { type OverheadTarget, startTargets } from './targets.js';

const USAGE = `npm run bench -- overhead [options]
  --connections N   connections of the load (default 16)
  --seconds S       length of each loop (default 5)
  --rate R          statements a second of the open loop (default 500)
  --slots N         statements that an instance runs at once (default 16)
  --only NAMES      of direct,pass-through,proxy-1,proxy-2 (default all)
  --json FILE       write the figures there`;

interface Percentiles {
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Figures of one target. Latencies are in milliseconds. */
interface TargetFigures {
  readonly target: string;
  readonly statementsPerSecond: number;
  /** Cores used by the processes in between while the closed loop ran. */
  readonly coresInBetween: number;
  /** Statements a second for each core used in between; undefined if nothing is. */
  readonly statementsPerSecondPerCore: number | undefined;
  readonly closedLoopMs: Percentiles;
  readonly openLoopMs: Percentiles;
  /** Open loop, median, above that of `direct`. */
  readonly addedP50Ms: number | undefined;
  readonly statements: number;
  readonly errors: number;
}

interface LoadShape {
  readonly connections: number;
  readonly seconds: number;
  readonly ratePerSecond: number;
}

const MICROSECONDS_PER_MILLISECOND = 1000;
const WARM_UP_SECONDS = 1;

/** Runs the bench; gives the exit code: 1 if any statement failed. */
export async function runOverheadBench(args: readonly string[]): Promise<number> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      connections: { type: 'string', default: '16' },
      seconds: { type: 'string', default: '5' },
      rate: { type: 'string', default: '500' },
      slots: { type: 'string', default: '16' },
      only: { type: 'string', default: 'direct,pass-through,proxy-1,proxy-2' },
      json: { type: 'string' },
      help: { type: 'boolean', default: false },
    },
  });
  if (values.help) {
    console.log(USAGE);
    return 0;
  }
  const shape: LoadShape = {
    connections: parsePositive('connections', values.connections),
    seconds: parsePositive('seconds', values.seconds),
    ratePerSecond: parsePositive('rate', values.rate),
  };
  const names = new Set(values.only.split(','));
  const loadBefore = loadavg();
  const figures = await measureAll(shape, parsePositive('slots', values.slots), names);
  const report = {
    bench: 'overhead',
    ...shape,
    machine: { cores: availableParallelism(), loadBefore, loadAfter: loadavg() },
    targets: figures,
  };
  console.table(figures.map(tableRow));
  if (values.json !== undefined) writeFileSync(values.json, `${JSON.stringify(report, null, 2)}\n`);
  return figures.some(({ errors }) => errors > 0) ? 1 : 0;
}

async function measureAll(
  shape: LoadShape,
  slots: number,
  names: ReadonlySet<string>,
): Promise<readonly TargetFigures[]> {
  const { targets, stop } = await startTargets(slots);
  try {
    const figures: TargetFigures[] = [];
    for (const target of targets.filter(({ name }) => names.has(name))) {
      const directP50 = figures.find((one) => one.target === 'direct')?.openLoopMs.p50;
      figures.push(await measure(target, shape, directP50));
    }
    return figures;
  } finally {
    await stop();
  }
}

async function measure(
  target: OverheadTarget,
  shape: LoadShape,
  directP50: number | undefined,
): Promise<TargetFigures> {
  const connections = await openConnections(target.connect, shape.connections);
  await runClosedLoop(connections, WARM_UP_SECONDS);
  const processorBefore = processorTotal(target.pids);
  const closed = await runClosedLoop(connections, shape.seconds);
  const processorUsed = processorTotal(target.pids) - processorBefore;
  const open = await runOpenLoop(connections, shape.seconds, shape.ratePerSecond);
  for (const connection of connections) connection.close();
  const openLoopMs = percentilesOf(open);
  const cores = processorUsed / closed.seconds;
  return {
    target: target.name,
    statementsPerSecond: Math.round(closed.statements / closed.seconds),
    coresInBetween: Number(cores.toFixed(2)),
    statementsPerSecondPerCore:
      processorUsed > 0 ? Math.round(closed.statements / processorUsed) : undefined,
    closedLoopMs: percentilesOf(closed),
    openLoopMs,
    addedP50Ms:
      directP50 === undefined ? undefined : Number((openLoopMs.p50 - directP50).toFixed(3)),
    statements: closed.statements + open.statements,
    errors: closed.errors + open.errors,
  };
}

function processorTotal(pids: readonly number[]): number {
  return pids.reduce((total, pid) => total + (processorSeconds(pid) ?? 0), 0);
}

function percentilesOf({ latency }: LoopResult): Percentiles {
  const milliseconds = (microseconds: number): number =>
    microseconds / MICROSECONDS_PER_MILLISECOND;
  return {
    p50: milliseconds(latency.getValueAtPercentile(50)),
    p99: milliseconds(latency.getValueAtPercentile(99)),
    max: milliseconds(latency.maxValue),
  };
}

function tableRow(figures: TargetFigures): Readonly<Record<string, string | number | undefined>> {
  return {
    target: figures.target,
    'statements/s': figures.statementsPerSecond,
    'cores between': figures.coresInBetween,
    'statements/s/core': figures.statementsPerSecondPerCore,
    'p50 ms (open)': figures.openLoopMs.p50,
    'p99 ms (open)': figures.openLoopMs.p99,
    'added p50 ms': figures.addedP50Ms,
    errors: figures.errors,
  };
}
