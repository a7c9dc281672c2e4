/** Flags of `npm run fuzz`. */
import { z } from 'zod';
import { MeadowstackError } from '../../src/core/errors.js';
import { readFlags } from '../flags.js';
import { findScenario, SCENARIOS } from '../simulation/registry.js';
import type { Scenario } from '../simulation/scenario.js';

/** Unknown or invalid flags. */
export class FuzzUsageError extends MeadowstackError {
  readonly code = 'MS-FUZZ-USAGE';
}

export interface FuzzOptions {
  readonly scenarios: readonly Scenario[];
  /** First seed; undefined: a random one. */
  readonly seed: number | undefined;
  readonly durationMs: number;
  /** Maximum number of seeds; undefined: limited by the duration only. */
  readonly seeds: number | undefined;
  readonly disabledMechanisms: ReadonlySet<string>;
}

const MS_PER_SECOND = 1000;

export const FUZZ_HELP = `npm run fuzz -- [flags]

  --seconds N        stop after this time                         [10]
  --seed N           first seed; later ones count up              [random]
  --seeds N          stop after this many seeds
  --scenario NAME    run this scenario only                       [all]
  --without NAME,... mechanisms to disable, to check that their absence is detected

Scenarios, with the mechanisms that can be disabled:
${SCENARIOS.map(({ name, summary, mechanisms }) => {
  return `  ${name}: ${summary}\n    ${mechanisms.join(', ')}`;
}).join('\n')}

Exit code 0: no violation; 1: a violation; 2: wrong flags.
`;

const schema = z.strictObject({
  seconds: z.coerce.number().positive().default(10),
  seed: z.coerce.number().int().min(0).optional(),
  seeds: z.coerce.number().int().min(1).optional(),
  scenario: z.string().optional(),
  without: z.string().default(''),
});

/** Flags without a value. */
const FLAGS_WITHOUT_VALUE: readonly string[] = [];

/** @throws FuzzUsageError */
export function parseFuzzArguments(args: readonly string[]): FuzzOptions {
  const flags = schema.safeParse(
    readFlags(args, Object.keys(schema.shape), FLAGS_WITHOUT_VALUE, FuzzUsageError),
  );
  if (!flags.success) throw new FuzzUsageError(z.prettifyError(flags.error));
  const { seconds, seed, seeds, scenario, without } = flags.data;
  const scenarios = selectScenarios(scenario);
  const disabledNames = without.split(',').filter((name) => name !== '');
  const known = new Set(scenarios.flatMap(({ mechanisms }) => mechanisms));
  const unknown = disabledNames.find((name) => !known.has(name));
  if (unknown !== undefined) throw new FuzzUsageError(`no mechanism ${unknown}`);
  return {
    scenarios,
    seed,
    seeds,
    durationMs: seconds * MS_PER_SECOND,
    disabledMechanisms: new Set(disabledNames),
  };
}

function selectScenarios(name: string | undefined): readonly Scenario[] {
  if (name === undefined) return SCENARIOS;
  const scenario = findScenario(name);
  if (scenario === undefined) throw new FuzzUsageError(`no scenario ${name}`);
  return [scenario];
}
