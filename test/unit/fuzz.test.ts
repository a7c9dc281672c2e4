import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FuzzUsageError, parseFuzzArguments } from '../../bench/fuzz/options.js';
import { search } from '../../bench/fuzz/search.js';
import { shrink } from '../../bench/fuzz/shrink.js';
import { allEventIndexes, type Scenario } from '../../bench/simulation/scenario.js';

const EVENTS = ['crash', 'pause', 'cut', 'lag'];
const FAILING_SEED = 7;

/** Violates something at one seed, if the crash and the cut are both there. */
const SCENARIO: Scenario = {
  name: 'hand-made',
  summary: '',
  mechanisms: [],
  plan: (seed) => ({
    events: EVENTS,
    run: (kept) => {
      const fails = seed === FAILING_SEED && kept.has(0) && kept.has(2);
      return { violations: fails ? ['check: broken'] : [], summaries: [] };
    },
  }),
};

function searchFor(seeds: number) {
  const goesOn = (runs: number): boolean => runs < seeds;
  return search({
    scenarios: [SCENARIO],
    firstSeed: 1,
    disabledMechanisms: new Set(),
    shouldContinue: goesOn,
  });
}

test('a search continues over seeds and stops at the first violation', () => {
  assert.equal(searchFor(6), { runs: 6, lastSeed: 6, failed: undefined });
  const found = searchFor(100);
  assert.is(found.runs, FAILING_SEED);
  assert.is(found.failed?.seed, FAILING_SEED);
});

test('a violation is reported with only the events that it needs', () => {
  const plan = SCENARIO.plan(FAILING_SEED, new Set());
  const { kept, outcome } = shrink(plan, plan.run(allEventIndexes(plan)));
  assert.equal([...kept], [0, 2]);
  assert.equal(outcome.violations, ['check: broken']);
});

test('invalid flags are refused', () => {
  for (const flags of [['--scenario', 'none'], ['--seed', 'x'], ['--without', 'x'], ['--x']]) {
    assert.throws(
      () => parseFuzzArguments(flags),
      (error: Error) => error instanceof FuzzUsageError,
    );
  }
  const { durationMs, scenarios } = parseFuzzArguments(['--seconds', '3', '--scenario', 'group']);
  assert.is(durationMs, 3000);
  assert.equal(
    scenarios.map(({ name }) => name),
    ['group'],
  );
});

test.run();
