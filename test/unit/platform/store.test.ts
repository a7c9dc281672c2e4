import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { KeyValueStore } from '../../../platform/store.js';
import type { WatchEvent } from '../../../src/platform/contract.js';
import type { StoreFailure } from '../../../src/platform/errors.js';
import {
  type ScriptedRequest,
  type ScriptedResponse,
  type ScriptedServer,
  startScriptedServer,
  storeItem,
} from '../../support/scripted-http-server.js';

/** Timeout where no response comes. */
const SHORT_TIMEOUT_MS = 60;
/** Timeout where responses come, long enough for a busy machine. */
const LONG_TIMEOUT_MS = 30_000;
const WAIT_MS = 50;

/** Runs a test against a store with scripted responses. */
async function withStore(
  answer: (request: ScriptedRequest, earlier: number) => ScriptedResponse,
  run: (store: KeyValueStore, server: ScriptedServer) => Promise<void>,
  timeoutMs = LONG_TIMEOUT_MS,
): Promise<void> {
  const server = await startScriptedServer(answer);
  const store = new KeyValueStore({
    endpoint: server.endpoint,
    clientName: 'test',
    requestTimeoutMs: timeoutMs,
    connectTimeoutMs: LONG_TIMEOUT_MS,
    watchWaitMs: () => WAIT_MS,
    watchSlackMs: timeoutMs - WAIT_MS,
  });
  try {
    await run(store, server);
  } finally {
    store.close();
    await server.close();
  }
}

/** What a watch reported until it ended or received `enough` responses. */
async function watched(
  store: KeyValueStore,
  fromRevision: number,
  enough: number,
): Promise<{ batches: WatchEvent[][]; end: string | undefined; compacted: boolean | undefined }> {
  const batches: WatchEvent[][] = [];
  return new Promise((resolve) => {
    const close = store.watch('my/', fromRevision, {
      onEvents: (events) => {
        batches.push([...events]);
        if (batches.length < enough) return;
        close();
        resolve({ batches, end: undefined, compacted: undefined });
      },
      onEnd: (error, compacted) => resolve({ batches, end: error.code, compacted }),
    });
  });
}

function timeoutFor(answer: ScriptedResponse): number {
  return answer === 'silent' ? SHORT_TIMEOUT_MS : LONG_TIMEOUT_MS;
}

function failureOf(error: StoreFailure): [string, boolean] {
  return [error.code, error.outcomeUnknown];
}

const PUT = [{ type: 'put', key: 'my/leader', value: 'node-1', leaseId: '77120' }] as const;

test('a range reads all pages and returns their lowest revision', async () => {
  const answer = ({ query }: ScriptedRequest): ScriptedResponse => {
    const first = query.get('after') === null;
    const items = first ? [storeItem('my/a', 'ä', 3)] : [storeItem('my/b&c', '', 9)];
    return { status: 200, json: { items, has_more: first, at_revision: first ? 7 : 11 } };
  };
  await withStore(answer, async (store, server) => {
    const range = (await store.range('my/'))._unsafeUnwrap();
    assert.is(range.revision, 7);
    assert.equal(range.entries, [
      { key: 'my/a', value: 'ä', createRevision: 3, modRevision: 3 },
      { key: 'my/b&c', value: '', createRevision: 9, modRevision: 9 },
    ]);
    assert.equal(
      server.requests.map(({ query }) => [query.get('path_prefix'), query.get('after')]),
      [
        ['my/', null],
        ['my/', 'my/a'],
      ],
    );
    assert.is(store.requestCount(), 2);
  });
});

test('a transaction is encoded in the format of the store', async () => {
  await withStore(
    () => ({ status: 200, json: { revision: 412 } }),
    async (store, server) => {
      const done = await store.transaction(
        [{ key: 'my/leader', modRevision: 0 }],
        [...PUT, { type: 'put', key: 'my/b', value: '' }, { type: 'delete', key: 'my/old' }],
      );
      assert.equal(done._unsafeUnwrap(), { succeeded: true, revision: 412, current: [] });
      assert.is(server.requests[0]?.method, 'POST');
      assert.is(server.requests[0]?.path, '/v1/kv-txn');
      assert.equal(server.requests[0]?.body, {
        expected_revision: [{ private_key: 'my/leader', revision: 0 }],
        put: [
          { private_key: 'my/leader', value: 'bm9kZS0x', lease_id: 77120 },
          { private_key: 'my/b', value: '', lease_id: 0 },
        ],
        remove: ['my/old'],
      });
    },
  );
});

