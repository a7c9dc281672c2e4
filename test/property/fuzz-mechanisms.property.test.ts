/**
 * Disables one mechanism at a time in the scenarios of `npm run fuzz` and expects a violation within a bounded number of
 * seeds. The table has every mechanism of every scenario.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { findScenario, SCENARIOS } from '../../bench/simulation/registry.js';
import { allEventIndexes, checkNameOf, type Scenario } from '../../bench/simulation/scenario.js';

const FIRST_SEED = 1;
const MAX_SEEDS = 60;

/** Scenario, disabled mechanism, check that must report a violation. */
const EXPECTATIONS: readonly (readonly [string, string, string])[] = [
  ['group', 'confirmation', 'ackedWritesLast'],
  ['group', 'session-position', 'sessionsSeeTheirWrites'],
  ['group', 'staleness-bound', 'readsAreFreshEnough'],
  ['group', 'at-most-once', 'atMostOnce'],
  ['group', 'slot-limit', 'limitsKept'],
  ['group', 'connection-budget', 'limitsKept'],
  ['group', 'leaving', 'limitsKept'],
  ['group', 'deadline', 'noneHangs'],
  ['group', 'retry-budget', 'retriesWithinBudget'],
  ['group', 'tenant-reset', 'limitsKept'],
  ['fleet', 'gateway-session-position', 'sessionReadsOwnWrites'],
  ['fleet', 'once-claim', 'atMostOnce'],
  ['fleet', 'once-position', 'sessionReadsOwnWrites'],
  ['fleet', 'no-resend', 'atMostOnce'],
  ['fleet', 'drain', 'plannedStopCutsNothing'],
  ['fleet', 'confirmation', 'noAckByReplacedPrimary'],
  ['fleet', 'session-position', 'sessionReadsOwnWrites'],
  ['fleet', 'staleness-bound', 'readsAreFreshEnough'],
  ['fleet', 'at-most-once', 'atMostOnce'],
  ['fleet', 'slot-limit', 'limitsKept'],
  ['fleet', 'connection-budget', 'limitsKept'],
  ['fleet', 'leaving', 'limitsKept'],
  ['fleet', 'deadline', 'noneHangs'],
  ['fleet', 'tenant-reset', 'limitsKept'],
  ['sessions', 'unknown-session', 'homeNodesRemember'],
  ['sessions', 'home-quorum', 'homeNodesRemember'],
  ['sessions', 'home-completeness', 'homeNodesRemember'],
  ['configuration', 'revision-order', 'neverReverts'],
  ['configuration', 'gap-check', 'neverTorn'],
  ['configuration', 'anti-entropy', 'configurationInForce'],
];

/** The first seed with a violation of the check; undefined if there is none up to `MAX_SEEDS`. */
function findFirstViolatingSeed(
  scenario: Scenario,
  without: string,
  check: string,
): number | undefined {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + MAX_SEEDS; seed += 1) {
    const plan = scenario.plan(seed, new Set([without]));
    const { violations } = plan.run(allEventIndexes(plan));
    if (violations.some((violation) => checkNameOf(violation) === check)) return seed;
  }
  return undefined;
}

for (const [name, without, check] of EXPECTATIONS) {
  test(`${name} without ${without}: ${check} reports a violation`, () => {
    const scenario = findScenario(name);
    assert.ok(scenario);
    assert.is.not(scenario && findFirstViolatingSeed(scenario, without, check), undefined);
  });
}

test('the table has every mechanism that a scenario can disable', () => {
  const listed = EXPECTATIONS.map(([name, without]) => `${name} ${without}`);
  const existing = SCENARIOS.flatMap(({ name, mechanisms }) => {
    return mechanisms.map((mechanism) => `${name} ${mechanism}`);
  });
  assert.equal(new Set(listed), new Set(existing));
});

test.run();
