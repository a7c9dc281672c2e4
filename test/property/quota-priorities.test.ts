/**
 * A tenant requests a multiple of its quota, with operations of three priorities, in virtual time. The highest are
 * served while they alone fit the quota, the others share the rest and do not starve, and about as many run as without
 * priorities.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PriorityReserve } from '../../src/core/tenancy/priority-reserve.js';
import { PARTS_PER_TENANT } from '../../src/core/tenancy/quota-keepers.js';
import { type Quota, QuotaLedger } from '../../src/core/tenancy/quota-ledger.js';
import { seededRandom } from '../support/random.js';

const SEEDS = 20;
const NODES = 30;
const SIMULATED_MS = 20_000;
/** Results count only after this time: at first, buckets are full and the demand is unknown. */
const SETTLED_MS = 3000;
const QUOTA: Quota = { ratePerSecond: 120, burst: 90 };
/** Operations per second by priority, as multiples of the quota's rate. */
type Mix = readonly number[];

interface Outcome {
  readonly requested: number[];
  readonly served: number[];
}

function play(seed: number, mix: Mix, hasPriorities = true): Outcome {
  const random = seededRandom(seed);
  const ledgers = Array.from(
    { length: PARTS_PER_TENANT },
    () => new QuotaLedger(1 / PARTS_PER_TENANT, -60_000, 1),
  );
  const retryTimes = Array.from({ length: NODES }, () => mix.map(() => 0));
  const outcome: Outcome = { requested: mix.map(() => 0), served: mix.map(() => 0) };
  for (let now = 0; now < SIMULATED_MS; now += 1) {
    for (const [priority, multiple] of mix.entries()) {
      if (random() * 1000 >= QUOTA.ratePerSecond * multiple) continue;
      const node = Math.floor(random() * NODES);
      const isServed = ask(node, priority, now);
      if (now < SETTLED_MS) continue;
      outcome.requested[priority] = (outcome.requested[priority] ?? 0) + 1;
      if (isServed) outcome.served[priority] = (outcome.served[priority] ?? 0) + 1;
    }
  }
  return outcome;

  function ask(node: number, priority: number, now: number): boolean {
    const retryAt = retryTimes[node] as number[];
    if (retryAt.some((until, refused) => refused <= priority && now < until)) return false;
    const request = { tenant: 't', node: `n${node}`, needed: 1, held: 0, wanted: 0 };
    let soonest = Number.POSITIVE_INFINITY;
    for (let turn = 0; turn < PARTS_PER_TENANT; turn += 1) {
      const ledger = ledgers[(node + turn) % PARTS_PER_TENANT];
      const prioritized = hasPriorities ? { ...request, priority } : request;
      const grant = ledger?.grant(prioritized, QUOTA, now);
      if (grant !== undefined && grant.granted > 0) return true;
      soonest = Math.min(soonest, grant?.retryAfterMs ?? soonest);
    }
    retryAt[priority] = now + soonest;
    return false;
  }
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

test('the highest priority is fully served while it alone fits the quota', () => {
  for (const mix of [
    [0.3, 0.9, 0.8],
    [0.6, 1.2, 1.2],
    [0.5, 0, 3.5],
  ]) {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const { requested, served } = play(seed, mix);
      const share = (served[0] ?? 0) / (requested[0] ?? 1);
      assert.ok(share >= 0.99, `seed ${seed}, mix ${mix}: ${share} of the highest priority`);
    }
  }
});

test('of two lower priorities the higher one gets more, and the lowest does not starve', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const { requested, served } = play(seed, [0.4, 1.5, 1.5]);
    const shares = requested.map((count, priority) => (served[priority] ?? 0) / count);
    assert.ok((shares[1] ?? 0) > (shares[2] ?? 1), `seed ${seed}: ${shares}`);
    const leastPerSecond = (served[2] ?? 0) / ((SIMULATED_MS - SETTLED_MS) / 1000);
    assert.ok(leastPerSecond >= 0.05 * QUOTA.ratePerSecond, `seed ${seed}: ${leastPerSecond}`);
  }
});

test('priorities do not change the total that is served', () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const mix = [0.4, 1, 1];
    const served = sum(play(seed, mix).served);
    const before = sum(play(seed, mix, false).served);
    assert.ok(served >= 0.97 * before, `seed ${seed}: ${served} and ${before}`);
    assert.ok(served <= 1.03 * before, `seed ${seed}: ${served} and ${before}`);
  }
});

test('without priorities the highest ones are refused like the others', () => {
  const { requested, served } = play(1, [0.6, 1.2, 1.2], false);
  assert.ok((served[0] ?? 0) / (requested[0] ?? 1) < 0.6);
});

test('a tenant within its quota is fully served, also a burst of its lowest priority', () => {
  const quota = { ratePerSecond: 100, burst: 40 };
  const ledger = new QuotaLedger(1, -60_000);
  const request = { tenant: 't', node: 'n', needed: 1, held: 0, wanted: 0 };
  for (let now = 0; now < 3000; now += 100) {
    assert.is(ledger.grant({ ...request, priority: 0 }, quota, now).granted, 1);
  }
  assert.is(ledger.grant({ ...request, needed: 38, priority: 2 }, quota, 3001).granted, 38);
});

test('a single priority has nothing reserved against it', () => {
  const reserve = new PriorityReserve();
  for (let now = 0; now < 2000; now += 5) reserve.recordDemand(2, 1, 10, now);
  assert.is(reserve.reservedAgainst(2, { ratePerSecond: 10, capacity: 10 }, 2000), 0);
});

test.run();
