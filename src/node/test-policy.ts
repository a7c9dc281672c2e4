/**
 * Baselines and ablations of the bench, by the name of a policy. Never for production: all but
 * `ours` give promises or performance away, so that their absence can be measured.
 */
import {
  ALL_MECHANISMS,
  type DatabaseGroupOptions,
  type Mechanism,
} from '../core/group/options.js';

/** What a policy changes in the options of every group. */
export type GroupPolicy = Pick<DatabaseGroupOptions, 'routing' | 'disabledMechanisms'>;

/** Name of the policy that is no baseline. */
export const OUR_POLICY = 'ours';
const WITHOUT_PREFIX = 'without-';

const BASELINES: ReadonlyMap<string, GroupPolicy> = new Map<string, GroupPolicy>([
  [OUR_POLICY, {}],
  ['primary-only', { routing: 'primary-only' }],
  [
    'any-replica',
    {
      routing: 'any-replica',
      disabledMechanisms: new Set<Mechanism>(['session-position', 'staleness-bound']),
    },
  ],
]);

/** Names of all policies: the baselines, and one without each mechanism. */
export const TEST_POLICIES: readonly string[] = [
  ...BASELINES.keys(),
  ...ALL_MECHANISMS.map((mechanism) => WITHOUT_PREFIX + mechanism),
];

/** Options of the named policy; undefined if there is none of this name. */
export function groupPolicyOf(name: string): GroupPolicy | undefined {
  const baseline = BASELINES.get(name);
  if (baseline !== undefined) return baseline;
  const mechanism = ALL_MECHANISMS.find((candidate) => name === WITHOUT_PREFIX + candidate);
  return mechanism === undefined ? undefined : { disabledMechanisms: new Set([mechanism]) };
}
