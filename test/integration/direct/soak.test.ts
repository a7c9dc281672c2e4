/** A few rounds of the soak run, each with maintenance work: signals, stops and series of configurations. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FAULT_SPAN_MS, runRound } from '../../../bench/soak/round.js';
import {
  drawSchedule,
  withNewIncarnation,
  withStoreReturns,
} from '../../../bench/soak/schedule.js';
import { seededRandom } from '../../support/random.js';

/** Seeds, each with the event that only its schedule contains. */
const ROUNDS = [
  {
    seed: 3000,
    what: 'a second signal while a gateway stops, with new configurations at the same time',
  },
  { seed: 13_000, what: 'gateways that are paused repeatedly while they stop' },
  { seed: 7000, what: 'all gateways killed right after a configuration is acknowledged' },
] as const;

for (const { seed, what } of ROUNDS) {
  test(`${what}: no rule is broken`, async () => {
    const { findings, statements } = await runRound(
      drawSchedule(seed, seededRandom(seed), FAULT_SPAN_MS),
    );
    assert.equal(findings, []);
    assert.ok(statements > 0);
  });
}

/** Seeds of rounds in which an instance also starts again without its log. */
const NEW_INCARNATION_ROUNDS = [
  { seed: 4000, hasStoreReturns: false },
  // The primary starts again, and gateways start while the store has its last registration.
  { seed: 883_000, hasStoreReturns: true },
] as const;

for (const { seed, hasStoreReturns } of NEW_INCARNATION_ROUNDS) {
  test(`an instance starts again without its log, seed ${seed}: no rule is broken`, async () => {
    const draw = seededRandom(seed);
    const drawn = drawSchedule(seed, draw, FAULT_SPAN_MS);
    const schedule = hasStoreReturns ? withStoreReturns(drawn, draw, FAULT_SPAN_MS) : drawn;
    const { findings, statements } = await runRound(
      withNewIncarnation(schedule, draw, FAULT_SPAN_MS),
    );
    assert.equal(findings, []);
    assert.ok(statements > 0);
  });
}

test.run();
