/**
 * `npm run bench -- direct-isolation`: one tenant of a direct gateway floods the group that another
 * one uses, in short phases that alternate with phases without a flood. `--json FILE` writes the figures.
 */
import { z } from 'zod';
import { DirectCluster, type TestRoute } from '../../test/support/direct-cluster.js';
import type { Phase } from '../isolation/figures.js';
import { Flood } from '../isolation/flood.js';
import {
  type IsolationBench,
  isolationFlags,
  isolationOptions,
  playPhases,
  runIsolation,
} from '../isolation/frame.js';
import { QuietSessions } from './quiet-load.js';

const USAGE = `npm run bench -- direct-isolation [options]
  --seed N          of the load (default 1)
  --cycles N        times each phase is run (default 8)
  --phase S         seconds of a phase (default 4)
  --rate R          requests a second of the quiet tenant (default 20)
  --statement-ms N  work of a statement on an instance (default 10)
  --gateways N      gateways; all load goes to the first (default 1)
  --json FILE       write the figures there`;

const FLOODS = ['requests', 'idle-transactions'] as const;
const FLOOD_PROGRAM = 'bench/direct-isolation/flood-process.js';
const ROUTES: readonly TestRoute[] = [
  { database: 'flood', service: 'orders', routeType: 'primary' },
  { database: 'quiet', service: 'orders', routeType: 'primary' },
];
const QUIET_SESSIONS = 200;
const SLOTS = 5;
/** A gateway that sees no others shares the connections with eight for its first 30 s. */
const WARM_UP_MS = 35_000;

const schema = isolationOptions.extend({ gateways: z.coerce.number().int().min(1) });
type DirectIsolationOptions = z.output<typeof schema>;

const BENCH: IsolationBench<DirectIsolationOptions> = {
  name: 'direct-isolation',
  usage: USAGE,
  schema,
  flags: {
    ...isolationFlags({ rate: 20, statementMs: 10 }),
    gateways: { type: 'string', default: '1' },
  },
  play,
  tables: (phases) => [errorsOf(phases)],
};

/** Gives the exit code: 0 within the bar, 1 beyond it, 2 wrong flags. */
export function runDirectIsolationBench(args: readonly string[]): Promise<number> {
  return runIsolation(BENCH, args);
}

/** Errors of the quiet tenant by flood and code. */
function errorsOf(phases: readonly Phase[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { kind, requests } of phases) {
    for (const { error } of requests) {
      if (error === undefined) continue;
      const name = `${kind} ${error}`;
      counts[name] = (counts[name] ?? 0) + 1;
    }
  }
  return counts;
}

async function play(options: DirectIsolationOptions): Promise<readonly Phase[]> {
  const { seed, rate, gateways } = options;
  const flags = ['--slots', String(SLOTS), '--work-ms', String(options['statement-ms'])];
  const cluster = await DirectCluster.start({ gateways, routes: ROUTES, flags });
  try {
    const port = cluster.gateway(0).callersPort;
    const load = await QuietSessions.open(port, QUIET_SESSIONS, seed, rate);
    const flood = await Flood.start([{ host: '127.0.0.1', port }], seed + 1, FLOOD_PROGRAM);
    try {
      await load.run(WARM_UP_MS);
      const phases = await playPhases(load, flood, FLOODS, options);
      const { promotions } = await cluster.platform.log();
      // The quiet tenant is refused while its primary changes, which a busy machine may cause.
      console.log(`${promotions.length} changes of the primary`);
      return phases;
    } finally {
      await flood.stop();
      load.close();
    }
  } finally {
    await cluster.stop();
  }
}
