/** The faults of a soak round depend only on its seed. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { isPlannedWork, PLANNED_KINDS } from '../../../bench/soak/planned-schedule.js';
import { DISRUPTION_KINDS, drawSchedule } from '../../../bench/soak/schedule.js';
import { seededRandom } from '../../support/random.js';

const SPAN_MS = 8000;
const ROUNDS = 500;

function schedule(seed: number) {
  return drawSchedule(seed, seededRandom(seed), SPAN_MS);
}

test('the same seed gives the same faults, and another seed gives others', () => {
  assert.equal(schedule(7), schedule(7));
  assert.not.equal(schedule(7), schedule(8));
});

test('every kind of fault occurs, rounds run with and without owners, and faults end within the time span', () => {
  const kinds = new Set<string>();
  const ownerSettings = new Set<boolean>();
  const mixes = new Set<string>();
  for (let seed = 0; seed < ROUNDS; seed += 1) {
    const { faults, hasOwners } = schedule(seed * 1000);
    ownerSettings.add(hasOwners);
    mixes.add([...new Set(faults.map(({ fault }) => isPlannedWork(fault)))].sort().join());
    let before = 0;
    for (const { atMs, forMs, fault } of faults) {
      kinds.add(fault.kind);
      assert.ok(atMs >= before && forMs > 0 && atMs + forMs <= SPAN_MS);
      before = atMs;
    }
  }
  assert.is(kinds.size, DISRUPTION_KINDS.length + PLANNED_KINDS.length);
  assert.is(ownerSettings.size, 2);
  assert.equal([...mixes].sort(), ['false', 'false,true', 'true']);
});

test.run();
