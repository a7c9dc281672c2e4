/**
 * How long a node may accept keys that it can't confirm, in virtual time: readers poll the store and relay its
 * responses to other nodes, and any message may be delayed by seconds. No request may run with a key that was revoked
 * longer ago than the bound. The tests also show that computing the age of relayed data from its arrival would break
 * that.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PeerClock } from '../../src/core/directory/peer-clock.js';
import { RevocationBound } from '../../src/core/tenancy/revocation.js';
import { seededRandom } from '../support/random.js';

const BOUND_MS = 5000;
const POLL_MS = 750;
const SEEDS = 3000;
const DAY_MS = 20_000;
const REQUEST_EVERY_MS = 40;

interface RelayedReport {
  readonly arrivesAt: number;
  readonly clockMs: number;
  readonly provenMs: number;
  /** Whether the key existed according to the poll. */
  readonly isHeld: boolean;
}

/** A reader's reports to one node: polls may be slow, reports may be late, and the link may break for a while. */
function simulateReports(
  random: () => number,
  revokedAt: number,
  clockOffset: number,
): RelayedReport[] {
  const told: RelayedReport[] = [];
  const cutFrom = random() * DAY_MS;
  const cutTo = cutFrom + random() * 9000;
  let arrived = 0;
  for (let sentAt = random() * 500; sentAt < DAY_MS; ) {
    const readAt = sentAt + random() * POLL_MS;
    const answeredAt = readAt + (random() < 0.1 ? random() * 3000 : random() * POLL_MS);
    // The store's response shows its state at some time between the request and the response.
    const isHeld = readAt < revokedAt;
    const isCut = sentAt > cutFrom && sentAt < cutTo;
    const delay = random() < 0.2 ? random() * 6000 : random() * 50;
    arrived = Math.max(arrived, answeredAt + delay);
    const clockMs = answeredAt + clockOffset;
    if (!isCut) told.push({ arrivesAt: arrived, clockMs, provenMs: sentAt + clockOffset, isHeld });
    sentAt = answeredAt;
  }
  return told;
}

interface Day {
  readonly ran: number;
  /** Requests that ran with the key although they were sent later than the bound allows. */
  readonly late: number;
}

/** @param earliest computes the time, by the receiving node's clock, for which a report counts as proof */
function play(
  seed: number,
  earliest: (clock: PeerClock, told: RelayedReport, now: number) => number | undefined,
): Day {
  const random = seededRandom(seed);
  const revokedAt = 2000 + random() * 10_000;
  const acknowledgedAt = revokedAt;
  const askedAt = random() * 300;
  const told = simulateReports(random, revokedAt, (random() - 0.5) * 1e7).filter(
    ({ arrivesAt }) => arrivesAt > askedAt,
  );
  const clock = new PeerClock(askedAt);
  const bound = new RevocationBound(BOUND_MS);
  let isHeld = false;
  let [ran, late] = [0, 0];
  for (let now = askedAt; now < DAY_MS; now += REQUEST_EVERY_MS) {
    while (told[0] !== undefined && told[0].arrivesAt <= now) {
      const word = told.shift() as RelayedReport;
      clock.recordResponse(word.clockMs);
      isHeld = word.isHeld;
      bound.recordProof(earliest(clock, word, word.arrivesAt) ?? Number.NEGATIVE_INFINITY);
    }
    if (!isHeld || !bound.mayRun(now)) continue;
    ran += 1;
    if (now > acknowledgedAt + BOUND_MS) late += 1;
  }
  return { ran, late };
}

function total(earliest: Parameters<typeof play>[1]): Day {
  let [ran, late] = [0, 0];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const day = play(seed, earliest);
    ran += day.ran;
    late += day.late;
  }
  return { ran, late };
}

test('nothing runs with a key that was taken away longer ago than the bound', () => {
  const { ran, late } = total((clock, { provenMs }) => clock.earliestOwnTime(provenMs));
  assert.is(late, 0);
  assert.ok(ran > SEEDS * 50, `${ran} ran`);
});

test('an age that counts from the arrival of the word would let some run', () => {
  const { late } = total((_clock, { clockMs, provenMs }, now) => now - (clockMs - provenMs));
  assert.ok(late > 0);
});

test('an age that counts from the answer of the poll would let some run', () => {
  const { late } = total((clock, { clockMs }) => clock.earliestOwnTime(clockMs));
  assert.ok(late > 0);
});

test('a node that was never told anything runs nothing', () => {
  const bound = new RevocationBound(BOUND_MS);
  assert.not(bound.mayRun(0));
  bound.recordProof(100);
  assert.ok(bound.mayRun(100 + BOUND_MS - 101));
  assert.not(bound.mayRun(100 + BOUND_MS));
});

test.run();
