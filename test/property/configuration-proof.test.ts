/**
 * Readers poll the store and relay its responses to other nodes; any message may be delayed by seconds. No request may
 * run with a key that was revoked longer ago than the bound. The age of relayed data must count from the time of the
 * poll's request; counted from its response or from the arrival of the report, revoked keys run too long.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PeerClock } from '../../src/core/directory/peer-clock.js';
import { RevocationBound } from '../../src/core/tenancy/revocation.js';
import { seededRandom } from '../support/random.js';

const BOUND_MS = 5000;
const POLL_MS = 750;
const SEEDS = 3000;
const SIMULATED_MS = 20_000;
const REQUEST_PERIOD_MS = 40;

interface RelayedReport {
  readonly arrivesAt: number;
  readonly clockMs: number;
  readonly provenMs: number;
  /** True if the key existed according to the poll. */
  readonly isHeld: boolean;
}

/** A reader's reports to one node: polls may be slow, reports may be late, and the link may break for a while. */
function simulateReports(
  random: () => number,
  revokedAt: number,
  clockOffset: number,
): RelayedReport[] {
  const reports: RelayedReport[] = [];
  const cutFrom = random() * SIMULATED_MS;
  const cutTo = cutFrom + random() * 9000;
  let arrived = 0;
  for (let sentAt = random() * 500; sentAt < SIMULATED_MS; ) {
    const readAt = sentAt + random() * POLL_MS;
    const answeredAt = readAt + (random() < 0.1 ? random() * 3000 : random() * POLL_MS);
    // The store's response shows its state at some time between the request and the response.
    const isHeld = readAt < revokedAt;
    const isCut = sentAt > cutFrom && sentAt < cutTo;
    const delay = random() < 0.2 ? random() * 6000 : random() * 50;
    arrived = Math.max(arrived, answeredAt + delay);
    const clockMs = answeredAt + clockOffset;
    if (!isCut)
      reports.push({ arrivesAt: arrived, clockMs, provenMs: sentAt + clockOffset, isHeld });
    sentAt = answeredAt;
  }
  return reports;
}

interface Result {
  readonly ran: number;
  /** Requests that ran with the key later than the bound allows. */
  readonly late: number;
}

/** @param earliest computes the time, by the receiving node's clock, for which a report counts as proof */
function play(
  seed: number,
  earliest: (clock: PeerClock, report: RelayedReport, now: number) => number | undefined,
): Result {
  const random = seededRandom(seed);
  const revokedAt = 2000 + random() * 10_000;
  const acknowledgedAt = revokedAt;
  const subscribedAt = random() * 300;
  const reports = simulateReports(random, revokedAt, (random() - 0.5) * 1e7).filter(
    ({ arrivesAt }) => arrivesAt > subscribedAt,
  );
  const clock = new PeerClock(subscribedAt);
  const bound = new RevocationBound(BOUND_MS);
  let isHeld = false;
  let [ran, late] = [0, 0];
  for (let now = subscribedAt; now < SIMULATED_MS; now += REQUEST_PERIOD_MS) {
    while (reports[0] !== undefined && reports[0].arrivesAt <= now) {
      const report = reports.shift() as RelayedReport;
      clock.recordResponse(report.clockMs);
      isHeld = report.isHeld;
      bound.recordProof(earliest(clock, report, report.arrivesAt) ?? Number.NEGATIVE_INFINITY);
    }
    if (!isHeld || !bound.mayRun(now)) continue;
    ran += 1;
    if (now > acknowledgedAt + BOUND_MS) late += 1;
  }
  return { ran, late };
}

function total(earliest: Parameters<typeof play>[1]): Result {
  let [ran, late] = [0, 0];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const result = play(seed, earliest);
    ran += result.ran;
    late += result.late;
  }
  return { ran, late };
}

test('no request runs with a key that was revoked longer ago than the bound', () => {
  const { ran, late } = total((clock, { provenMs }) => clock.earliestOwnTime(provenMs));
  assert.is(late, 0);
  assert.ok(ran > SEEDS * 50, `${ran} ran`);
});

test('an age counted from the arrival of the report lets some run', () => {
  const { late } = total((_clock, { clockMs, provenMs }, now) => now - (clockMs - provenMs));
  assert.ok(late > 0);
});

test('an age counted from the response to the poll lets some run', () => {
  const { late } = total((clock, { clockMs }) => clock.earliestOwnTime(clockMs));
  assert.ok(late > 0);
});

test('a node runs nothing before its first proof', () => {
  const bound = new RevocationBound(BOUND_MS);
  assert.not(bound.mayRun(0));
  bound.recordProof(100);
  assert.ok(bound.mayRun(100 + BOUND_MS - 101));
  assert.not(bound.mayRun(100 + BOUND_MS));
});

test.run();
