/**
 * The bound of a tenant's quota over a whole fleet, in virtual time: keepers are lost, restarted and replaced,
 * responses are late or lost, limits are lowered. In every window no more operations run than the bound, and demand
 * below the limit is served. A keeper that starts with full buckets breaks the bound.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fullBucket, refill, takeToken } from '../../src/core/limits/token-bucket.js';
import { PermitHolder } from '../../src/core/tenancy/permit-holder.js';
import { PARTS_PER_TENANT } from '../../src/core/tenancy/quota-keepers.js';
import {
  PERMIT_LIFETIME_MS,
  type Quota,
  QuotaLedger,
} from '../../src/core/tenancy/quota-ledger.js';
import { seededRandom } from '../support/random.js';

const SEEDS = 60;
const NODES = 30;
const DAY_MS = 16_000;
const STEP_MS = 20;
const WINDOW_MS = 5000;
/** What the operator allows beyond the limit (`quota_overshoot` and `quota_slack`). */
const OVERSHOOT = 0.1;
const SLACK = 20;
/** Extra capacity of each part beyond its part of the burst. */
const SPARE = 1;
const TENANT = 'tenant';

/** The fault that a test injects: `begins-full` starts a new keeper with full buckets. */
type Fault = 'none' | 'begins-full';

interface Grant {
  readonly node: number;
  readonly arrivesAt: number;
  readonly askedAt: number;
  readonly granted: number;
}

interface Outcome {
  readonly arrivals: readonly number[];
  readonly ran: readonly number[];
  readonly quota: Quota;
}

/** Ledger of a keeper that starts at `now`; with `begins-full`, its buckets have refilled for 60 s. */
function ledger(now: number, fault: Fault): QuotaLedger {
  const begunAt = fault === 'begins-full' ? now - 60_000 : now;
  return new QuotaLedger(1 / PARTS_PER_TENANT, begunAt, SPARE);
}

/** @param loadShare callers' demand, as a multiple of the limit */
function play(seed: number, loadShare: number, hasLosses: boolean, fault: Fault): Outcome {
  const random = seededRandom(seed);
  const ratePerSecond = 5 + random() * 200;
  const quota: Quota = { ratePerSecond, burst: ratePerSecond * (0.5 + random()) };
  const perStep = (ratePerSecond * loadShare * STEP_MS) / 1000;
  const ledgers = Array.from({ length: PARTS_PER_TENANT }, () => ledger(-60_000, 'none'));
  const holders = Array.from({ length: NODES }, () => new PermitHolder());
  const backs = new Array<number>(NODES).fill(0);
  const grants: Grant[] = [];
  const ran: number[] = [];
  const arrivals: number[] = [];
  let owed = 0;
  for (let now = 0; now < DAY_MS; now += STEP_MS) {
    for (const [part, kept] of ledgers.entries()) {
      if (hasLosses && random() < 0.004) ledgers[part] = ledger(now, fault);
      assert.ok(kept);
    }
    for (const grant of grants.splice(0).filter((one) => keepOrTake(one, now))) grants.push(grant);
    owed += perStep * (random() < 0.05 ? 3 : 0.9);
    for (; owed >= 1; owed -= 1) {
      arrivals.push(now);
      const node = Math.floor(random() * random() * NODES);
      serve(node, now);
    }
  }
  return { arrivals, ran, quota };

  function keepOrTake({ node, arrivesAt, askedAt, granted }: Grant, now: number): boolean {
    if (arrivesAt > now) return true;
    holders[node]?.add(granted, askedAt);
    return false;
  }

  function serve(node: number, now: number): void {
    const holder = holders[node] as PermitHolder;
    holder.recordDemand(now);
    if (holder.take(now)) {
      ran.push(now);
      return;
    }
    if (now < (backs[node] ?? 0)) return;
    const held = holder.heldCount(now);
    const wanted = holder.targetCount(now);
    let soonest = Number.POSITIVE_INFINITY;
    for (const kept of ledgers) {
      const request = { tenant: TENANT, node: `n${node}`, needed: 1, held, wanted };
      const { granted, retryAfterMs } = kept.grant(request, quota, now);
      const isLost = hasLosses && random() < 0.05;
      if (granted === 0 || isLost) {
        soonest = Math.min(soonest, retryAfterMs);
        continue;
      }
      ran.push(now);
      const arrivesAt = now + random() * (hasLosses ? 200 : 5);
      grants.push({ node, arrivesAt, askedAt: now, granted: granted - 1 });
      return;
    }
    backs[node] = now + soonest;
  }
}

