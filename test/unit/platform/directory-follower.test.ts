import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  CONFIGURATION_KEY,
  INSTANCE_KEY_PREFIX,
  parseConfiguration,
  parseInstance,
} from '../../../platform/documents.js';
import type { MeadowstackError } from '../../../src/core/errors.js';
import { DirectoryFollower } from '../../../src/direct/directory-follower.js';
import type {
  KeyValue,
  RangeResponse,
  Store,
  StoreError,
  WatchEvent,
  WatchHandlers,
} from '../../../src/platform/contract.js';
import {
  StoreCompactedError,
  StoreUnavailableError,
  StoreWatchEndedError,
} from '../../../src/platform/errors.js';
import { ODD_ENTRIES } from '../../support/odd-entries.js';

interface OpenWatch {
  readonly fromRevision: number;
  readonly handlers: WatchHandlers;
  open: boolean;
}

/** A store whose responses for two prefixes the test sets. */
class FakeStore implements Pick<Store, 'range' | 'watch'> {
  readonly ranges = new Map<string, RangeResponse | StoreError>();
  readonly reads: string[] = [];
  readonly watches = new Map<string, OpenWatch[]>();

  range(prefix: string): ResultAsync<RangeResponse, StoreError> {
    this.reads.push(prefix);
    const answer = this.ranges.get(prefix) ?? { revision: 1, entries: [] };
    return answer instanceof Error ? errAsync(answer) : okAsync(answer as RangeResponse);
  }

  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): () => void {
    const watch = { fromRevision, handlers, open: true };
    this.watches.set(prefix, [...(this.watches.get(prefix) ?? []), watch]);
    return () => {
      watch.open = false;
    };
  }

  last(prefix: string): OpenWatch {
    const watch = this.watches.get(prefix)?.at(-1);
    if (watch === undefined) throw new Error(`no watch of ${prefix}`);
    return watch;
  }

  opened(prefix: string): number[] {
    return (this.watches.get(prefix) ?? []).map(({ fromRevision }) => fromRevision);
  }
}

interface Setup {
  readonly store: FakeStore;
  readonly follower: DirectoryFollower;
  /** Notifications, in order. */
  readonly notifications: string[];
  readonly pauses: { readonly delayMs: number; run(): void }[];
  now: number;
}

function setUp(): Setup {
  const store = new FakeStore();
  const notifications: string[] = [];
  const pauses: { delayMs: number; run(): void }[] = [];
  const setup = { store, notifications, pauses, now: 0 };
  const follower = new DirectoryFollower({
    store: store as Pick<Store, 'range' | 'watch'> as Store,
    parseConfiguration,
    parseInstance,
    prefixes: { configurationKey: CONFIGURATION_KEY, instancePrefix: INSTANCE_KEY_PREFIX },
    handlers: {
      onConfiguration: ({ version }) => notifications.push(`configuration ${version}`),
      onInstances: (instances, changed) =>
        notifications.push(`instances ${[...instances.keys()]} changed ${changed}`),
      onConfigurationSkipped: ({ version, revision }) =>
        notifications.push(`skipped ${version} at ${revision}`),
      onInstanceRemoved: ({ id, revision }) => notifications.push(`removed ${id} at ${revision}`),
      onProblem: (error: MeadowstackError) => notifications.push(error.code),
    },
    clock: () => setup.now,
    schedule: (delayMs, run) => {
      pauses.push({ delayMs, run });
      return () => undefined;
    },
    random: () => 0.5,
  });
  return Object.assign(setup, { follower });
}

function item(key: string, value: object | string, modRevision: number): KeyValue {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return { key, value: text, createRevision: 1, modRevision };
}

function put(key: string, value: object | string, modRevision: number): WatchEvent {
  return { type: 'put', entry: item(key, value, modRevision) };
}

function configuration(version: number, revision: number): KeyValue {
  return item(CONFIGURATION_KEY, { version, routes: [], services: [] }, revision);
}

function entry(change: object = {}): object {
  const whole = { service: 'svc', address: '10.0.0.1:80', zone: 'a', slots: 3, state: 'ready' };
  return { ...whole, database_role: 'replica', sequence: 1, ...change };
}