test('a failed comparison returns the present entries of the keys, without absent ones', async () => {
  const items = [storeItem('my/leader', 'node-2', 8), { private_key: 'my/none', revision: 0 }];
  await withStore(
    () => ({ status: 412, json: { items } }),
    async (store) => {
      const failed = (await store.transaction([], PUT))._unsafeUnwrap();
      assert.is(failed.succeeded, false);
      assert.equal(
        failed.current.map(({ key, value, modRevision }) => [key, value, modRevision]),
        [['my/leader', 'node-2', 8]],
      );
    },
  );
});

test('the error of a failed write states whether the write may have taken effect', async () => {
  const cases: [ScriptedResponse, string, boolean][] = [
    ['silent', 'MS-STORE-ANSWER-LOST', true],
    ['cut', 'MS-STORE-ANSWER-LOST', true],
    [{ status: 500 }, 'MS-STORE-ANSWER-LOST', true],
    [{ status: 200, text: '{"revision":' }, 'MS-STORE-PROTOCOL', true],
    [{ status: 412, json: { items: [{ private_key: 7 }] } }, 'MS-STORE-PROTOCOL', false],
    [{ status: 404 }, 'MS-STORE-LEASE-NOT-FOUND', false],
    [{ status: 403 }, 'MS-STORE-REJECTED', false],
    [{ status: 429 }, 'MS-STORE-RATE-LIMITED', false],
    [{ status: 503 }, 'MS-STORE-UNAVAILABLE', false],
  ];
  for (const [answer, code, unknown] of cases) {
    await withStore(
      () => answer,
      async (store) => {
        const failure = (await store.transaction([], PUT))._unsafeUnwrapErr();
        assert.equal(failureOf(failure), [code, unknown], JSON.stringify(answer));
      },
      timeoutFor(answer),
    );
  }
});

test('a read without a response has no unknown outcome', async () => {
  for (const answer of ['silent', 'cut'] as const) {
    await withStore(
      () => answer,
      async (store) => {
        const failure = (await store.range('my/'))._unsafeUnwrapErr();
        assert.equal(failureOf(failure), ['MS-STORE-UNAVAILABLE', false]);
      },
      timeoutFor(answer),
    );
  }
});

test('a refusal shows that the store runs; silence and a lost connection do not', async () => {
  const cases: [ScriptedResponse, boolean][] = [
    ['silent', false],
    ['cut', false],
    [{ status: 503 }, true],
    [{ status: 500 }, true],
    [{ status: 429 }, true],
    [{ status: 403 }, true],
  ];
  for (const [answer, hasResponded] of cases) {
    await withStore(
      () => answer,
      async (store) => {
        const calls = [store.range('my/'), store.transaction([], PUT)];
        for (const call of calls) {
          const failure = (await call)._unsafeUnwrapErr();
          assert.is(failure.hasResponded, hasResponded, JSON.stringify(answer));
        }
      },
      timeoutFor(answer),
    );
  }
});

test('malformed items are a protocol error', async () => {
  const good = storeItem('my/a', 'a', 3);
  const malformed = [
    { ...good, value: 'not base64!' },
    { ...good, value: undefined },
    { ...good, revision: '3' },
    { ...good, private_key: null },
    'item',
  ];
  for (const item of malformed) {
    await withStore(
      () => ({ status: 200, json: { items: [good, item], has_more: false, at_revision: 4 } }),
      async (store) => {
        const failure = (await store.range('my/'))._unsafeUnwrapErr();
        assert.is(failure.code, 'MS-STORE-PROTOCOL', JSON.stringify(item));
      },
    );
  }
});

test('an empty page that announces more pages is refused, not requested endlessly', async () => {
  await withStore(
    () => ({ status: 200, json: { items: [], has_more: true, at_revision: 4 } }),
    async (store, server) => {
      assert.is((await store.range('my/'))._unsafeUnwrapErr().code, 'MS-STORE-PROTOCOL');
      assert.is(server.requests.length, 1);
    },
  );
});

test('one key is read, or reported as absent', async () => {
  const answer = ({ query }: ScriptedRequest): ScriptedResponse =>
    query.get('private_key') === 'my/a'
      ? { status: 200, json: { ...storeItem('my/a', 'x', 3), at_revision: 9 } }
      : { status: 404 };
  await withStore(answer, async (store) => {
    assert.is((await store.get('my/a'))._unsafeUnwrap()?.value, 'x');
    assert.is((await store.get('my/b'))._unsafeUnwrap(), undefined);
  });
});

