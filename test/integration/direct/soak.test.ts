/** A few rounds of the soak run, each with maintenance work: signals, stops and series of configurations. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FAULT_SPAN_MS, runRound } from '../../../bench/soak/round.js';
import { drawSchedule, withNewIncarnation } from '../../../bench/soak/schedule.js';
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

/** Its schedule also has a crash of the primary and faults of the replicas. */
const NEW_INCARNATION_SEED = 4000;

for (const { seed, what } of ROUNDS) {
  test(`${what}: no rule is broken`, async () => {
    const { findings, statements } = await runRound(
      drawSchedule(seed, seededRandom(seed), FAULT_SPAN_MS),
    );
    assert.equal(findings, []);
    assert.ok(statements > 0);
  });
}

test('an instance starts again without its log: no rule is broken', async () => {
  const draw = seededRandom(NEW_INCARNATION_SEED);
  const schedule = drawSchedule(NEW_INCARNATION_SEED, draw, FAULT_SPAN_MS);
  const { findings, statements } = await runRound(
    withNewIncarnation(schedule, draw, FAULT_SPAN_MS),
  );
  assert.equal(findings, []);
  assert.ok(statements > 0);
});

test.run();
