/** A read at the position that the samples require misses no commit older than its staleness bound. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PositionSamples } from '../../src/core/statements/position-samples.js';
import {
  planSynchronisation,
  synchronisationCost,
} from '../../src/core/statements/session-values.js';

const SEED = 20261202;
const RUNS = 500;

/** Steps in time, each with either a commit or a query of the primary's position. */
const steps = fc.array(
  fc.record({ elapsedMs: fc.integer({ min: 0, max: 300 }), isQuery: fc.boolean() }),
  { minLength: 1, maxLength: 120 },
);

test('the required position covers all commits older than the staleness bound', () => {
  fc.assert(
    fc.property(steps, fc.integer({ min: 1, max: 3000 }), (list, stalenessMs) => {
      const samples = new PositionSamples();
      const commits: { at: number; lsn: bigint }[] = [];
      let now = 0;
      for (const step of list) {
        now += step.elapsedMs;
        const lsn = BigInt(commits.length);
        if (step.isQuery) samples.add({ sentAt: now, position: { timeline: 1, lsn } });
        else commits.push({ at: now, lsn: lsn + 1n });
        const required = samples.requiredAt(now, stalenessMs);
        if (required === undefined) continue;
        const mustSee = commits.filter((commit) => commit.at < now - stalenessMs);
        for (const commit of mustSee) assert.ok(required.lsn >= commit.lsn);
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('samples that are too old give no required position', () => {
  const samples = new PositionSamples();
  samples.add({ sentAt: 100, position: { timeline: 1, lsn: 5n } });
  assert.is(samples.requiredAt(2000, 1000), undefined);
  assert.equal(samples.requiredAt(1000, 1000), { timeline: 1, lsn: 5n });
});

test('samples of a rolled back log are dropped', () => {
  const samples = new PositionSamples();
  samples.add({ sentAt: 100, position: { timeline: 1, lsn: 50n } });
  samples.add({ sentAt: 300, position: { timeline: 1, lsn: 40n } });
  assert.equal(samples.requiredAt(300, 1000), { timeline: 1, lsn: 40n });
});

test('after the planned steps a connection has exactly the session values', () => {
  const values = fc.dictionary(fc.constantFrom('a', 'b', 'c'), fc.constantFrom<string>('1', '2'));
  fc.assert(
    fc.property(values, values, (wanted, held) => {
      const session = new Map(Object.entries(wanted));
      const connection = new Map(Object.entries(held));
      const plan = planSynchronisation(session, connection);
      if (plan.reset) connection.clear();
      for (const [name, value] of plan.assignments) connection.set(name, value);
      assert.equal(connection, session);
      assert.is(synchronisationCost(session, connection), 0);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test.run();
