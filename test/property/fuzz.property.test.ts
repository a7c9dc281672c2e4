/** The scenarios of `npm run fuzz` have no violation over fixed seeds. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { SCENARIOS } from '../../bench/simulation/registry.js';
import { allEventIndexes } from '../../bench/simulation/scenario.js';

const FIRST_SEED = 20_261_202;
/** Number of seeds that take about a second. */
const SEEDS: Readonly<Record<string, number>> = {
  group: 10,
  fleet: 12,
  sessions: 40,
  configuration: 40,
};

for (const { name, plan } of SCENARIOS) {
  const seeds = SEEDS[name] ?? 0;

  test(`${name}: no violation over ${seeds} seeds`, () => {
    assert.ok(seeds > 0);
    for (let seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed += 1) {
      const drawn = plan(seed, new Set());
      assert.equal(drawn.run(allEventIndexes(drawn)).violations, [], `seed ${seed}`);
    }
  });
}

test.run();