/** Lets pending responses arrive. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

async function started(prepare: (store: FakeStore) => void): Promise<Setup> {
  const setup = setUp();
  prepare(setup.store);
  setup.follower.start();
  await settle();
  return setup;
}

test('the first range is reported, and watched from the next revision on', async () => {
  const { store, notifications, follower } = await started((one) => {
    one.ranges.set(CONFIGURATION_KEY, { revision: 9, entries: [configuration(7, 4)] });
    one.ranges.set(INSTANCE_KEY_PREFIX, {
      revision: 12,
      entries: [item('servers/i-1', entry(), 5)],
    });
  });
  assert.equal(notifications.sort(), ['configuration 7', 'instances i-1 changed i-1']);
  assert.equal(store.opened(CONFIGURATION_KEY), [10]);
  assert.equal(store.opened(INSTANCE_KEY_PREFIX), [13]);
  assert.is(follower.configuration()?.version, 7);
  assert.is(follower.instances().get('i-1')?.host, '10.0.0.1');
});

test('only a configuration of a higher version is accepted', async () => {
  const { store, notifications, follower } = await started((one) => {
    one.ranges.set(CONFIGURATION_KEY, { revision: 9, entries: [configuration(7, 4)] });
  });
  notifications.length = 0;
  const { handlers } = store.last(CONFIGURATION_KEY);
  handlers.onEvents([{ type: 'put', entry: configuration(6, 10) }], 10);
  handlers.onEvents([{ type: 'delete', key: CONFIGURATION_KEY, modRevision: 11 }], 11);
  handlers.onEvents([put(CONFIGURATION_KEY, '{"version":', 12)], 12);
  handlers.onEvents([put(`${CONFIGURATION_KEY}2`, { version: 99 }, 13)], 13);
  assert.equal(notifications, ['MS-PLATFORM-DOCUMENT']);
  assert.is(follower.configuration()?.version, 7);
  handlers.onEvents([{ type: 'put', entry: configuration(11, 14) }], 14);
  handlers.onEvents([{ type: 'put', entry: configuration(12, 14) }], 14);
  assert.equal(notifications.slice(1), ['configuration 11'], 'a repeated event is accepted once');
});

test('a heartbeat is not a change, a change of another field is, and a removal is reported with its revision', async () => {
  const { store, notifications } = await started((one) => {
    const entries = [item('servers/i-1', entry(), 5), item('servers/i-2', entry(), 6)];
    one.ranges.set(INSTANCE_KEY_PREFIX, { revision: 12, entries });
  });
  notifications.length = 0;
  const { handlers } = store.last(INSTANCE_KEY_PREFIX);
  handlers.onEvents([put('servers/i-1', entry({ sequence: 2 }), 13)], 13);
  handlers.onEvents([], 20);
  assert.equal(notifications, []);
  handlers.onEvents([put('servers/i-1', entry({ state: 'draining' }), 21)], 21);
  handlers.onEvents([{ type: 'delete', key: 'servers/i-2', modRevision: 22 }], 22);
  assert.equal(notifications, [
    'instances i-1,i-2 changed i-1',
    'removed i-2 at 22',
    'instances i-1 changed i-2',
  ]);
});

test('an instance whose entry becomes malformed is removed, and events older than the known revision are skipped', async () => {
  const { store, notifications, follower } = await started((one) => {
    const entries = [item('servers/i-1', entry(), 15)];
    one.ranges.set(INSTANCE_KEY_PREFIX, { revision: 12, entries });
  });
  notifications.length = 0;
  const { handlers } = store.last(INSTANCE_KEY_PREFIX);
  handlers.onEvents([put('servers/i-1', entry({ slots: 9 }), 13)], 13);
  handlers.onEvents([{ type: 'delete', key: 'servers/i-1', modRevision: 14 }], 14);
  handlers.onEvents([put('servers/i-1', 'junk', 16)], 16);
  assert.equal(notifications, [
    'MS-PLATFORM-DOCUMENT',
    'removed i-1 at 16',
    'instances  changed i-1',
  ]);
  handlers.onEvents([put('servers/i-1', entry(), 17)], 17);
  assert.is(follower.instances().get('i-1')?.slots, 3);
});

test('malformed entries of another writer are ignored, and the others are used', async () => {
  const damaged = [
    ...['junk', '', '[]', entry({ service: 7 }), entry({ state: 'asleep' })],
    ...[entry({ database_role: 'king' }), entry({ address: 'nowhere' }), entry({ slots: -1 })],
    ...[entry({ born: 'long ago' }), entry({ born: 1.5 }), entry({ zone: null })],
    'x'.repeat(1024 * 1024),
  ];
  const { follower, notifications } = await started((one) => {
    const entries = damaged.map((value, number) => item(`servers/d-${number}`, value, 5));
    const good = item('servers/i-1', entry(), 6);
    one.ranges.set(INSTANCE_KEY_PREFIX, { revision: 12, entries: [...entries, good] });
  });
  assert.equal([...follower.instances().keys()], ['i-1']);
  assert.is(notifications.filter((line) => line === 'MS-PLATFORM-DOCUMENT').length, damaged.length);
});

test('an instance that restarts under its id is a new instance', async () => {
  const { store, notifications, follower } = await started((one) => {
    const entries = [item('servers/i-1', entry({ born: 100, sequence: 40 }), 5)];
    one.ranges.set(INSTANCE_KEY_PREFIX, { revision: 12, entries });
  });
  const { handlers } = store.last(INSTANCE_KEY_PREFIX);
  const [first] = follower.instances().values();
  notifications.length = 0;
  handlers.onEvents([put('servers/i-1', entry({ born: 100, sequence: 41 }), 13)], 13);
  assert.equal(notifications, []);
  handlers.onEvents([put('servers/i-1', entry({ born: 200, sequence: 1 }), 14)], 14);
  const [second] = follower.instances().values();
  assert.is(follower.instances().size, 1);
  assert.is.not(second?.id, first?.id);
  assert.is(second?.lifeOf, first?.lifeOf);
  assert.is(notifications.length, 2);
  // A late registration of the first incarnation changes nothing.
  handlers.onEvents([put('servers/i-1', entry({ born: 100, sequence: 42 }), 13)], 14);
  assert.equal([...follower.instances().keys()], [second?.id]);
  handlers.onEvents([{ type: 'delete', key: 'servers/i-1', modRevision: 15 }], 15);
  assert.is(follower.instances().size, 0);
});

test('a lost poll is sent again at once from the same revision, and further failures back off', async () => {
  const { store, pauses } = await started(() => undefined);
  store.last(CONFIGURATION_KEY).handlers.onEvents([], 30);
  store.last(CONFIGURATION_KEY).handlers.onEnd(new StoreWatchEndedError('silent'), false);
  assert.equal(store.opened(CONFIGURATION_KEY), [2, 31]);
  assert.equal(pauses, []);
  store.last(CONFIGURATION_KEY).handlers.onEnd(new StoreWatchEndedError('silent'), false);
  assert.is(store.opened(CONFIGURATION_KEY).length, 2, 'not before the pause');
  assert.is(pauses[0]?.delayMs, 50, 'half of an upper bound that has doubled once');
  pauses[0]?.run();
  assert.equal(store.opened(CONFIGURATION_KEY), [2, 31, 31]);
  assert.equal(store.reads, [CONFIGURATION_KEY, INSTANCE_KEY_PREFIX], 'nothing is read again');
});

test('a refusal backs off at once', async () => {
  const { store, pauses } = await started(() => undefined);
  store.last(CONFIGURATION_KEY).handlers.onEnd(new StoreUnavailableError('503'), false);
  assert.is(store.opened(CONFIGURATION_KEY).length, 1);
  assert.is(pauses[0]?.delayMs, 25);
});

test('after a compaction the range is read again, and entries that are gone are removed', async () => {
  const { store, notifications } = await started((one) => {
    const entries = [item('servers/i-1', entry(), 5), item('servers/i-2', entry(), 6)];
    one.ranges.set(INSTANCE_KEY_PREFIX, { revision: 12, entries });
    one.ranges.set(CONFIGURATION_KEY, { revision: 12, entries: [configuration(7, 4)] });
  });
  notifications.length = 0;
  store.ranges.set(INSTANCE_KEY_PREFIX, {
    revision: 90,
    entries: [item('servers/i-2', entry({ sequence: 9 }), 80), item('servers/i-3', entry(), 85)],
  });
  store.ranges.set(CONFIGURATION_KEY, { revision: 90, entries: [configuration(6, 70)] });
  store.last(INSTANCE_KEY_PREFIX).handlers.onEnd(new StoreCompactedError(50), true);
  store.last(CONFIGURATION_KEY).handlers.onEnd(new StoreCompactedError(50), true);
  await settle();
  assert.equal(notifications, [
    'MS-STORE-COMPACTED',
    'MS-STORE-COMPACTED',
    'removed i-1 at 90',
    'instances i-2,i-3 changed i-3,i-1',
  ]);
  assert.equal(store.opened(INSTANCE_KEY_PREFIX), [13, 91]);
});

test('a failed read is repeated after a pause', async () => {
  const setup = await started((one) => {
    one.ranges.set(CONFIGURATION_KEY, new StoreUnavailableError('down'));
  });
  assert.equal(setup.store.opened(CONFIGURATION_KEY), []);
  setup.store.ranges.set(CONFIGURATION_KEY, { revision: 9, entries: [configuration(7, 4)] });
  setup.pauses[0]?.run();
  await settle();
  assert.is(setup.follower.configuration()?.version, 7);
});

test('the known state is confirmed as of the time at which its last answered call was sent', async () => {
  const setup = setUp();
  setup.now = 100;
  setup.follower.start();
  assert.is(setup.follower.lastConfirmedAt(), undefined);
  setup.now = 150;
  await settle();
  assert.is(setup.follower.lastConfirmedAt(), 100);
  setup.now = 2000;
  for (const prefix of [CONFIGURATION_KEY, INSTANCE_KEY_PREFIX]) {
    setup.store.last(prefix).handlers.onEvents([], 30);
  }
  assert.is(setup.follower.lastConfirmedAt(), 150, 'when the first poll was sent');
  setup.now = 4000;
  setup.store.last(CONFIGURATION_KEY).handlers.onEvents([], 40);
  assert.is(setup.follower.configurationConfirmedAt(), 2000);
  assert.is(setup.follower.lastConfirmedAt(), 150, 'the earlier one of the two');
  setup.now = 5000;
  setup.store.last(CONFIGURATION_KEY).handlers.onEnd(new StoreWatchEndedError('lost'), false);
  assert.is(setup.follower.configurationConfirmedAt(), 2000, 'a lost poll confirms nothing');
});

/** Otherwise an instance that has left is used again after each cut of a watch, or for as long as an invalid entry is rewritten. */
test('only an outage of their own watch makes the registrations out of date', async () => {
  const setup = setUp();
  const { store, follower } = setup;
  setup.now = 100;
  follower.start();
  await settle();
  store.last(CONFIGURATION_KEY).handlers.onEnd(new StoreWatchEndedError('cut'), false);
  store.last(CONFIGURATION_KEY).handlers.onEnd(new StoreWatchEndedError('cut'), false);
  store.last(INSTANCE_KEY_PREFIX).handlers.onEvents([put('servers/i-9', 'not JSON', 20)], 20);
  setup.now = 10_000;
  assert.is(follower.instancesHealthySince(), 100);
  assert.not(follower.isHealthy(), 'the configuration may be out of date');
  store.last(INSTANCE_KEY_PREFIX).handlers.onEnd(new StoreWatchEndedError('cut'), false);
  setup.now = 10_010;
  store.last(INSTANCE_KEY_PREFIX).handlers.onEvents([], 21);
  setup.now = 20_000;
  assert.is(follower.instancesHealthySince(), 100, 'the watch was open again at once');
  store.last(INSTANCE_KEY_PREFIX).handlers.onEnd(new StoreWatchEndedError('lost'), false);
  setup.now = 21_000;
  assert.is(follower.instancesHealthySince(), undefined);
});

