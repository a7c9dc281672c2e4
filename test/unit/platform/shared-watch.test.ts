/** Watches of prefixes with a common prefix share one watch of the store; each receives only its own events. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DIRECTORY_PREFIX, INSTANCE_KEY_PREFIX } from '../../../platform/documents.js';
import { RECORD_PREFIX } from '../../../src/core/promotion/records.js';
import type { WatchHandlers } from '../../../src/platform/contract.js';
import { SharedWatchStore } from '../../../src/platform/shared-watch.js';
import { MemoryStore } from '../../support/memory-store.js';

class Listener implements WatchHandlers {
  readonly receivedKeys: string[] = [];
  readonly ends: boolean[] = [];
  currentAt: number | undefined;

  onEvents(...[events, _revision, currentAt]: Parameters<WatchHandlers['onEvents']>): void {
    this.currentAt = currentAt;
    for (const event of events)
      this.receivedKeys.push(event.type === 'put' ? event.entry.key : event.key);
  }

  onEnd(_error: Error, compacted: boolean): void {
    this.ends.push(compacted);
  }
}

let now = 0;

const put = async (store: MemoryStore, key: string): Promise<void> => {
  await store.transaction([], [{ type: 'put', key, value: '' }]);
};
const joined = (): Promise<void> => Promise.resolve();

test('two prefixes share one watch, and a third with a different beginning has its own', async () => {
  const store = new MemoryStore();
  const shared = new SharedWatchStore(store, 'ab', () => now);
  const [first, second, other] = [new Listener(), new Listener(), new Listener()];
  shared.watch('ab1/', 2, first);
  shared.watch('ab2/', 2, second);
  shared.watch('c/', 2, other);
  await joined();
  assert.is(store.watchCount, 2);
  for (const key of ['ab1/x', 'ab2/y', 'ab3/z', 'c/w']) await put(store, key);
  assert.equal(
    [first.receivedKeys, second.receivedKeys, other.receivedKeys],
    [['ab1/x'], ['ab2/y'], ['c/w']],
  );
});

test('a listener that joins from an earlier revision misses no event, and no listener receives an event twice', async () => {
  const store = new MemoryStore();
  const shared = new SharedWatchStore(store, 'ab', () => now);
  const [first, second] = [new Listener(), new Listener()];
  shared.watch('ab', 2, first);
  await joined();
  await put(store, 'ab2/x');
  await put(store, 'ab2/y');
  shared.watch('ab2/', 3, second);
  await joined();
  assert.is(store.watchCount, 1);
  await put(store, 'ab2/z');
  assert.equal(first.receivedKeys, ['ab2/x', 'ab2/y', 'ab2/z']);
  assert.equal(second.receivedKeys, ['ab2/y', 'ab2/z']);
});

test('a listener that joins with the current revision shares the poll in flight, and its age', async () => {
  const store = new MemoryStore();
  const shared = new SharedWatchStore(store, 'ab', () => now);
  const [first, second, third] = [new Listener(), new Listener(), new Listener()];
  now = 1000;
  shared.watch('ab1/', 2, first);
  await joined();
  now = 1500;
  shared.watch('ab2/', 2, second);
  await joined();
  assert.is(store.watchesOpened, 1);
  now = 1600;
  await put(store, 'ab2/x');
  assert.equal([second.receivedKeys, second.currentAt], [['ab2/x'], 1000], 'sent before it joined');
  now = 1700;
  await put(store, 'ab2/y');
  assert.is(second.currentAt, 1600);
  shared.watch('ab', 2, third);
  await joined();
  assert.is(store.watchesOpened, 2, 'it lacks events that were reported');
  assert.equal(
    [third.receivedKeys, second.receivedKeys],
    [
      ['ab2/x', 'ab2/y'],
      ['ab2/x', 'ab2/y'],
    ],
  );
});

test('all listeners are notified when the watch ends, and the last one to leave closes it', async () => {
  const store = new MemoryStore();
  const shared = new SharedWatchStore(store, 'ab', () => now);
  const [first, second] = [new Listener(), new Listener()];
  const watchBoth = () => [shared.watch('ab1/', 2, first), shared.watch('ab2/', 2, second)];
  watchBoth();
  await joined();
  store.endWatches(true);
  assert.equal([first.ends, second.ends], [[true], [true]]);
  assert.is(store.watchCount, 0);
  const [leaveFirst, leaveSecond] = watchBoth();
  await joined();
  leaveFirst?.();
  assert.is(store.watchCount, 1);
  leaveSecond?.();
  assert.is(store.watchCount, 0);
});

test('the keys of instances and node records share a prefix, so that one poll covers both', () => {
  assert.ok(INSTANCE_KEY_PREFIX.startsWith(DIRECTORY_PREFIX));
  assert.ok(RECORD_PREFIX.startsWith(DIRECTORY_PREFIX));
});

test.run();
