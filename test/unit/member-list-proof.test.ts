/** Up to which time a node knows all members, by reads and reports. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  MemberListProof,
  type PeerListReport,
} from '../../src/core/promotion/member-list-proof.js';

const FLEET = { now: 10_020, hasStore: false, otherNodes: 5 };

function report(peer: string, change: Partial<PeerListReport>): PeerListReport {
  return { peer, requestedAt: 10_000, listAgeMs: undefined, hasStore: false, ...change };
}

function proofOf(...reports: readonly PeerListReport[]): MemberListProof {
  const proof = new MemberListProof();
  for (const one of reports) proof.record(one);
  return proof;
}

test('nothing is proven without a read and without reports', () => {
  assert.is(new MemberListProof().completeAsOf(FLEET), Number.NEGATIVE_INFINITY);
});

test('a read proves the list as of the time at which it was sent, and a later one does not take that back', () => {
  const proof = new MemberListProof();
  proof.recordRead(500);
  proof.recordRead(400);
  assert.is(proof.completeAsOf(FLEET), 500);
});

test("a peer's list is as old as the peer's own proof", () => {
  const proof = proofOf(report('a', { listAgeMs: 300, hasStore: true }));
  assert.is(proof.completeAsOf(FLEET), 9700);
  assert.is(proof.provenAt, 9700);
});

test('two peers without the store prove an outage as of the earlier request', () => {
  const proof = proofOf(report('a', { requestedAt: 9000 }), report('b', { requestedAt: 9500 }));
  assert.is(proof.completeAsOf(FLEET), 9000);
  assert.is(proof.provenAt, Number.NEGATIVE_INFINITY, 'an outage is no list for other nodes');
});

test('one peer without the store proves no outage, however often it reports', () => {
  const proof = proofOf(report('a', { requestedAt: 9000 }), report('a', { requestedAt: 9500 }));
  assert.is(proof.completeAsOf(FLEET), Number.NEGATIVE_INFINITY);
});

test('in a fleet of two the other node suffices', () => {
  const proof = proofOf(report('a', { requestedAt: 9000 }));
  assert.is(proof.completeAsOf({ ...FLEET, otherNodes: 1 }), 9000);
});

test('a node that knows of no other one takes its own outage for that of all', () => {
  const alone = { ...FLEET, otherNodes: 0 };
  assert.is(new MemberListProof().completeAsOf(alone), 10_020);
  assert.is(
    new MemberListProof().completeAsOf({ ...alone, hasStore: true }),
    Number.NEGATIVE_INFINITY,
  );
});

test('a node with a lease knows of no outage', () => {
  const proof = proofOf(report('a', {}), report('b', {}));
  assert.is(proof.completeAsOf({ ...FLEET, hasStore: true }), Number.NEGATIVE_INFINITY);
});

test('a peer with the store proves that there is no outage', () => {
  const others = [report('a', { requestedAt: 9000 }), report('b', { requestedAt: 9500 })];
  const proof = proofOf(...others, report('c', { requestedAt: 9600, hasStore: true }));
  assert.is(proof.completeAsOf(FLEET), Number.NEGATIVE_INFINITY);
});

test('a list read a moment ago by any node contradicts an outage', () => {
  const reports = [report('a', { listAgeMs: 600 }), report('b', {})];
  assert.is(proofOf(...reports).completeAsOf(FLEET), 9400);
  const older = [report('a', { listAgeMs: 1600 }), report('b', {})];
  assert.is(proofOf(...older).completeAsOf(FLEET), 10_000);
});

test.run();