/** Otherwise one odd entry ends the process, keeps the node from following the list, or is taken for an instance. */
test('one odd entry among the registrations changes nothing for the others', async () => {
  for (const { what, key, text } of ODD_ENTRIES) {
    const { store, follower } = await started((one) => {
      const entries = [item(key, text, 5), item('servers/i-1', entry(), 6)];
      one.ranges.set(INSTANCE_KEY_PREFIX, { revision: 12, entries });
    });
    assert.equal([...follower.instances().keys()], ['i-1'], `${what}, in a read`);
    const { handlers } = store.last(INSTANCE_KEY_PREFIX);
    handlers.onEvents([put(key, text, 13), put('servers/i-2', entry(), 14)], 14);
    assert.equal([...follower.instances().keys()], ['i-1', 'i-2'], `${what}, in an event`);
    handlers.onEvents([{ type: 'delete', key, modRevision: 15 }], 15);
    assert.equal([...follower.instances().keys()], ['i-1', 'i-2'], `${what}, removed`);
    assert.is.not(follower.instancesHealthySince(), undefined, what);
  }
});

test('a stopped follower reports nothing and has no open watch', async () => {
  const { store, notifications, follower } = await started(() => undefined);
  notifications.length = 0;
  const watch = store.last(CONFIGURATION_KEY);
  follower.stop();
  assert.not(watch.open);
  watch.handlers.onEvents([{ type: 'put', entry: configuration(8, 50) }], 50);
  assert.equal(notifications, []);
});

