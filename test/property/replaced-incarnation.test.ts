/**
 * Guards against the loss of acknowledged commits because a new incarnation of an instance responds for the last one.
 * One replica receives nothing for a while. The other, which has every commit, starts again without its log and can't
 * reach the store, and the primary crashes. While the store has the registration of the replica's last incarnation, the
 * empty log must not count as that incarnation's: the replica that is behind would be promoted.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import type { SimulatedInstance } from '../support/promotion/group.js';
import { Steps } from '../support/promotion/steps.js';

const SEEDS = Array.from({ length: 12 }, (_, index) => index + 1);
const BEHIND_MS = 1500;
/** Three heartbeats without one expire a registration. */
const REGISTRATION_EXPIRES_MS = 3600;
const PRIMARY_RETURNS_MS = 7000;
const RECOVERY_MS = 8000;

interface Outcome {
  readonly violations: readonly string[];
  readonly hasWritesAtEnd: boolean;
  /** Time from the primary's crash to the end of its replacement; undefined if it was not replaced by then. */
  readonly replacedAfterMs: number | undefined;
}

interface Plan {
  readonly returnsAfterMs?: number;
  /** Whether the replica that has every commit starts again without its log. */
  readonly startsAgain: boolean;
}

function play(
  seed: number,
  { startsAgain, returnsAfterMs }: Plan,
  disabled: readonly PromotionMechanism[] = [],
): Outcome {
  const steps = new Steps(seed, disabled, { hasIncarnations: true });
  const { simulation } = steps;
  const { group } = simulation;
  const [primary, current, behind] = group.instances as [
    SimulatedInstance,
    SimulatedInstance,
    SimulatedInstance,
  ];
  behind.notReceivingUntil = Number.POSITIVE_INFINITY;
  simulation.run(BEHIND_MS);
  if (startsAgain) group.startNewIncarnation(current);
  group.crash(primary);
  const crashedAt = simulation.clock.now;
  if (startsAgain) {
    simulation.clock.after(REGISTRATION_EXPIRES_MS, () => {
      current.isRegistered = false;
    });
  }
  const isReplaced = (): boolean => group.primary !== primary;
  simulation.runUntil(isReplaced, 5, returnsAfterMs ?? PRIMARY_RETURNS_MS);
  const replacedAfterMs = isReplaced() ? simulation.clock.now - crashedAt : undefined;
  group.restart(primary);
  simulation.run(RECOVERY_MS);
  const commits = group.commits;
  simulation.run(RECOVERY_MS);
  return {
    ...{ violations: simulation.violations, replacedAfterMs },
    hasWritesAtEnd: group.commits > commits,
  };
}

test('an empty log of a new incarnation does not count as the log of the last one', () => {
  for (const seed of SEEDS) {
    const { violations, hasWritesAtEnd } = play(seed, { startsAgain: true });
    assert.equal(violations, [], `seed ${seed}`);
    assert.ok(hasWritesAtEnd, `seed ${seed}: writes after the return of the primary`);
  }
});

test('a replica that has every commit is promoted without a wait, though the other one is behind', () => {
  for (const seed of SEEDS) {
    const { violations, replacedAfterMs = Number.POSITIVE_INFINITY } = play(seed, {
      startsAgain: false,
    });
    assert.equal(violations, [], `seed ${seed}`);
    assert.ok(replacedAfterMs < REGISTRATION_EXPIRES_MS, `seed ${seed}: ${replacedAfterMs} ms`);
  }
});

/** The simulation knows each commit's own position, so that each mechanism suffices; gateways know only bounds of it. */
test('each position that nodes report of acknowledged commits keeps them, and without both they are lost', () => {
  const lossesWithout = (seed: number, disabled: readonly PromotionMechanism[]): number =>
    play(seed, { startsAgain: true }, disabled).violations.length;
  for (const seed of SEEDS) {
    assert.is(
      lossesWithout(seed, ['acknowledged-commits']),
      0,
      `seed ${seed}: the replicated position`,
    );
    assert.is(lossesWithout(seed, ['replicated-commits']), 0, `seed ${seed}: the end of the log`);
    assert.ok(
      lossesWithout(seed, ['acknowledged-commits', 'replicated-commits']) > 0,
      `seed ${seed}`,
    );
  }
});

test.run();
