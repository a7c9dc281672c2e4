/**
 * Without each of these mechanisms of the promotion state machine, some fixed seed has a violation. `settled-calls` is
 * missing, since no schedule is known that needs it.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import { type FaultKind, PromotionSimulation } from '../support/promotion/simulation.js';
import { STORE } from '../support/promotion/store.js';

const FAULTS_MS = 30_000;

interface Mutation {
  readonly mechanism: PromotionMechanism;
  /** Matches the violation that must be reported. */
  readonly expectedViolation: RegExp;
  readonly seeds: readonly number[];
  /** Injects the faults that the mechanism protects against. */
  injectFaults(simulation: PromotionSimulation): void;
}

function randomFaults(kinds?: readonly FaultKind[]): Mutation['injectFaults'] {
  return (simulation) => simulation.injectFaults(FAULTS_MS, kinds);
}

/** A leader is cut off from the store during an outage of the promotion endpoint, and goes on calling it. */
function cutOffLeaderDuringChange(simulation: PromotionSimulation): void {
  simulation.run(1000);
  const { group, platform, network, clock, leader } = simulation;
  group.crash(group.primary);
  platform.downUntil = clock.now + 3300;
  simulation.run(1300);
  network.cut(leader?.name ?? '', STORE, 8000);
}

const MUTATIONS: readonly Mutation[] = [
  {
    mechanism: 'acknowledgements',
    expectedViolation: /^(ONE|STALE|LOST)/,
    seeds: [1, 5, 6, 2, 3, 4],
    injectFaults: randomFaults([
      'primary cut from leader',
      'store watches deaf',
      'primary draining',
    ]),
  },
  {
    mechanism: 'hold',
    expectedViolation: /^LOST/,
    seeds: [21, 24, 73, 7, 8, 12],
    injectFaults: randomFaults(),
  },
  {
    mechanism: 'permission-lapse',
    expectedViolation: /^STALE/,
    seeds: [2, 9, 26, 35, 46, 71, 88, 90],
    injectFaults: randomFaults(),
  },
  {
    mechanism: 'own-clock',
    expectedViolation: /^ONE: token/,
    seeds: [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12],
    injectFaults: cutOffLeaderDuringChange,
  },
];

function violations(
  { seeds, injectFaults }: Mutation,
  disabledMechanisms: readonly PromotionMechanism[],
): string[] {
  return seeds.flatMap((seed) => {
    const simulation = new PromotionSimulation({ seed, disabledMechanisms });
    simulation.run(3000);
    injectFaults(simulation);
    simulation.waitForFaultsToEnd();
    return simulation.violations;
  });
}

for (const mutation of MUTATIONS) {
  const { mechanism, expectedViolation } = mutation;
  test(`without ${mechanism} there is a violation`, () => {
    const found = violations(mutation, [mechanism]);
    assert.ok(
      found.some((violation) => expectedViolation.test(violation)),
      found.join('\n'),
    );
  });

  test(`with ${mechanism} the same schedules have no violation`, () => {
    assert.equal(violations(mutation, []), []);
  });
}

test.run();