const FROM_PEER = {
  ...{ id: 'i-2', service: 'svc', host: '10.0.0.2', port: 80, zone: 'b', slots: 3 },
  ...{ draining: false, role: 'primary' as const },
};

function fromPeer(revision: number, ids: readonly string[]) {
  return { revision, instances: ids.map((id) => ({ ...FROM_PEER, id })), departed: [] };
}

test('the report of a peer is used until the store responds, and then replaced', async () => {
  const { store, notifications, follower, pauses } = await started((one) => {
    one.ranges.set(INSTANCE_KEY_PREFIX, new StoreUnavailableError('down'));
    one.ranges.set(CONFIGURATION_KEY, new StoreUnavailableError('down'));
  });
  notifications.length = 0;
  follower.adoptInstances(fromPeer(20, ['i-2', 'i-3']));
  assert.equal(notifications.splice(0), ['instances i-2,i-3 changed i-2,i-3']);
  assert.is(follower.instancesHealthySince(), undefined);
  store.ranges.set(INSTANCE_KEY_PREFIX, {
    revision: 22,
    entries: [item('servers/i-1', entry(), 5)],
  });
  for (const { run } of pauses) run();
  await settle();
  assert.equal([...follower.instances().keys()], ['i-1']);
});

test('a snapshot that is not newer than the known state changes nothing', async () => {
  const { notifications, follower } = await started((one) => {
    one.ranges.set(CONFIGURATION_KEY, { revision: 9, entries: [configuration(7, 4)] });
    one.ranges.set(INSTANCE_KEY_PREFIX, {
      revision: 12,
      entries: [item('servers/i-1', entry(), 5)],
    });
  });
  notifications.length = 0;
  follower.adoptInstances(fromPeer(12, ['i-2']));
  follower.adoptConfiguration({ version: 7, text: configuration(7, 4).value });
  follower.adoptConfiguration({ version: 9, text: configuration(6, 4).value });
  assert.equal(notifications, []);
  follower.adoptConfiguration({ version: 8, text: configuration(8, 4).value });
  assert.equal(notifications, ['configuration 8']);
  assert.equal([...follower.instances().keys()], ['i-1']);
});

