/** The scenarios of `npm run fuzz` over fixed seeds: nothing is violated. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { SCENARIOS } from '../../bench/simulation/registry.js';
import { allEventsOf } from '../../bench/simulation/scenario.js';

const FIRST_SEED = 20_261_202;
const SEEDS = 12;

for (const { name, plan } of SCENARIOS) {
  test(`${name}: no violation over ${SEEDS} seeds`, () => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
      const drawn = plan(seed, new Set());
      assert.equal(drawn.run(allEventsOf(drawn)).violations, [], `seed ${seed}`);
    }
  });
}

test.run();
