/**
 * Guards against a commit that a handover loses: votes reach the instances at different times while requests run. A group
 * whose primary goes on committing after its vote loses what it acknowledges, whatever the proxy confirms.
 */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type Handover, type RunPlan, simulate } from '../../bench/simulation/group-run.js';
import { findViolations } from '../../bench/simulation/history-checks.js';
import { faultOn, startMs } from '../support/group-plans.js';

const FAST_CHECK_SEED = 20_261_203;
const RUNS = 100;

const handover: fc.Arbitrary<Handover> = fc.record({
  candidate: fc.constantFrom<Handover['candidate'][]>(0, 1, 2),
  at: startMs,
});

const fault = faultOn(0, 1, 2, 'primary');

const plan: fc.Arbitrary<RunPlan> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  faults: fc.array(fault, { maxLength: 2 }),
  handovers: fc.array(handover, { minLength: 1, maxLength: 3 }),
  mode: fc.constant('received' as const),
  votersReportTimeline: fc.boolean(),
});

test('handovers lose no acknowledged write, under any schedule of faults', () => {
  fc.assert(
    fc.property(plan, (chosen) => {
      const { history } = simulate(chosen);
      assert.equal(findViolations(history), []);
      assert.ok(history.records.length > 0);
    }),
    { seed: FAST_CHECK_SEED, numRuns: RUNS },
  );
});

test('primaries that commit after their vote lose acknowledged writes', () => {
  const plans = fc.sample(plan, { seed: FAST_CHECK_SEED, numRuns: RUNS });
  const violations = plans.flatMap((chosen) => {
    return findViolations(simulate({ ...chosen, votersKeepWriting: true }).history);
  });
  assert.ok(violations.some((violation) => violation.startsWith('ackedWritesLast')));
});

test.run();
