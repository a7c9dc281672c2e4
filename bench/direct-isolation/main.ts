/**
 * `npm run bench -- direct-isolation`: a noisy tenant of a direct gateway floods a database group that a
 * quiet tenant also uses. Short phases with a flood alternate with phases without one. `--json FILE`
 * writes the figures.
 */
import { z } from 'zod';
import { DirectCluster, type TestRoute } from '../../test/support/direct-cluster.js';
import type { Phase } from '../isolation/figures.js';
import { Flood } from '../isolation/flood.js';
import {
  createIsolationFlags,
  type IsolationBench,
  isolationOptionsSchema,
  runIsolationCommand,
  runPhases,
} from '../isolation/frame.js';
import { QuietLoad } from './quiet-load.js';

const USAGE = `npm run bench -- direct-isolation [options]
  --seed N          seed of the load (default 1)
  --cycles N        times that each phase is run (default 8)
  --phase S         length of a phase in seconds (default 4)
  --rate R          requests per second of the quiet tenant (default 20)
  --statement-ms N  service time of a statement on an instance (default 10)
  --gateways N      number of gateways; all load goes to the first (default 1)
  --json FILE       write the figures to this file`;

const FLOODS = ['requests', 'idle-transactions'] as const;
const FLOOD_PROGRAM = 'bench/direct-isolation/flood-process.js';
const ROUTES: readonly TestRoute[] = [
  { database: 'flood', service: 'orders', routeType: 'primary' },
  { database: 'quiet', service: 'orders', routeType: 'primary' },
];
const QUIET_SESSION_COUNT = 200;
const SLOTS_PER_INSTANCE = 5;
/** In its first 30 s, a gateway divides the connections among eight gateways, even if it is alone. */
const WARM_UP_MS = 35_000;

const schema = isolationOptionsSchema.extend({ gateways: z.coerce.number().int().min(1) });
type DirectIsolationOptions = z.output<typeof schema>;

const BENCH: IsolationBench<DirectIsolationOptions> = {
  name: 'direct-isolation',
  usage: USAGE,
  schema,
  flags: {
    ...createIsolationFlags({ rate: 20, statementMs: 10 }),
    gateways: { type: 'string', default: '1' },
  },
  runAllPhases,
  createTables: (phases) => [countErrors(phases)],
};

/** Resolves with the exit code: 0 if p99 rises within the limit, 1 if beyond it, 2 for invalid flags. */
export function runDirectIsolationBench(args: readonly string[]): Promise<number> {
  return runIsolationCommand(BENCH, args);
}

/** Number of the quiet tenant's errors by flood and error code. */
function countErrors(phases: readonly Phase[]): Readonly<Record<string, number>> {
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

async function runAllPhases(options: DirectIsolationOptions): Promise<readonly Phase[]> {
  const { seed, rate, gateways } = options;
  const flags = [
    '--slots',
    String(SLOTS_PER_INSTANCE),
    '--work-ms',
    String(options['statement-ms']),
  ];
  const cluster = await DirectCluster.start({ gateways, routes: ROUTES, flags });
  try {
    const port = cluster.gateway(0).callersPort;
    const load = await QuietLoad.open(port, QUIET_SESSION_COUNT, seed, rate);
    const flood = await Flood.start([{ host: '127.0.0.1', port }], seed + 1, FLOOD_PROGRAM);
    try {
      await load.run(WARM_UP_MS);
      const phases = await runPhases(load, flood, FLOODS, options);
      const { promotions } = await cluster.platform.log();
      // On a busy machine the primary may change, and the quiet tenant is refused meanwhile.
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
