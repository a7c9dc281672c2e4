/**
 * `npm run bench -- overhead`: compares point reads sent to a database directly, through a plain TCP
 * pass-through, and through the proxies. Prints a table; `--json FILE` writes the figures.
 */
import { writeFileSync } from 'node:fs';
import { availableParallelism, loadavg } from 'node:os';
import { parseArgs } from 'node:util';
import { parsePositive } from './address.js';
import { type LoopResult, openConnections, runClosedLoop, runOpenLoop } from './point-load.js';
import { readProcessorSeconds } from './processor-time.js';
import { type OverheadTarget, startTargets } from './targets.js';

const USAGE = `npm run bench -- overhead [options]
  --connections N   number of connections of the load (default 16)
  --seconds S       duration of each loop (default 5)
  --rate R          statements per second of the open loop (default 500)
  --slots N         statements that an instance executes concurrently (default 16)
  --only NAMES      targets, of direct,pass-through,proxy-1,proxy-2 (default all)
  --json FILE       write the figures to this file`;

interface Percentiles {
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Figures of one target. Latencies are in milliseconds. */
interface TargetFigures {
  readonly target: string;
  readonly statementsPerSecond: number;
  /** Processor cores that the processes between client and database used during the closed loop. */
  readonly coresInBetween: number;
  /** Statements per second for each core used in between; undefined if there is no process in between. */
  readonly statementsPerSecondPerCore: number | undefined;
  readonly closedLoopMs: Percentiles;
  readonly openLoopMs: Percentiles;
  /** Median of the open loop minus that of `direct`. */
  readonly addedP50Ms: number | undefined;
  readonly statements: number;
  readonly errors: number;
}

interface LoadShape {
  readonly connections: number;
  readonly seconds: number;
  readonly ratePerSecond: number;
}

const MICROSECONDS_PER_MS = 1000;
const WARM_UP_SECONDS = 1;

/** Runs the bench; resolves with the exit code: 1 if any statement failed, else 0. */
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
  const figures = await measureAllTargets(shape, parsePositive('slots', values.slots), names);
  const report = {
    bench: 'overhead',
    ...shape,
    machine: { cores: availableParallelism(), loadBefore, loadAfter: loadavg() },
    targets: figures,
  };
  console.table(figures.map(toTableRow));
  if (values.json !== undefined) writeFileSync(values.json, `${JSON.stringify(report, null, 2)}\n`);
  return figures.some(({ errors }) => errors > 0) ? 1 : 0;
}

async function measureAllTargets(
  shape: LoadShape,
  slots: number,
  names: ReadonlySet<string>,
): Promise<readonly TargetFigures[]> {
  const { targets, stop } = await startTargets(slots);
  try {
    const figures: TargetFigures[] = [];
    for (const target of targets.filter(({ name }) => names.has(name))) {
      const directP50 = figures.find((one) => one.target === 'direct')?.openLoopMs.p50;
      figures.push(await measureTarget(target, shape, directP50));
    }
    return figures;
  } finally {
    await stop();
  }
}

async function measureTarget(
  target: OverheadTarget,
  shape: LoadShape,
  directP50: number | undefined,
): Promise<TargetFigures> {
  const connections = await openConnections(target.connect, shape.connections);
  await runClosedLoop(connections, WARM_UP_SECONDS);
  const processorSecondsBefore = totalProcessorSeconds(target.pids);
  const closedLoop = await runClosedLoop(connections, shape.seconds);
  const processorSecondsUsed = totalProcessorSeconds(target.pids) - processorSecondsBefore;
  const openLoop = await runOpenLoop(connections, shape.seconds, shape.ratePerSecond);
  for (const connection of connections) connection.close();
  const openLoopMs = computePercentiles(openLoop);
  const cores = processorSecondsUsed / closedLoop.seconds;
  return {
    target: target.name,
    statementsPerSecond: Math.round(closedLoop.statements / closedLoop.seconds),
    coresInBetween: Number(cores.toFixed(2)),
    statementsPerSecondPerCore:
      processorSecondsUsed > 0
        ? Math.round(closedLoop.statements / processorSecondsUsed)
        : undefined,
    closedLoopMs: computePercentiles(closedLoop),
    openLoopMs,
    addedP50Ms:
      directP50 === undefined ? undefined : Number((openLoopMs.p50 - directP50).toFixed(3)),
    statements: closedLoop.statements + openLoop.statements,
    errors: closedLoop.errors + openLoop.errors,
  };
}

function totalProcessorSeconds(pids: readonly number[]): number {
  return pids.reduce((total, pid) => total + (readProcessorSeconds(pid) ?? 0), 0);
}

function computePercentiles({ latency }: LoopResult): Percentiles {
  const milliseconds = (microseconds: number): number => microseconds / MICROSECONDS_PER_MS;
  return {
    p50: milliseconds(latency.getValueAtPercentile(50)),
    p99: milliseconds(latency.getValueAtPercentile(99)),
    max: milliseconds(latency.maxValue),
  };
}

function toTableRow(figures: TargetFigures): Readonly<Record<string, string | number | undefined>> {
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