test('leases are granted in milliseconds, renewed and ended', async () => {
  const answer = ({ path }: ScriptedRequest): ScriptedResponse => {
    if (path === '/v1/kv-lease') return { status: 200, json: { lease_id: 77120, ttl_ms: 3000 } };
    if (path === '/v1/kv-keep/77120') return { status: 200, json: { ttl_ms: 2500 } };
    return path === '/v1/kv-lease-end/77120' ? { status: 200 } : { status: 404 };
  };
  await withStore(answer, async (store, server) => {
    assert.is((await store.grantLease(2.5))._unsafeUnwrap(), '77120');
    assert.equal(server.requests[0]?.body, { ttl_ms: 2500 });
    assert.is((await store.keepLeaseAlive('77120'))._unsafeUnwrap(), 2.5);
    assert.ok((await store.revokeLease('77120')).isOk());
    assert.is(server.requests[2]?.method, 'DELETE');
    const expiredLeaseError = (await store.keepLeaseAlive('1'))._unsafeUnwrapErr();
    assert.is(expiredLeaseError.code, 'MS-STORE-LEASE-NOT-FOUND');
  });
});

test('a watch continues from the revision of each response, on one connection of its own', async () => {
  const answers = [
    { events: [storeItem('my/a', 'a', 6)], at_revision: 7 },
    { events: [{ private_key: 'my/a', revision: 8, deleted: true }], at_revision: 8 },
    { events: [], at_revision: 12 },
    { events: [storeItem('my/b', 'b', 13)], at_revision: 13 },
  ];
  const answer = (_request: ScriptedRequest, earlier: number): ScriptedResponse => {
    return { status: 200, json: answers[earlier] };
  };
  await withStore(answer, async (store, server) => {
    const { batches } = await watched(store, 6, answers.length);
    assert.equal(
      batches.map((events) => events.map(({ type }) => type)),
      [['put'], ['delete'], [], ['put']],
    );
    assert.equal(
      server.requests.slice(0, 4).map(({ query }) => Number(query.get('after'))),
      [5, 7, 8, 12],
    );
    assert.is(server.requests[0]?.query.get('wait_ms'), '50');
    assert.is(new Set(server.requests.map(({ clientPort }) => clientPort)).size, 1);
  });
});

test('the end of a watch is reported with its cause', async () => {
  const cases: [ScriptedResponse, string, boolean][] = [
    [{ status: 410 }, 'MS-STORE-COMPACTED', true],
    ['silent', 'MS-STORE-WATCH-ENDED', false],
    ['cut', 'MS-STORE-WATCH-ENDED', false],
    [{ status: 503 }, 'MS-STORE-UNAVAILABLE', false],
    [{ status: 429 }, 'MS-STORE-RATE-LIMITED', false],
    [{ status: 200, json: { events: [{}], at_revision: 3 } }, 'MS-STORE-PROTOCOL', false],
  ];
  for (const [answer, code, compacted] of cases) {
    await withStore(
      () => answer,
      async (store) => {
        const result = await watched(store, 1, 1);
        assert.equal([result.end, result.compacted], [code, compacted], JSON.stringify(answer));
      },
      timeoutFor(answer),
    );
  }
});

test('the poll after a lost one does not wait at the store, and the next one waits half the time', async () => {
  const server = await startScriptedServer((_request, earlier) =>
    earlier === 0 ? 'cut' : { status: 200, json: { events: [], at_revision: 1 } },
  );
  const store = new KeyValueStore({
    endpoint: server.endpoint,
    clientName: 'test',
    watchWaitMs: () => 4000,
  });
  await watched(store, 1, 1);
  await watched(store, 1, 3);
  const waits = server.requests.map(({ query }) => Number(query.get('wait_ms')));
  assert.equal(waits.slice(0, 4), [4000, 1, 2000, 4000]);
  store.close();
  await server.close();
});

test('a closed watch reports nothing', async () => {
  await withStore(
    () => 'silent',
    async (store) => {
      let callCount = 0;
      const count = (): void => {
        callCount += 1;
      };
      store.watch('my/', 1, { onEvents: count, onEnd: count })();
      await store.range('my/');
      assert.is(callCount, 0);
    },
    SHORT_TIMEOUT_MS,
  );
});

test.run();
