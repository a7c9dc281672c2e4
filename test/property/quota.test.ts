/**
 * A tenant's quota across a whole cluster, in virtual time: keepers are lost, restarted and replaced, responses are late
 * or lost, limits are lowered. In every window at most the bound runs, and demand below the limit is served. If a keeper
 * started with full buckets, the bound would be exceeded.
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
const SIMULATED_MS = 16_000;
const STEP_MS = 20;
const WINDOW_MS = 5000;
/** The operator's tolerance beyond the limit (`quota_overshoot` and `quota_slack`). */
const OVERSHOOT = 0.1;
const SLACK = 20;
/** Capacity of each part beyond its fraction of the burst. */
const EXTRA_CAPACITY = 1;
const TENANT = 'tenant';

/** The fault that a test injects: `begins-full` starts a new keeper with full buckets. */
type Fault = 'none' | 'begins-full';

interface Grant {
  readonly node: number;
  readonly arrivesAt: number;
  readonly sentAt: number;
  readonly granted: number;
}

interface Outcome {
  readonly arrivals: readonly number[];
  readonly ran: readonly number[];
  readonly quota: Quota;
}

/** Ledger of a keeper that starts at `now`; with `begins-full`, its buckets have refilled for 60 s. */
function createLedger(now: number, fault: Fault): QuotaLedger {
  const startedAt = fault === 'begins-full' ? now - 60_000 : now;
  return new QuotaLedger(1 / PARTS_PER_TENANT, startedAt, EXTRA_CAPACITY);
}

/** @param loadFactor callers' demand as a multiple of the limit */
function play(seed: number, loadFactor: number, hasLosses: boolean, fault: Fault): Outcome {
  const random = seededRandom(seed);
  const ratePerSecond = 5 + random() * 200;
  const quota: Quota = { ratePerSecond, burst: ratePerSecond * (0.5 + random()) };
  const perStep = (ratePerSecond * loadFactor * STEP_MS) / 1000;
  const ledgers = Array.from({ length: PARTS_PER_TENANT }, () => createLedger(-60_000, 'none'));
  const holders = Array.from({ length: NODES }, () => new PermitHolder());
  const retryTimes = new Array<number>(NODES).fill(0);
  const grants: Grant[] = [];
  const ran: number[] = [];
  const arrivals: number[] = [];
  let pending = 0;
  for (let now = 0; now < SIMULATED_MS; now += STEP_MS) {
    for (const [part, kept] of ledgers.entries()) {
      if (hasLosses && random() < 0.004) ledgers[part] = createLedger(now, fault);
      assert.ok(kept);
    }
    for (const grant of grants.splice(0).filter((one) => isInTransit(one, now))) grants.push(grant);
    pending += perStep * (random() < 0.05 ? 3 : 0.9);
    for (; pending >= 1; pending -= 1) {
      arrivals.push(now);
      const node = Math.floor(random() * random() * NODES);
      serve(node, now);
    }
  }
  return { arrivals, ran, quota };

  function isInTransit({ node, arrivesAt, sentAt, granted }: Grant, now: number): boolean {
    if (arrivesAt > now) return true;
    holders[node]?.add(granted, sentAt);
    return false;
  }

  function serve(node: number, now: number): void {
    const holder = holders[node] as PermitHolder;
    holder.recordDemand(now);
    if (holder.take(now)) {
      ran.push(now);
      return;
    }
    if (now < (retryTimes[node] ?? 0)) return;
    const held = holder.heldCount(now);
    const wanted = holder.targetCount(now);
    let soonest = Number.POSITIVE_INFINITY;
    for (const ledger of ledgers) {
      const request = { tenant: TENANT, node: `n${node}`, needed: 1, held, wanted };
      const { granted, retryAfterMs } = ledger.grant(request, quota, now);
      const isLost = hasLosses && random() < 0.05;
      if (granted === 0 || isLost) {
        soonest = Math.min(soonest, retryAfterMs);
        continue;
      }
      ran.push(now);
      const arrivesAt = now + random() * (hasLosses ? 200 : 5);
      grants.push({ node, arrivesAt, sentAt: now, granted: granted - 1 });
      return;
    }
    retryTimes[node] = now + soonest;
  }
}

/** Maximum number of operations beyond the bound in any window; negative if the bound holds. */
function maxExcess({ ran, quota }: Outcome, slackFraction = 1): number {
  const windowS = WINDOW_MS / 1000;
  const within = quota.ratePerSecond * windowS + quota.burst;
  const allowed = within * (1 + OVERSHOOT * slackFraction) + SLACK * slackFraction;
  let most = 0;
  let first = 0;
  for (const [last, at] of ran.entries()) {
    while ((ran[first] ?? at) <= at - WINDOW_MS) first += 1;
    most = Math.max(most, last - first + 1);
  }
  return most - allowed;
}

function worst(fault: Fault, slackFraction: number): number {
  let most = Number.NEGATIVE_INFINITY;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    most = Math.max(most, maxExcess(play(seed, 6, true, fault), slackFraction));
  }
  return most;
}

test('in every window no more operations run than the limit, whatever is lost', () => {
  // An operation may run up to one step after its permit was granted, and the windows here consist of whole steps.
  const most = worst('none', 0);
  assert.ok(most <= 5 + EXTRA_CAPACITY * PARTS_PER_TENANT, `${most} more`);
});

test('a keeper that starts with full buckets exceeds the bound', () => {
  assert.ok(worst('begins-full', 1) > 0);
});

test('prefetched permits are deducted from the bucket until they expire', () => {
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

test('nearly as many operations run as with a single bucket for the cluster', () => {
  let [asked, served, ideal] = [0, 0, 0];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const outcome = play(seed, 1 / 1.6, false, 'none');
    asked += outcome.arrivals.length;
    ideal += servedByOneBucket(outcome);
    served += outcome.ran.length;
  }
  const refusedShare = (ideal - served) / asked;
  assert.ok(refusedShare < 0.001, `${refusedShare} refused below the limit`);
});

test('a lower limit applies at once, also to prefetched permits', () => {
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

test('without a quota all permits are granted', () => {
  const request = { tenant: TENANT, node: 'n', needed: 50, held: 0, wanted: 5 };
  assert.is(new QuotaLedger(1, 0).grant(request, undefined, 0).granted, 55);
});

test.run();