test('responses right after the restore of the store from a backup do not prove that the configuration is current', async () => {
  const setup = await started((one) => {
    one.ranges.set(CONFIGURATION_KEY, { revision: 9, entries: [configuration(7, 4)] });
  });
  const { store, follower } = setup;
  const answerAt = (sentAt: number): number | undefined => {
    store.last(CONFIGURATION_KEY).handlers.onEvents([], 9, sentAt, sentAt);
    return follower.configurationProvenAt();
  };
  assert.is(answerAt(1000), 1000);
  setup.now = 5000;
  follower.handleStoreRestore();
  assert.is(answerAt(4900), 1000, 'sent before the restore was known');
  assert.is(answerAt(7000), 1000, 'the operator may not have written again');
  assert.is(answerAt(7500), 7500);
});

test('a read beside the watch finds registrations that the watch has not reported', async () => {
  const setup = await started((one) => {
    one.ranges.set(INSTANCE_KEY_PREFIX, {
      revision: 9,
      entries: [item('servers/i-1', entry(), 5)],
    });
  });
  const { store, follower } = setup;
  const both = [item('servers/i-1', entry(), 5), item('servers/i-2', entry(), 11)];
  store.ranges.set(INSTANCE_KEY_PREFIX, { revision: 12, entries: both });
  setup.now = 700;
  assert.is(await follower.confirmInstances(), 700);
  assert.equal([...follower.instances().keys()], ['i-1', 'i-2']);
  assert.is(follower.instancesProvenAt(), 700);
  store.ranges.set(INSTANCE_KEY_PREFIX, new StoreUnavailableError('down'));
  setup.now = 900;
  assert.is(await follower.confirmInstances(), undefined);
  assert.is(follower.instancesProvenAt(), 700);
});

test('a read that is older than the watch does not bring back what was removed', async () => {
  const { store, follower } = await started((one) => {
    one.ranges.set(INSTANCE_KEY_PREFIX, {
      revision: 9,
      entries: [item('servers/i-1', entry(), 5)],
    });
  });
  const removal: WatchEvent = { type: 'delete', key: 'servers/i-1', modRevision: 14 };
  store.last(INSTANCE_KEY_PREFIX).handlers.onEvents([removal], 14);
  await follower.confirmInstances();
  assert.equal([...follower.instances().keys()], []);
});

test('a read right after a restore of the store from a backup proves nothing', async () => {
  const setup = await started(() => undefined);
  const { follower } = setup;
  setup.now = 5000;
  follower.handleStoreRestore();
  setup.now = 7400;
  assert.is(await follower.confirmInstances(), undefined);
  setup.now = 7500;
  assert.is(await follower.confirmInstances(), 7500);
});

test.run();
