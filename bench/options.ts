/** Flags of `npm run bench`. */
import { z } from 'zod';
import { MeadowstackError } from '../src/core/errors.js';
import { TEST_POLICIES } from '../src/node/test-policy.js';
import { DEPLOYMENTS } from './deployments.js';
import type { Fault } from './faults/fault.js';
import { FAULTS, findFault } from './faults/registry.js';
import { readFlags } from './flags.js';
import type { BenchOptions } from './run/run-bench.js';

export const ALL_PAIRS = 'all-pairs';

/** The flags are invalid. */
export class BenchUsageError extends MeadowstackError {
  readonly code = 'MS-BENCH-USAGE';
}

/** The parsed command line. */
export interface BenchCommand {
  readonly run: BenchOptions;
  /** True to run the fault matrix instead of a single run. */
  readonly allPairs: boolean;
  readonly jsonFile: string | undefined;
  readonly htmlFile: string | undefined;
  readonly markdownFile: string | undefined;
}

const MS_PER_SECOND = 1_000;

export const BENCH_HELP = `npm run bench -- --deployment bureau|trust --seed N --duration SECONDS [flags]

  --deployment NAME   bureau or trust                              [bureau]
  --seed N            seed of schedule, keys and faults            [1]
  --duration SECONDS  duration of the measured part                [20]
  --warm-up SECONDS   duration of the warm-up, not in the figures  [2]
  --fault NAME,...    faults at seeded times, or ${ALL_PAIRS}
  --proxies N         number of proxy processes                    [3]
  --policy NAME       ${TEST_POLICIES.slice(0, 3).join(', ')} or without-MECHANISM  [ours]
  --rate N            requests per second, over all groups         [300]
  --sessions N        number of callers' sessions                  [240]
  --statement-ms N    service time of a statement on an instance   [4]
  --election-ms N     election timeout of a group                  [300]
  --no-delays         run without the deployment's network delays
  --json FILE         write the figures to this file
  --html FILE         write a page with plots to this file
  --markdown FILE     write the table of ${ALL_PAIRS} to this file

Faults:
${FAULTS.map(({ name, summary }) => `  ${name.padEnd(26)} ${summary}`).join('\n')}

Policies without one mechanism:
  ${TEST_POLICIES.slice(3).join('\n  ')}
`;

const integer = z.coerce.number().int();
const schema = z.strictObject({
  deployment: z.enum(['bureau', 'trust']).default('bureau'),
  seed: integer.min(0).default(1),
  duration: z.coerce.number().positive().default(20),
  'warm-up': z.coerce.number().min(0).default(2),
  fault: z.string().default(''),
  proxies: integer.min(1).default(3),
  policy: z.enum(TEST_POLICIES).default('ours'),
  rate: z.coerce.number().positive().default(300),
  sessions: integer.min(1).default(240),
  'statement-ms': z.coerce.number().min(0).default(4),
  'election-ms': integer.min(20).default(300),
  'no-delays': z.boolean().default(false),
  json: z.string().optional(),
  html: z.string().optional(),
  markdown: z.string().optional(),
});

/** Flags that take no value. */
const BOOLEAN_FLAGS: readonly string[] = ['no-delays'];

/** @throws BenchUsageError */
export function parseBenchArguments(args: readonly string[]): BenchCommand {
  const flags = schema.safeParse(
    readFlags(args, Object.keys(schema.shape), BOOLEAN_FLAGS, BenchUsageError),
  );
  if (!flags.success) throw new BenchUsageError(z.prettifyError(flags.error));
  const { data } = flags;
  const allPairs = data.fault === ALL_PAIRS;
  const run: BenchOptions = {
    deployment: DEPLOYMENTS[data.deployment],
    seed: data.seed,
    durationMs: data.duration * MS_PER_SECOND,
    warmUpMs: data['warm-up'] * MS_PER_SECOND,
    proxies: data.proxies,
    policy: data.policy,
    faults: allPairs ? [] : parseFaults(data.fault),
    requestsPerSecond: data.rate,
    sessions: data.sessions,
    statementMs: data['statement-ms'],
    electionTimeoutMs: data['election-ms'],
    hasNetworkDelays: !data['no-delays'],
  };
  return {
    run,
    allPairs,
    jsonFile: data.json,
    htmlFile: data.html,
    markdownFile: data.markdown,
  };
}

function parseFaults(list: string): Fault[] {
  const names = list.split(',').filter((name) => name !== '');
  return names.map(findFault);
}
