/** Disables one safety mechanism at a time and expects the history checks to report a violation. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type Fault,
  type FaultName,
  type RunPlan,
  simulate,
} from '../../bench/simulation/group-run.js';
import { findViolations } from '../../bench/simulation/history-checks.js';
import type { Mechanism } from '../../src/core/group/options.js';

const SEEDS = [11, 12, 13, 14, 15, 16];

interface MechanismCheck {
  readonly without: Mechanism;
  readonly faults: readonly Fault[];
  /** The check that must report a violation. */
  readonly expectedCheck: string;
}

function fault(name: FaultName, target: Fault['target'], at = 400, durationMs = 600): Fault {
  return { name, target, at, durationMs };
}

const CHECKS: readonly MechanismCheck[] = [
  {
    without: 'confirmation',
    faults: [
      fault('cut-from-peers', 'primary'),
      fault('cut-from-owner', 1),
      fault('cut-from-owner', 2),
    ],
    expectedCheck: 'noAckFromDeposedPrimary',
  },
  {
    without: 'session-position',
    faults: [fault('lag', 1)],
    expectedCheck: 'sessionsSeeTheirWrites',
  },
  {
    without: 'staleness-bound',
    faults: [fault('lag', 1), fault('lag', 2)],
    expectedCheck: 'readsAreFreshEnough',
  },
  { without: 'at-most-once', faults: [], expectedCheck: 'atMostOnce' },
  { without: 'slot-limit', faults: [], expectedCheck: 'limitsKept' },
  { without: 'connection-budget', faults: [], expectedCheck: 'limitsKept' },
  { without: 'leaving', faults: [fault('leave', 1)], expectedCheck: 'limitsKept' },
  { without: 'deadline', faults: [fault('isolate', 'primary')], expectedCheck: 'noneHangs' },
  { without: 'tenant-reset', faults: [], expectedCheck: 'limitsKept' },
];

function violationsOver(plan: Omit<RunPlan, 'seed'>): string[] {
  return SEEDS.flatMap((seed) => findViolations(simulate({ ...plan, seed }).history));
}

for (const { without, faults, expectedCheck } of CHECKS) {
  const plan = { faults, mode: 'received' as const, votersReportTimeline: false };

  test(`without ${without}, ${expectedCheck} reports a violation; with it, nothing does`, () => {
    assert.equal(violationsOver(plan), []);
    const violations = violationsOver({ ...plan, disabledMechanisms: new Set([without]) });
    assert.ok(violations.some((violation) => violation.startsWith(expectedCheck)));
  });
}

test('mode term: no acknowledgement by a replaced primary if votes show in the timeline', () => {
  const faults = [fault('cut-from-peers', 'primary'), fault('pause', 'primary', 900, 300)];
  const plan: Omit<RunPlan, 'seed'> = { faults, mode: 'term', votersReportTimeline: true };
  const violations = violationsOver(plan);
  assert.not.ok(violations.some((one) => one.startsWith('noAckFromDeposedPrimary')));
});

test.run();
