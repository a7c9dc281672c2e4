/**
 * Test policies: baselines, and variants with one mechanism disabled, for measurements. Never for
 * production: every policy but `ours` gives up guarantees or performance, so that the effect of
 * their absence can be measured.
 */
import {
  ALL_MECHANISMS,
  type DatabaseGroupOptions,
  type Mechanism,
} from '../core/group/options.js';

/** Options that a policy changes in every group. */
export type GroupPolicy = Pick<DatabaseGroupOptions, 'routing' | 'disabledMechanisms'>;

/** Name of the policy that changes nothing. */
export const DEFAULT_POLICY = 'ours';
const WITHOUT_PREFIX = 'without-';

const BASELINES: ReadonlyMap<string, GroupPolicy> = new Map<string, GroupPolicy>([
  [DEFAULT_POLICY, {}],
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

/** Returns the options of the named policy; undefined if there is no such policy. */
export function findGroupPolicy(name: string): GroupPolicy | undefined {
  const baseline = BASELINES.get(name);
  if (baseline !== undefined) return baseline;
  const mechanism = ALL_MECHANISMS.find((candidate) => name === WITHOUT_PREFIX + candidate);
  return mechanism === undefined ? undefined : { disabledMechanisms: new Set([mechanism]) };
}
