import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type RunPlan, simulate } from '../../bench/simulation/group-run.js';
import { findViolations } from '../../bench/simulation/history-checks.js';
import { faultOn } from '../support/group-plans.js';

const FAST_CHECK_SEED = 20_261_202;
const RUNS = 100;

const fault = faultOn(0, 1, 2, 'primary', 'primary', 'primary');

const plan: fc.Arbitrary<RunPlan> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  faults: fc.array(fault, { maxLength: 4 }),
  mode: fc.constant('received' as const),
  votersReportTimeline: fc.boolean(),
});

test('mode received: no violation under any schedule of faults', () => {
  fc.assert(
    fc.property(plan, (chosen) => {
      const { history } = simulate(chosen);
      assert.equal(findViolations(history), []);
      assert.ok(history.records.length > 0);
    }),
    { seed: FAST_CHECK_SEED, numRuns: RUNS },
  );
});

test.run();
