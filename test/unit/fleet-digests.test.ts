/** How a node merges its own observations of instances with those that other nodes report. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FleetDigests, MAX_AGE_MS } from '../../src/core/fleet/fleet-digests.js';
import type { InstanceDigest } from '../../src/core/fleet/instance-digest.js';
import { weightedMedian } from '../../src/core/fleet/weighted-median.js';

const NOW = 100_000;

function digestOf(changes: Partial<InstanceDigest> = {}): InstanceDigest {
  return {
    ...{ service: 'ledger', instanceId: 'i-1', ageMs: 0, observers: 1 },
    ...{ answered: 10, refused: 0, failed: 0, answerMs: 10, waitMs: 0 },
    ...changes,
  };
}

test('own observations form a digest, and expire after little more than a second', () => {
  const digests = new FleetDigests();
  for (const answerMs of [8, 12, undefined]) {
    digests.recordOwn('ledger', 'i-1', { type: 'answered', answerMs }, NOW);
  }
  digests.recordOwn('ledger', 'i-1', { type: 'refused' }, NOW + 300);
  digests.recordOwn('ledger', 'i-1', { type: 'failed' }, NOW + 300);
  digests.recordOwn('ledger', 'i-1', { type: 'started', waitMs: 4 }, NOW + 300);
  const [digest] = digests.ownDigests(NOW + 400);
  const { answered, refused, failed, answerMs, waitMs } = digest ?? digestOf({ answered: -1 });
  const seen = { answered, refused, failed, answerMs, waitMs };
  assert.equal(seen, { answered: 3, refused: 1, failed: 1, answerMs: 10, waitMs: 4 });
  assert.is(digests.ownDigests(NOW + 1600).length, 0);
  assert.is(digests.viewOf('i-1', NOW + 1600), undefined);
});

test('many digests with few observations outweigh a single deviating one with many', () => {
  const digests = new FleetDigests();
  for (let node = 0; node < 12; node += 1) {
    digests.recordReported(digestOf({ answered: 4, answerMs: 70 }), `n${node}`, NOW);
  }
  digests.recordReported(digestOf({ answered: 1900, answerMs: 1 }), 'liar', NOW);
  const view = digests.viewOf('i-1', NOW);
  assert.ok((view?.answerMs ?? 0) > 30, JSON.stringify(view));
  assert.ok((view?.answered ?? 0) <= 2 * 12 * 4, JSON.stringify(view));
});

test('failures that only one node reports do not make an instance faulty', () => {
  const digests = new FleetDigests();
  for (let node = 0; node < 11; node += 1) digests.recordReported(digestOf(), `n${node}`, NOW);
  digests.recordReported(digestOf({ answered: 0, failed: 20, answerMs: 0 }), 'bad link', NOW);
  const view = digests.viewOf('i-1', NOW);
  assert.ok((view?.failed ?? 0) < 0.2 * (view?.answered ?? 0), JSON.stringify(view));
});

test('digests lose weight with age, and old ones are rejected', () => {
  const digests = new FleetDigests();
  digests.recordReported(digestOf({ answerMs: 70, ageMs: 1500 }), 'late', NOW);
  digests.recordReported(digestOf({ answerMs: 10 }), 'fresh', NOW);
  assert.ok((digests.viewOf('i-1', NOW)?.answerMs ?? 100) < 30);
  assert.is(digests.recordReported(digestOf({ ageMs: MAX_AGE_MS }), 'late', NOW), 'stale');
  assert.is(digests.viewOf('i-1', NOW + MAX_AGE_MS), undefined);
});

test('impossible figures are rejected', () => {
  const digests = new FleetDigests();
  const implausible: Partial<InstanceDigest>[] = [
    { ageMs: -1 },
    { observers: 0 },
    { answered: -5 },
    { answered: 1e9 },
    { answerMs: -3 },
    { waitMs: 1e9 },
    { observers: 1e9, answered: 1e9 },
  ];
  for (const changes of implausible) {
    assert.is(
      digests.recordReported(digestOf(changes), 'n', NOW),
      'implausible',
      JSON.stringify(changes),
    );
  }
  assert.is(digests.viewOf('i-1', NOW), undefined);
});

test('the merged digests combine the observations of all nodes, and age until they are merged again', () => {
  const reader = new FleetDigests();
  reader.recordOwn('ledger', 'i-1', { type: 'answered', answerMs: 10 }, NOW);
  reader.recordReported(digestOf({ answered: 4 }), 'n1', NOW);
  reader.recordReported(digestOf({ answered: 3, instanceId: 'i-2' }), 'n1', NOW);
  const answeredCounts = (now: number) =>
    reader.mergedDigests(now).map(({ instanceId, answered }) => `${instanceId}: ${answered}`);
  assert.equal(answeredCounts(NOW), ['i-1: 5', 'i-2: 3']);
  const [, before] = reader.mergedDigests(NOW);
  const [, after] = reader.mergedDigests(NOW + 50);
  assert.is((after?.ageMs ?? 0) - (before?.ageMs ?? 0), 50);
  reader.recordReported(digestOf({ answered: 2, instanceId: 'i-2' }), 'n1', NOW + 60);
  assert.equal(answeredCounts(NOW + 100), ['i-1: 5', 'i-2: 2']);
});

test('only the newest digest of each node counts, and instances that are gone are removed', () => {
  const digests = new FleetDigests();
  digests.recordReported(digestOf({ answered: 10 }), 'n1', NOW);
  digests.recordReported(digestOf({ answered: 4 }), 'n1', NOW);
  assert.is(digests.viewOf('i-1', NOW)?.answered, 4);
  digests.removeStale(() => false, NOW);
  assert.is(digests.viewOf('i-1', NOW), undefined);
});

test('a minority of the weight does not move a median far', () => {
  assert.is(weightedMedian([]), 0);
  assert.is(weightedMedian([{ value: 3, weight: 0.5 }]), 3);
  assert.is(
    weightedMedian([
      { value: 9, weight: 1 },
      { value: 1, weight: 1 },
    ]),
    5,
  );
  const most = { value: 10, weight: 8 };
  assert.ok(weightedMedian([most, { value: 1000, weight: 1 }]) < 250);
});

test.run();
