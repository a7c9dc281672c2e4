/** The client of a store that was restored from a backup: which responses it accepts, and which requests it sends. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { KeyValueStore } from '../../../platform/store.js';
import { type EraObservation, StoreEra } from '../../../src/core/directory/store-era.js';
import { MAX_REVISION, toStorePosition } from '../../../src/core/directory/store-position.js';
import {
  type ScriptedResponse,
  type ScriptedServer,
  startScriptedServer,
  storeItem,
} from '../../support/scripted-http-server.js';

const WAIT_MS = 50;
const PUT = [{ type: 'put', key: 'my/a', value: 'x' }] as const;

/** A response of the store in this era; undefined for a store that reports none. */
function inEra(era: string | undefined, json: unknown, status = 200): ScriptedResponse {
  return { status, json, headers: era === undefined ? {} : { 'Store-Era': era } };
}

const range = (era: string | undefined, revision: number): ScriptedResponse =>
  inEra(era, { items: [storeItem('my/a', 'a', revision)], has_more: false, at_revision: revision });

async function withStore(
  answers: readonly ScriptedResponse[],
  run: (
    store: KeyValueStore,
    server: ScriptedServer,
    observations: EraObservation[],
  ) => Promise<void>,
): Promise<void> {
  const server = await startScriptedServer((_request, earlier) => answers[earlier] ?? 'silent');
  const observations: EraObservation[] = [];
  const store = new KeyValueStore({
    endpoint: server.endpoint,
    clientName: 'test',
    watchWaitMs: () => WAIT_MS,
    onEra: (reading) => {
      if (reading.type !== 'first') observations.push(reading);
    },
  });
  try {
    await run(store, server, observations);
  } finally {
    store.close();
    await server.close();
  }
}

/** Resolves with the error code of the end of a watch, and whether history was compacted. */
function endOf(store: KeyValueStore, fromRevision: number): Promise<[string, boolean]> {
  return new Promise((resolve) => {
    store.watch('my/', fromRevision, {
      onEvents: () => {},
      onEnd: (error, compacted) => resolve([error.code, compacted]),
    });
  });
}

test('positions of a store that reports no era are its revisions', async () => {
  await withStore([range(undefined, 7)], async (store) => {
    const { revision, entries } = (await store.range('my/'))._unsafeUnwrap();
    assert.equal([revision, entries[0]?.modRevision, store.era], [7, 7, 0]);
  });
});

test('positions after a restore from a backup are higher than all earlier ones', async () => {
  await withStore([range('3', 900), range('4', 20)], async (store, _server, observations) => {
    const before = (await store.range('my/'))._unsafeUnwrap();
    const after = (await store.range('my/'))._unsafeUnwrap();
    assert.ok(after.revision > before.revision);
    assert.ok((after.entries[0]?.modRevision ?? 0) > (before.entries[0]?.modRevision ?? 0));
    assert.equal(observations, [{ type: 'risen', era: 4, before: 3 }]);
  });
});

test('a rise of the era is also detected in a refusal and in a poll', async () => {
  const refused = inEra('4', {}, 503);
  await withStore([range('3', 9), refused], async (store, _server, observations) => {
    await store.range('my/');
    await store.range('my/');
    assert.is(observations.length, 1);
  });
  const polled = inEra('4', { events: [], at_revision: 9 });
  await withStore([range('3', 9), polled], async (store, _server, observations) => {
    await store.range('my/');
    assert.equal(await endOf(store, toStorePosition(3, 10)), ['MS-STORE-COMPACTED', true]);
    assert.is(observations.length, 1);
  });
});

test('a watch from an earlier era ends as compacted, although the store has the revision again', async () => {
  await withStore([range('3', 9), range('4', 9)], async (store, server) => {
    await store.range('my/');
    await store.range('my/');
    assert.equal(await endOf(store, toStorePosition(3, 10)), ['MS-STORE-COMPACTED', true]);
    assert.is(server.requests.length, 2, 'without a call');
  });
});

test('a waiting watch ends when another call detects the rise of the era', async () => {
  await withStore([range('3', 9), 'silent', range('4', 9)], async (store) => {
    await store.range('my/');
    const ended = endOf(store, toStorePosition(3, 10));
    await store.range('my/');
    assert.equal(await ended, ['MS-STORE-COMPACTED', true]);
  });
});

test('a condition of an earlier era is sent so that it fails, and the present entries are returned', async () => {
  const failed = inEra('4', { items: [storeItem('my/a', 'other', 9)] }, 412);
  await withStore([range('3', 9), range('4', 8), failed], async (store, server) => {
    await store.range('my/');
    await store.range('my/');
    const compares = [
      { key: 'my/a', modRevision: toStorePosition(3, 9) },
      { key: 'my/b', modRevision: 0 },
    ];
    const answer = (await store.transaction(compares, PUT))._unsafeUnwrap();
    assert.equal(
      [answer.succeeded, answer.current[0]?.modRevision],
      [false, toStorePosition(4, 9)],
    );
    const body = server.requests[2]?.body as { expected_revision: { revision: number }[] };
    assert.equal(
      body.expected_revision.map(({ revision }) => revision),
      [MAX_REVISION, 0],
    );
  });
});

test('a change that was made in a later era than that of its conditions has an unknown outcome', async () => {
  await withStore([range('3', 9), inEra('4', { revision: 10 })], async (store) => {
    await store.range('my/');
    const compares = [{ key: 'my/a', modRevision: toStorePosition(3, 9) }];
    const error = (await store.transaction(compares, PUT))._unsafeUnwrapErr();
    assert.equal([error.code, error.outcomeUnknown], ['MS-STORE-ERA', true]);
  });
});

test('a range whose pages are of two eras is an error', async () => {
  const first = inEra('3', { items: [storeItem('my/a', 'a', 9)], has_more: true, at_revision: 9 });
  await withStore([first, range('4', 9)], async (store) => {
    assert.is((await store.range('my/'))._unsafeUnwrapErr().code, 'MS-STORE-ERA');
  });
});

test('an era that decreases, is missing or is not a number is an error, and the known era stays', async () => {
  for (const era of ['2', undefined, 'x', '-1', '1.5', '']) {
    await withStore([range('3', 9), range(era, 20)], async (store, _server, observations) => {
      await store.range('my/');
      const error = (await store.range('my/'))._unsafeUnwrapErr();
      assert.equal([error.code, store.era], ['MS-STORE-ERA', 3], String(era));
      assert.is(observations[0]?.type, 'unusable');
    });
  }
});

test('the first known era is not a rise', () => {
  const era = new StoreEra();
  assert.equal(era.observe('17'), { type: 'first', era: 17 });
  assert.equal(era.observe('17'), { type: 'present', era: 17 });
  assert.equal(era.observe('19'), { type: 'risen', era: 19, before: 17 });
  assert.equal(era.observe('18'), { type: 'unusable', reason: 'over' });
});

test.run();
