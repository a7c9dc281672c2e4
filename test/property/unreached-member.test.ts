/**
 * Guards against the loss of acknowledged commits beside a departed member that is back where the leader can't reach it.
 * A replica crashes and is removed from the members. It comes back, cut off from the store and from some nodes, and its
 * primary counts it. The other replica receives nothing, and the primary crashes. The other replica lacks commits that
 * callers have been told of, so it must not be promoted while an instance that has them may respond.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import type { SimulatedInstance } from '../support/promotion/group.js';
import { LONG_MS, Steps } from '../support/promotion/steps.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const REGISTRATION_EXPIRES_MS = 3600;
const BACK_MS = 1500;
const BEHIND_MS = 2000;
const PRIMARY_RETURNS_MS = 7000;
/** Time after which a member that does not respond counts as dead, and what a change takes with several leaders. */
const GIVEN_UP_AFTER_MS = 15_000;
const CHANGE_MS = 15_000;
const RECOVERY_MS = 8000;

interface Plan {
  readonly hasIncarnations: boolean;
  /** The nodes that can't reach the member: the leader alone, all but one, or all. */
  readonly unreachedBy: 'leader' | 'all but one' | 'all';
  /** Another node leads before the primary crashes. */
  readonly isLeaderReplaced?: boolean;
  /** Neither the primary nor the member is seen again. */
  readonly areLost?: boolean;
}

interface Outcome {
  readonly violations: readonly string[];
  /** Time from the primary's crash to the end of its replacement; undefined if it was not replaced by then. */
  readonly replacedAfterMs: number | undefined;
  readonly hasWritesAtEnd: boolean;
  readonly eventLog: string;
}

function play(seed: number, plan: Plan, disabled: readonly PromotionMechanism[] = []): Outcome {
  const steps = new Steps(seed, disabled, { hasIncarnations: plan.hasIncarnations });
  const { simulation } = steps;
  const { group, network, nodes } = simulation;
  const [primary, returning, behind] = group.instances as [
    SimulatedInstance,
    SimulatedInstance,
    SimulatedInstance,
  ];
  group.crash(returning);
  simulation.run(REGISTRATION_EXPIRES_MS);
  steps.until('the member is removed', () => steps.hasDeparted(returning));
  const { leader } = steps;
  const unreaching = {
    leader: [leader],
    'all but one': nodes.slice(1),
    all: nodes,
  }[plan.unreachedBy];
  for (const { name } of unreaching) network.cut(returning.address, name, LONG_MS);
  returning.isRegistered = false;
  group.restart(returning);
  simulation.run(BACK_MS);
  behind.notReceivingUntil = simulation.clock.now + LONG_MS;
  if (plan.isLeaderReplaced === true) {
    leader.kill();
    steps.until('another leader', () => simulation.leader !== undefined);
    leader.start();
  }
  simulation.run(BEHIND_MS);
  group.crash(primary);
  if (plan.areLost === true) group.crash(returning);
  const crashedAt = simulation.clock.now;
  const isReplaced = (): boolean => group.primary !== primary;
  const timeoutMs = plan.areLost === true ? GIVEN_UP_AFTER_MS + CHANGE_MS : PRIMARY_RETURNS_MS;
  simulation.runUntil(isReplaced, 5, timeoutMs);
  const replacedAfterMs = isReplaced() ? simulation.clock.now - crashedAt : undefined;
  if (plan.areLost === true) group.join();
  else group.restart(primary);
  behind.notReceivingUntil = 0;
  simulation.run(RECOVERY_MS);
  const { commits } = group;
  simulation.run(RECOVERY_MS);
  return {
    ...{ violations: simulation.violations, replacedAfterMs, eventLog: simulation.eventLog },
    hasWritesAtEnd: group.commits > commits,
  };
}

for (const hasIncarnations of [false, true]) {
  for (const unreachedBy of ['leader', 'all but one', 'all'] as const) {
    for (const isLeaderReplaced of [false, true]) {
      const plan = { hasIncarnations, unreachedBy, isLeaderReplaced };
      test(`no acknowledged commit is lost: ${JSON.stringify(plan)}`, () => {
        for (const seed of SEEDS) {
          const { violations, hasWritesAtEnd, eventLog } = play(seed, plan);
          assert.equal(violations, [], `seed ${seed}\n${eventLog}`);
          assert.ok(hasWritesAtEnd, `seed ${seed}: writes after the return of the primary`);
        }
      });
    }
  }
}

test('a service whose missing commits are gone for good has writes again after the time in which a member counts as dead', () => {
  for (const seed of SEEDS) {
    const plan = { hasIncarnations: false, unreachedBy: 'all', areLost: true } as const;
    const {
      replacedAfterMs = Number.POSITIVE_INFINITY,
      hasWritesAtEnd,
      eventLog,
    } = play(seed, plan);
    assert.ok(replacedAfterMs >= GIVEN_UP_AFTER_MS, `seed ${seed}: ${replacedAfterMs} ms`);
    assert.ok(hasWritesAtEnd, `seed ${seed}\n${eventLog}`);
  }
});

test('without the position that replicas have received, commits are lost', () => {
  const plan = { hasIncarnations: false, unreachedBy: 'leader' } as const;
  const outcomes = SEEDS.map((seed) => play(seed, plan, ['replicated-commits']));
  assert.ok(outcomes.every(({ violations }) => violations.some((one) => one.startsWith('LOST'))));
});

test.run();
