/** Flags of `npm run scale`. */
import { z } from 'zod';
import { readFlags } from '../bench/flags.js';
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../src/core/units.js';
import { ScaleUsageError } from './errors.js';
import { FAULT_SCENARIOS, type FaultScenario, findFault } from './faults.js';
import type { ListReaders } from './hollow-machine-list.js';

export const SCALE_HELP = `npm run scale -- --nodes 50,100,200,400 --json FILE [flags]

  --nodes N,...       sizes of the fleet, run one after the other       [50,100,200,400]
  --seed N            seed of locations, delays, faults and publishes   [1]
  --duration SECONDS  length of the steady phase and of each fault      [60]
  --tenants N         number of tenants in the configuration            [200]
  --faults NAME,...   faults to run, or none                            [all]
  --list-readers WHO  who polls the machine list: two-a-zone, every-node [two-a-zone]
  --components        also measure single components, up to the design size
  --real N            also measure N real proxy processes without callers [0]
  --json FILE         write the figures to FILE

Faults: ${FAULT_SCENARIOS.map(({ name }) => name).join(', ')}
`;

const ALL_FAULTS = FAULT_SCENARIOS.map(({ name }) => name).join(',');
const MIN_NODES = 18;
const MAX_REAL_PROXIES = 60;

const schema = z.strictObject({
  nodes: z.string().default('50,100,200,400'),
  seed: z.coerce.number().int().min(0).default(1),
  duration: z.coerce.number().positive().default(60),
  tenants: z.coerce.number().int().min(1).default(200),
  faults: z.string().default(ALL_FAULTS),
  'list-readers': z.enum(['two-a-zone', 'every-node']).default('two-a-zone'),
  components: z.boolean().default(false),
  real: z.coerce.number().int().min(0).max(MAX_REAL_PROXIES).default(0),
  json: z.string().optional(),
});
const sizesSchema = z.array(z.coerce.number().int().min(MIN_NODES)).min(1);

export interface ScaleOptions {
  readonly sizes: readonly number[];
  readonly seed: number;
  readonly durationMs: Milliseconds;
  readonly tenants: number;
  readonly faults: readonly FaultScenario[];
  readonly listReaders: ListReaders;
  readonly components: boolean;
  /** Real proxy processes; 0 for none. */
  readonly realProxies: number;
  readonly jsonFile: string | undefined;
}

const BOOLEAN_FLAGS: readonly string[] = ['components'];

/** @throws ScaleUsageError */
export function parseScaleArguments(args: readonly string[]): ScaleOptions {
  const flags = schema.safeParse(
    readFlags(args, Object.keys(schema.shape), BOOLEAN_FLAGS, ScaleUsageError),
  );
  if (!flags.success) throw new ScaleUsageError(z.prettifyError(flags.error));
  const { nodes, seed, duration, tenants, faults, components, real, json } = flags.data;
  const sizes = sizesSchema.safeParse(nodes.split(','));
  if (!sizes.success) throw new ScaleUsageError(`--nodes: ${z.prettifyError(sizes.error)}`);
  return {
    sizes: sizes.data,
    seed,
    durationMs: duration * MILLISECONDS_PER_SECOND,
    tenants,
    faults: faults === 'none' ? [] : faults.split(',').map(findFault),
    components,
    listReaders: flags.data['list-readers'],
    realProxies: real,
    jsonFile: json,
  };
}
