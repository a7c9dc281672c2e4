/** No acknowledged commit is lost while processes are delayed, members leave with their logs, and restarts end holds. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  EVERY_FAULT_KIND,
  type FaultKind,
  LATENESS_FAULT_KINDS,
  PromotionSimulation,
} from '../support/promotion/simulation.js';

const RUNS = Number(process.env.PROMOTION_RUNS ?? 40);
const FIRST_SEED = Number(process.env.PROMOTION_SEED ?? 20261202);

/** Faults that start a primary change while the old primary may go on committing. */
const CHANGE_FAULTS: readonly FaultKind[] = [
  'primary cut from leader',
  'primary cut from nodes',
  'primary draining',
  'primary crash',
  'replica deaf',
];

function violationsOf(seed: number, kinds: readonly FaultKind[]): string {
  const simulation = new PromotionSimulation({ seed });
  simulation.run(3000);
  simulation.injectFaults(30_000, kinds);
  simulation.waitForFaultsToEnd();
  simulation.run(12_000);
  if (simulation.violations.length === 0) return '';
  return `seed ${seed}\n${simulation.violations.join('\n')}\n${simulation.eventLog}`;
}

const MIXES: Readonly<Record<string, readonly FaultKind[]>> = {
  'all kinds': [...EVERY_FAULT_KIND, ...LATENESS_FAULT_KINDS],
  'lateness during primary changes': [...CHANGE_FAULTS, ...LATENESS_FAULT_KINDS],
};

for (const [name, kinds] of Object.entries(MIXES)) {
  test(`no violation: ${name}`, () => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
      assert.is(violationsOf(seed, kinds), '');
    }
  });
}

test.run();