/** Maximum number of operations beyond the bound in any window; negative if the bound holds. */
function excess({ ran, quota }: Outcome, slackShare = 1): number {
  const windowS = WINDOW_MS / 1000;
  const within = quota.ratePerSecond * windowS + quota.burst;
  const allowed = within * (1 + OVERSHOOT * slackShare) + SLACK * slackShare;
  let most = 0;
  let first = 0;
  for (const [last, at] of ran.entries()) {
    while ((ran[first] ?? at) <= at - WINDOW_MS) first += 1;
    most = Math.max(most, last - first + 1);
  }
  return most - allowed;
}

function worst(fault: Fault, slackShare: number): number {
  let most = Number.NEGATIVE_INFINITY;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    most = Math.max(most, excess(play(seed, 6, true, fault), slackShare));
  }
  return most;
}

test('in every window no more runs than the limit itself, whatever is lost', () => {
  // An operation may run up to one step after its permit was granted, and the windows here consist of whole steps.
  const most = worst('none', 0);
  assert.ok(most <= 5 + SPARE * PARTS_PER_TENANT, `${most} more`);
});

test('a keeper that begins full lets more run than the bound', () => {
  assert.ok(worst('begins-full', 1) > 0);
});

test('what nodes hold ahead is taken off the bucket until it is void', () => {
  const quota = { ratePerSecond: 1000, burst: 40 };
  const kept = new QuotaLedger(1, 0);
  const request = { tenant: TENANT, node: 'a', needed: 1, held: 0, wanted: 10 };
  assert.is(kept.grant(request, quota, 1000).granted, 11);
  // The bucket is full: 40, less the 10 prefetched permits.
  const all = { ...request, node: 'b', needed: 100, wanted: 0 };
  assert.is(kept.grant(all, quota, 2000).granted, 30);
  assert.is(kept.grant(all, quota, 1000 + PERMIT_LIFETIME_MS).granted, 40);
});

/** Number of the same operations that a single bucket for the whole fleet would have admitted. */
function servedByOneBucket({ arrivals, quota }: Outcome): number {
  const shape = { tokensPerSecond: quota.ratePerSecond, capacity: quota.burst };
  let bucket = fullBucket(shape, 0);
  let served = 0;
  for (const at of arrivals) {
    bucket = refill(bucket, shape, at);
    const taken = takeToken(bucket);
    if (taken === undefined) continue;
    bucket = taken;
    served += 1;
  }
  return served;
}

test('what one bucket for the whole fleet would serve is served', () => {
  let [asked, served, ideal] = [0, 0, 0];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const outcome = play(seed, 1 / 1.6, false, 'none');
    asked += outcome.arrivals.length;
    ideal += servedByOneBucket(outcome);
    served += outcome.ran.length;
  }
  const refusedShare = (ideal - served) / asked;
  assert.ok(refusedShare < 0.001, `${refusedShare} refused beneath the limit`);
});

test('a lower limit binds at once, also for permits that were held before', () => {
  const kept = new QuotaLedger(1, 0);
  const request = { tenant: TENANT, node: 'n', needed: 1, held: 0, wanted: 10 };
  kept.grant(request, { ratePerSecond: 100, burst: 100 }, 5000);
  const { granted, retryAfterMs } = kept.grant(
    { ...request, held: 10 },
    { ratePerSecond: 1, burst: 1 },
    5001,
  );
  assert.is(granted, 0);
  assert.ok(retryAfterMs > 0 && retryAfterMs <= 1000);
});

test('what nothing bounds is granted whole', () => {
  const request = { tenant: TENANT, node: 'n', needed: 50, held: 0, wanted: 5 };
  assert.is(new QuotaLedger(1, 0).grant(request, undefined, 0).granted, 55);
});

test.run();
