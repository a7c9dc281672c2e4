/** A few rounds of the soak, each with planned work: signals, stops and configurations in series. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FAULT_SPAN_MS, runRound } from '../../../bench/soak/round.js';
import { drawSchedule } from '../../../bench/soak/schedule.js';
import { seededRandom } from '../../support/random.js';

/** What each seed draws that the others don't. */
const ROUNDS = [
  { seed: 3000, what: 'a second signal while a gateway stops, beside new configurations' },
  { seed: 13_000, what: 'gateways that are paused again and again while they stop' },
  { seed: 7000, what: 'all gateways killed right after a configuration was acknowledged' },
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

test.run();
