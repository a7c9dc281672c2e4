/**
 * `npm run bench -- isolation`: one tenant floods a group that another one uses, in short phases that
 * alternate with phases without a flood; with `--outage` also a primary that is killed. Prints a table; `--json FILE` writes the figures.
 */
import { z } from 'zod';
import type { Phase } from './figures.js';
import { FLOOD_KINDS, Flood } from './flood.js';
import {
  type IsolationBench,
  isolationFlags,
  isolationOptions,
  playPhases,
  runIsolation,
} from './frame.js';
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

const schema = isolationOptions.extend({
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
    ...isolationFlags({ rate: 40, statementMs: 20 }),
    floods: { type: 'string', default: FLOOD_KINDS.join(',') },
    outage: { type: 'boolean', default: false },
  },
  play,
  more: async (options) => ({ outage: await runOutage(options) }),
};

/** Gives the exit code: 0 within the bar, 1 beyond it, 2 wrong flags. */
export function runIsolationBench(args: readonly string[]): Promise<number> {
  return runIsolation(BENCH, args);
}

async function runOutage(options: SharedGroupOptions): Promise<readonly OutageWindow[]> {
  if (!options.outage) return [];
  const { seed, rate: ratePerSecond } = options;
  return measureOutage({
    seed,
    ratePerSecond,
    statementMs: options['statement-ms'],
    slots: SLOTS,
  });
}

async function play(options: SharedGroupOptions): Promise<readonly Phase[]> {
  const { seed, rate, floods } = options;
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
    try {
      await load.run(WARM_UP_MS);
      return await playPhases(load, flood, floods, options);
    } finally {
      await flood.stop();
      await sessions.close();
    }
  } finally {
    await cluster.stop();
  }
}
