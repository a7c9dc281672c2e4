/**
 * Each owner of a group limits request rates on its own. Owners that follow one another, with some overlap, admit no
 * more than the bound in docs/design/fleet-wide-limits.md.
 */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { TenantAdmission } from '../../src/core/limits/admission.js';

const SEED = 20261202;
const TENANT = 'tenant';
const REQUESTS_PER_SECOND = 100;
const BURST = 20;
const STEP_MS = 1;
const MS_PER_SECOND = 1000;

function ownerOfGroup(): TenantAdmission {
  const admission = new TenantAdmission();
  admission.setLimits([
    {
      tenant: TENANT,
      maxInFlight: Number.MAX_SAFE_INTEGER,
      maxQueued: Number.MAX_SAFE_INTEGER,
      queueWeight: 1,
      maxConnections: 1,
      requestsPerSecond: REQUESTS_PER_SECOND,
      burst: BURST,
    },
  ]);
  return admission;
}

/** Number of requests admitted under a demand far above the limit; owners serve in `[from, to)`, in ms. */
function admitted(owners: readonly { from: number; to: number }[], durationMs: number): number {
  const admissions = owners.map((time) => ({ ...time, admission: ownerOfGroup() }));
  let count = 0;
  for (let now = 0; now < durationMs; now += STEP_MS) {
    for (const { from, to, admission } of admissions) {
      if (now < from || now >= to) continue;
      for (let request = 0; request < BURST; request += 1) {
        if (admission.admit(TENANT, 0, now) === undefined) count += 1;
      }
    }
  }
  return count;
}

function bound(owners: readonly { from: number; to: number }[]): number {
  const servingMs = owners.reduce((sum, { from, to }) => sum + (to - from), 0);
  return owners.length * BURST + (servingMs * REQUESTS_PER_SECOND) / MS_PER_SECOND;
}

test('a change of owner with an overlap adds one burst, and the rate during the overlap', () => {
  const handOver = fc.record({
    durationMs: fc.integer({ min: 1000, max: 4000 }),
    at: fc.double({ min: 0.1, max: 0.9, noNaN: true }),
    overlapMs: fc.integer({ min: 0, max: 1000 }),
  });
  fc.assert(
    fc.property(handOver, ({ durationMs, at, overlapMs }) => {
      const from = Math.floor(at * durationMs);
      const to = Math.min(durationMs, from + overlapMs);
      const owners = [
        { from: 0, to },
        { from, to: durationMs },
      ];
      const count = admitted(owners, durationMs);
      assert.ok(count <= bound(owners), `${count} > ${bound(owners)}`);
      assert.ok(count >= bound(owners) - owners.length, 'the bound is reached');
    }),
    { seed: SEED, numRuns: 50 },
  );
});

test('a single owner admits the burst and the rate', () => {
  const owners = [{ from: 0, to: 3000 }];
  const count = admitted(owners, 3000);
  assert.ok(count <= bound(owners) && count >= bound(owners) - 1, `${count}`);
});

test.run();
