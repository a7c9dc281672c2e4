import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  containsPosition,
  isEligible,
  type ReplicaCandidate,
  rankReplicas,
} from '../../src/core/routing/select.js';
import { PrimaryPositionHistory } from '../../src/core/routing/staleness.js';
import { staleRead, state } from '../support/group-fixtures.js';

function candidate(name: string, overrides: Partial<ReplicaCandidate> = {}): ReplicaCandidate {
  return {
    instance: {
      name,
      state: state(false, 5, 100),
      observedAt: 0,
      observedSequence: 1,
      reachability: 'reachable',
      missedProbes: 0,
    },
    zone: name,
    leaving: false,
    freshAsOf: 1000,
    load: 0,
    slots: 4,
    serviceTimeMs: 2,
    ...overrides,
  };
}

const at = (timeline: number, lsn: bigint) => ({ timeline, lsn });

test('a position of an earlier timeline is contained in a later one only from its LSN on', () => {
  assert.ok(containsPosition(at(5, 100n), at(5, 100n)));
  assert.not.ok(containsPosition(at(5, 99n), at(5, 100n)));
  assert.not.ok(containsPosition(at(6, 99n), at(5, 100n)));
  assert.ok(containsPosition(at(6, 100n), at(5, 100n)));
  assert.not.ok(containsPosition(at(5, 900n), at(6, 100n)));
});

test('a replica is eligible only for reads that its state allows', () => {
  const read = staleRead('r', { session: { type: 'known', position: at(5, 100n) } });
  const ahead = staleRead('r', { session: { type: 'known', position: at(5, 101n) } });
  assert.ok(isEligible(candidate('b'), read, 1000));
  assert.ok(isEligible(candidate('b'), read, 1500));
  assert.not.ok(isEligible(candidate('b'), read, 1501), 'too stale');
  assert.not.ok(isEligible(candidate('b'), ahead, 1000), 'behind the session');
  assert.not.ok(isEligible(candidate('b', { leaving: true }), read, 1000), 'leaving');
  assert.not.ok(isEligible(candidate('b'), { ...read, stalenessBoundMs: 0 }, 1000));
  assert.not.ok(isEligible(candidate('b'), { ...read, session: { type: 'unknown' } }, 1000));
  const instance = { ...candidate('b').instance, reachability: 'suspect' as const };
  assert.not.ok(isEligible(candidate('b', { instance: instance }), read, 1000), 'suspect');
});

test('the nearest replica is preferred until its queue costs more than the distance', () => {
  const names = (candidates: readonly ReplicaCandidate[], avoid?: string) =>
    rankReplicas(candidates, staleRead('r'), 'b', avoid).map((one) => one.instance.name);
  assert.equal(names([candidate('c'), candidate('b')]), ['b', 'c']);
  assert.equal(names([candidate('c'), candidate('b', { load: 8 })]), ['c', 'b']);
  assert.equal(names([candidate('c'), candidate('b')], 'b'), ['c', 'b']);
});

test('a replica is as fresh as the last sample of the primary that is not ahead of it', () => {
  const history = new PrimaryPositionHistory();
  history.add({ at: 10, position: at(5, 100n) });
  history.add({ at: 20, position: at(5, 100n) });
  history.add({ at: 30, position: at(5, 110n) });
  assert.is(history.freshAsOf(at(5, 100n), 1000), 20);
  assert.is(history.freshAsOf(at(5, 110n), 1000), 30);
  assert.is(history.freshAsOf(at(5, 110n), 25), 25, 'no later than a majority confirms');
  assert.is(history.freshAsOf(at(5, 90n), 1000), Number.NEGATIVE_INFINITY);
});

test('a replica that follows a new primary but still replays the old log is no fresher than its replayed position', () => {
  const history = new PrimaryPositionHistory();
  history.add({ at: 10, position: at(5, 100n) });
  history.add({ at: 30, position: at(5, 110n) });
  assert.is(history.freshAsOf(at(6, 90n), 1000), Number.NEGATIVE_INFINITY);
  assert.is(history.freshAsOf(at(6, 100n), 1000), 10);
  assert.is(history.freshAsOf(at(6, 110n), 1000), 30);
});

test.run();
