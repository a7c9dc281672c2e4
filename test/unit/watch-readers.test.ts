/** Which nodes read the store for the others, which changes a reader keeps for them, and when a node relies on its readers. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { READER_TIMEOUT_MS, ReaderTracker } from '../../src/core/directory/reader-tracker.js';
import { RelayedFreshness } from '../../src/core/directory/relayed-freshness.js';
import { WatchHistory } from '../../src/core/directory/watch-history.js';
import type { ReachableNode } from '../../src/core/ownership/owner-roster.js';
import {
  type ReaderCandidate,
  readersOf,
  selectReaders,
} from '../../src/core/ownership/watch-readers.js';
import { parseRelayedRange, parseWatchRequest } from '../../src/direct/readers/messages.js';
import type { WatchEvent } from '../../src/platform/contract.js';

const MAX_AGE_MS = 2900;

const node = (zone: string, number: number): ReachableNode => ({
  nodeId: `${zone}-${number}`,
  zone,
  host: '127.0.0.1',
  port: 7000 + number,
});
const candidate = (place: ReachableNode, linkMbps = 10): ReaderCandidate => ({
  ...place,
  linkMbps,
});
const fleet = (zones: readonly string[], perZone: number): ReaderCandidate[] =>
  zones.flatMap((zone) =>
    Array.from({ length: perZone }, (_, number) => candidate(node(zone, number))),
  );
const put = (key: string, modRevision: number, value = ''): WatchEvent => ({
  type: 'put',
  entry: { key, value, createRevision: modRevision, modRevision },
});

test('a large fleet has two readers in each zone, a small one none', () => {
  const readers = selectReaders([], fleet(['a', 'b', 'c'], 10));
  assert.equal(
    readers.map(({ nodeId }) => nodeId),
    ['a-0', 'a-1', 'b-0', 'b-1', 'c-0', 'c-1'],
  );
  assert.equal(selectReaders([], fleet(['a', 'b', 'c'], 7)), []);
});

test('readers stay assigned while they live, also when half of the fleet restarts', () => {
  const all = fleet(['a', 'b'], 14);
  const before = [node('a', 5), node('a', 6), node('b', 5), node('b', 6)];
  assert.equal(selectReaders(before, all), before);
  const left = all.filter(({ nodeId }) => nodeId !== 'a-5').slice(0, 14);
  const names = selectReaders(before, left).map(({ nodeId }) => nodeId);
  assert.ok(names.includes('a-6') && !names.includes('a-5'));
  assert.equal(selectReaders(before, all.slice(0, 11)), []);
});

test('the nodes with the fastest links of their zone are readers, also in place of slower former readers', () => {
  const slow = fleet(['a'], 24);
  const fast = [candidate(node('a', 30), 200), candidate(node('a', 31), 200)];
  const names = (nodes: readonly ReachableNode[]): string[] => nodes.map(({ nodeId }) => nodeId);
  const before = selectReaders([], slow);
  assert.equal(names(before), ['a-0', 'a-1']);
  const after = selectReaders(before, [...slow, ...fast]);
  assert.equal(after, [node('a', 30), node('a', 31)]);
  assert.equal(names(selectReaders(after, [...slow, ...fast.slice(1)])), ['a-0', 'a-31']);
});

test('a node receives changes from the readers of its zone, and a reader from the store', () => {
  const readers = selectReaders([], fleet(['a', 'b'], 12));
  assert.equal(readersOf(node('a', 0), readers), { type: 'self' });
  assert.equal(readersOf(node('b', 9), readers), {
    type: 'others',
    readers: [node('b', 0), node('b', 1)],
  });
  assert.equal(readersOf(node('c', 0), readers), { type: 'others', readers: [] });
});

test('two readers of different zones poll the store, and the other readers receive changes from them', () => {
  const readers = selectReaders([], fleet(['c', 'a', 'b'], 12));
  const ofStore = [node('a', 0), node('b', 0)];
  for (const reader of ofStore) assert.equal(readersOf(reader, readers), { type: 'self' });
  for (const relay of [node('a', 1), node('b', 1), node('c', 0), node('c', 1)]) {
    assert.equal(readersOf(relay, readers), { type: 'relay', readers: ofStore });
  }
  const left = readers.filter(({ nodeId }) => nodeId !== 'a-0');
  assert.equal(readersOf(node('a', 1), left), { type: 'self' });
  assert.equal(readersOf(node('b', 0), left), { type: 'self' }, 'stays');
  const oneZone = selectReaders([], fleet(['a'], 24));
  for (const reader of oneZone) assert.equal(readersOf(reader, oneZone), { type: 'self' });
});

test('a relay forwards changes at once, and without changes only a confirmation that is newer by a minimum interval', () => {
  const freshness = new RelayedFreshness(400);
  assert.not(freshness.takeRelayDue(true));
  freshness.record({ currentAsOf: 1000, provenCurrentAsOf: 900 });
  assert.ok(freshness.takeRelayDue(false));
  freshness.record({ currentAsOf: 1300, provenCurrentAsOf: 1200 });
  assert.not(freshness.takeRelayDue(false));
  assert.ok(freshness.takeRelayDue(true));
  freshness.record({ currentAsOf: 1100, provenCurrentAsOf: 1000 });
  assert.equal(freshness.times, { currentAsOf: 1300, provenCurrentAsOf: 1200 });
  freshness.record({ currentAsOf: 1700, provenCurrentAsOf: 1600 });
  assert.ok(freshness.takeRelayDue(false));
  freshness.record({ currentAsOf: 1900, provenCurrentAsOf: Number.NEGATIVE_INFINITY });
  assert.equal(freshness.times, { currentAsOf: 1700, provenCurrentAsOf: 1600 });
  freshness.clear();
  assert.is(freshness.times, undefined);
  assert.not(freshness.takeRelayDue(true));
});

test('a history returns the changes since a revision, and nothing if it lacks a part of them', () => {
  const history = new WatchHistory();
  assert.is(history.changesSince(0), undefined);
  history.append({ after: 4, revision: 8, events: [put('a', 6), put('b', 8)] });
  history.append({ after: 8, revision: 11, events: [put('a', 10)] });
  assert.is(history.changesSince(3), undefined);
  assert.equal(history.changesSince(6), {
    after: 6,
    revision: 11,
    events: [put('b', 8), put('a', 10)],
  });
  assert.equal(history.changesSince(20), { after: 20, revision: 20, events: [] });
});

test('a history restarts after a gap, and drops its oldest changes when it is full', () => {
  const history = new WatchHistory();
  history.append({ after: 1, revision: 2, events: [put('a', 2)] });
  history.append({ after: 5, revision: 6, events: [put('a', 6)] });
  assert.is(history.changesSince(2), undefined);
  assert.is(history.changesSince(5)?.events.length, 1);
  const large = 'x'.repeat(200_000);
  history.append({ after: 6, revision: 7, events: [put('a', 7, large)] });
  history.append({ after: 7, revision: 8, events: [put('a', 8, large)] });
  assert.is(history.changesSince(6), undefined);
  assert.is(history.changesSince(7)?.events.length, 1);
});

test('a node relies on readers that report in time, with recent confirmations and without gaps', () => {
  const tracker = new ReaderTracker(MAX_AGE_MS);
  assert.not(tracker.isServedByReaders(0, 10));
  tracker.recordReport('one', 1000, 900);
  assert.ok(tracker.isServedByReaders(1000, 10));
  assert.ok(tracker.isServedByReaders(1000 + READER_TIMEOUT_MS, 10));
  assert.not(tracker.isServedByReaders(1001 + READER_TIMEOUT_MS, 10));
  tracker.recordReport('one', 5000, 5000 - MAX_AGE_MS - 1);
  assert.not(tracker.isServedByReaders(5000, 10));
  tracker.recordReport('one', 6000, 6000);
  tracker.recordReport('two', 6000, 6000, 12);
  assert.not(tracker.isServedByReaders(6000, 11));
  assert.ok(tracker.isServedByReaders(6000, 12));
  tracker.removeReader('one');
  tracker.removeReader('two');
  assert.not(tracker.isServedByReaders(6000, 12));
});

test('malformed messages are rejected', () => {
  const event = { type: 'put', entry: { key: 'k', value: 'v', createRevision: 1, modRevision: 2 } };
  const range = { after: 1, revision: 2, ageMs: 3, clockMs: 9, provenMs: 5, events: [event] };
  assert.equal(parseRelayedRange(range), range);
  const gone = { type: 'delete', key: 'k', modRevision: 2 };
  assert.ok(parseRelayedRange({ ...range, events: [gone] }));
  const malformed = [
    ...[undefined, null, [], 'text', { ...range, after: -1 }, { ...range, revision: 0 }],
    ...[
      { ...range, ageMs: Number.NaN },
      { ...range, clockMs: undefined },
      { ...range, provenMs: 'old' },
      { ...range, provenMs: 10 },
      { ...range, events: {} },
      { ...range, events: [null] },
    ],
    { ...range, events: [{ type: 'put', entry: { key: 'k' } }] },
    { ...range, events: [{ type: 'other' }] },
    { ...range, events: [{ type: 'delete', key: 1, modRevision: 2 }] },
  ];
  for (const value of malformed) assert.is(parseRelayedRange(value), undefined);
  assert.ok(parseWatchRequest({ type: 'watch', prefix: 'p', after: 0 }));
  for (const value of [undefined, {}, { type: 'watch', prefix: 1, after: 0 }]) {
    assert.is(parseWatchRequest(value), undefined);
  }
});

test.run();
