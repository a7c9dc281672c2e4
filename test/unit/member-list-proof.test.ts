/** Up to which time a node knows all members, by reads and reports. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type FleetState,
  MemberListProof,
  type PeerListReport,
} from '../../src/core/promotion/member-list-proof.js';

const FLEET: FleetState = {
  ...{ now: 10_020, isStoreResponding: false, countedNodes: 4, knownNodes: 2 },
};

function report(change: Partial<PeerListReport>): PeerListReport {
  return { requestedAt: 10_000, listAgeMs: undefined, outages: [], fleetNodes: 4, ...change };
}

/** The report of a peer without the store, which knows of no other such node. */
function outageOf(node: string, change: Partial<PeerListReport> = {}): PeerListReport {
  return report({ outages: [{ node, ageMs: 0 }], ...change });
}

function proofOf(...reports: readonly PeerListReport[]): MemberListProof {
  const proof = new MemberListProof('own');
  for (const one of reports) proof.record(one);
  return proof;
}

test('nothing is proven without a read and without reports', () => {
  assert.is(proofOf().completeAsOf(FLEET), Number.NEGATIVE_INFINITY);
});

test('a read proves the list as of the time at which it was sent, and a later one does not take that back', () => {
  const proof = proofOf();
  proof.recordRead(500);
  proof.recordRead(400);
  assert.is(proof.completeAsOf(FLEET), 500);
});

test("a peer's list is as old as the peer's own proof", () => {
  const proof = proofOf(report({ listAgeMs: 300 }));
  assert.is(proof.completeAsOf(FLEET), 9700);
  assert.is(proof.provenAt, 9700);
});

test('an outage reported by all other nodes is proven as of the earliest report', () => {
  const times = { a: 9000, b: 9500, c: 9700 };
  const reports = Object.entries(times).map(([node, requestedAt]) =>
    outageOf(node, { requestedAt }),
  );
  const proof = proofOf(...reports);
  assert.is(proof.completeAsOf(FLEET), 9000);
  assert.is(proof.provenAt, Number.NEGATIVE_INFINITY, 'an outage is no list for other nodes');
});

test('no outage is proven while one node has not reported it, however often the others do', () => {
  const early = [outageOf('a', { requestedAt: 9000 }), outageOf('b', { requestedAt: 9100 })];
  const proof = proofOf(...early, outageOf('a'), outageOf('b'));
  assert.is(proof.completeAsOf(FLEET), Number.NEGATIVE_INFINITY);
  assert.is(proof.completeAsOf({ ...FLEET, countedNodes: 3 }), 10_000);
});

test('a report that a peer passes on is as old as the peer says, and the newest counts', () => {
  const passedOn = report({
    outages: [
      { node: 'a', ageMs: 0 },
      { node: 'b', ageMs: 700 },
    ],
  });
  assert.is(proofOf(passedOn).completeAsOf({ ...FLEET, countedNodes: 3 }), 9300);
  const proof = proofOf(outageOf('b', { requestedAt: 9600 }), passedOn);
  assert.is(proof.completeAsOf({ ...FLEET, countedNodes: 3 }), 9600);
});

test('what peers pass on about this node itself stands for no other node', () => {
  const proof = proofOf(outageOf('a'), outageOf('own'));
  assert.is(proof.completeAsOf({ ...FLEET, countedNodes: 3 }), Number.NEGATIVE_INFINITY);
});

test('a node without a count of the fleet takes the largest that it is told or knows by address', () => {
  const uncounted = { ...FLEET, countedNodes: undefined };
  const proof = proofOf(outageOf('a', { fleetNodes: 1 }));
  assert.is(proof.completeAsOf(uncounted), 10_000);
  assert.is(proof.completeAsOf({ ...uncounted, knownNodes: 3 }), Number.NEGATIVE_INFINITY);
  proof.record(outageOf('a', { fleetNodes: 4 }));
  assert.is(proof.completeAsOf(uncounted), Number.NEGATIVE_INFINITY);
});

test('a node that knows of no other one takes its own outage for that of all', () => {
  const alone = { ...FLEET, countedNodes: undefined, knownNodes: 1 };
  assert.is(proofOf().completeAsOf(alone), 10_020);
  const isServed = { ...alone, isStoreResponding: true };
  assert.is(proofOf().completeAsOf(isServed), Number.NEGATIVE_INFINITY);
});

test('a node to which the store responds knows of no outage, and reports none of its own', () => {
  const proof = proofOf(outageOf('a'), outageOf('b'), outageOf('c'));
  const isServed = { ...FLEET, isStoreResponding: true };
  assert.is(proof.completeAsOf(isServed), Number.NEGATIVE_INFINITY);
  const nodes = proof.outages(isServed).map(({ node }) => node);
  assert.equal(nodes, ['a', 'b', 'c']);
});

test('a node without the store passes on its own outage and those reported to it, with their ages', () => {
  const proof = proofOf(outageOf('a', { requestedAt: 9000 }));
  assert.equal(proof.outages(FLEET), [
    { node: 'a', ageMs: 1020 },
    { node: 'own', ageMs: 0 },
  ]);
});

test('reports of long ago are dropped', () => {
  const proof = proofOf(outageOf('a', { requestedAt: 0 }), outageOf('b', { requestedAt: 11_000 }));
  assert.equal(proof.outages({ now: 11_000, isStoreResponding: true }), [{ node: 'b', ageMs: 0 }]);
});

test('a node that asks no more peers passes on nothing of long ago', () => {
  const proof = proofOf(outageOf('a', { requestedAt: 1000 }));
  assert.is(proof.outages({ now: 11_000, isStoreResponding: true }).length, 1);
  assert.equal(proof.outages({ now: 11_001, isStoreResponding: true }), []);
});

test('a list read a moment ago by any node contradicts an outage', () => {
  const outages = ['a', 'b', 'c'].map((node) => ({ node, ageMs: 0 }));
  assert.is(proofOf(report({ outages, listAgeMs: 600 })).completeAsOf(FLEET), 9400);
  assert.is(proofOf(report({ outages, listAgeMs: 1600 })).completeAsOf(FLEET), 10_000);
});

test.run();
