/**
 * `npm run bench -- isolation`: a noisy tenant floods a database group that a quiet tenant also uses.
 * Short phases with a flood alternate with phases without one. With `--outage`, a separate run kills a
 * primary. Prints a table; `--json FILE` writes the figures.
 */
import { z } from 'zod';
import type { Phase } from './figures.js';
import { FLOOD_KINDS, Flood } from './flood.js';
import {
  createIsolationFlags,
  type IsolationBench,
  isolationOptionsSchema,
  runIsolationCommand,
  runPhases,
} from './frame.js';
import { measureOutage, type OutageWindow } from './outage.js';
import { QuietLoad } from './quiet-load.js';
import { GROUP, QUIET_TENANT, startSharedCluster } from './shared-cluster.js';
import { TenantSessions } from './tenant-sessions.js';

const USAGE = `npm run bench -- isolation [options]
  --seed N          seed of the load (default 1)
  --cycles N        times that each phase is run (default 8)
  --phase S         length of a phase in seconds (default 4)
  --rate R          requests per second of the quiet tenant (default 40)
  --statement-ms N  service time of a statement on an instance (default 20)
  --floods NAMES    kinds of flood, of ${FLOOD_KINDS.join(',')} (default all)
  --outage          also kill a primary, in a separate run, and count the requests sent to databases
  --json FILE       write the figures to this file`;

const SLOTS_PER_INSTANCE = 5;
const DISABLING_ELECTION_TIMEOUT_MS = 10_000;
const QUIET_SESSION_COUNT = 40;
const WARM_UP_MS = 3000;

const schema = isolationOptionsSchema.extend({
  floods: z
    .string()
    .transform((names) => names.split(','))
    .pipe(z.array(z.enum(FLOOD_KINDS))),
  outage: z.boolean(),
});
type SharedGroupOptions = z.output<typeof schema>;

const BENCH: IsolationBench<SharedGroupOptions> = {
  name: 'isolation',
  usage: USAGE,
  schema,
  flags: {
    ...createIsolationFlags({ rate: 40, statementMs: 20 }),
    floods: { type: 'string', default: FLOOD_KINDS.join(',') },
    outage: { type: 'boolean', default: false },
  },
  runAllPhases,
  measureFurther: async (options) => ({ outage: await measureOptionalOutage(options) }),
};

/** Resolves with the exit code: 0 if p99 rises within the limit, 1 if beyond it, 2 for invalid flags. */
export function runIsolationBench(args: readonly string[]): Promise<number> {
  return runIsolationCommand(BENCH, args);
}

async function measureOptionalOutage(
  options: SharedGroupOptions,
): Promise<readonly OutageWindow[]> {
  if (!options.outage) return [];
  const { seed, rate: ratePerSecond } = options;
  return measureOutage({
    seed,
    ratePerSecond,
    statementMs: options['statement-ms'],
    slots: SLOTS_PER_INSTANCE,
  });
}

async function runAllPhases(options: SharedGroupOptions): Promise<readonly Phase[]> {
  const { seed, rate, floods } = options;
  const statementMs = options['statement-ms'];
  const cluster = await startSharedCluster({
    seed,
    statementMs,
    slots: SLOTS_PER_INSTANCE,
    electionTimeoutMs: DISABLING_ELECTION_TIMEOUT_MS,
  });
  try {
    const proxies = cluster.callerAddresses;
    const sessions = await TenantSessions.open(proxies, QUIET_TENANT, GROUP, QUIET_SESSION_COUNT);
    const flood = await Flood.start(proxies, seed + 1);
    const load = new QuietLoad(sessions, seed, rate);
    try {
      await load.run(WARM_UP_MS);
      return await runPhases(load, flood, floods, options);
    } finally {
      await flood.stop();
      await sessions.close();
    }
  } finally {
    await cluster.stop();
  }
}
