/** Calls to the store are counted by purpose and outcome. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CONFIGURATION_KEY, DIRECTORY_PREFIX } from '../../../platform/documents.js';
import { KeyValueStore } from '../../../platform/store.js';
import { kindOfTransaction } from '../../../platform/store-call-kinds.js';
import {
  acknowledgementKeyOf,
  FLEET_KEY,
  handoverKeyOf,
  LEADER_KEY,
  LEADER_WATCH_PREFIX,
  nodeKeyOf,
  RECORD_PREFIX,
  suspicionKeyOf,
} from '../../../src/core/promotion/records.js';
import { StoreCallTally } from '../../../src/observability/store-call-tally.js';
import {
  type ScriptedRequest,
  type ScriptedResponse,
  startScriptedServer,
} from '../../support/scripted-http-server.js';

const LONG_TIMEOUT_MS = 30_000;

/** The counts after a run against a store with scripted responses. */
async function countCalls(
  answer: (request: ScriptedRequest) => ScriptedResponse,
  run: (store: KeyValueStore) => Promise<unknown>,
): Promise<Readonly<Record<string, number>>> {
  const server = await startScriptedServer(answer);
  const tally = new StoreCallTally();
  const store = new KeyValueStore({
    endpoint: server.endpoint,
    clientName: 'test',
    requestTimeoutMs: LONG_TIMEOUT_MS,
    connectTimeoutMs: LONG_TIMEOUT_MS,
    watchWaitMs: () => LONG_TIMEOUT_MS,
    tally,
  });
  try {
    await run(store);
  } finally {
    store.close();
    await server.close();
  }
  return tally.summary();
}

/** Opens a watch; resolves after its first response, having closed it, or when it ends. */
function firstAnswer(store: KeyValueStore, prefix: string): Promise<void> {
  return new Promise((resolve) => {
    const close = store.watch(prefix, 2, {
      onEvents: () =>
        setImmediate(() => {
          close();
          resolve();
        }),
      onEnd: () => resolve(),
    });
  });
}

const FOUND = { status: 200, json: { items: [], has_more: false, at_revision: 1 } };
const POLL_WITH_EVENT = {
  status: 200,
  json: {
    events: [{ private_key: 'server-groups/x', revision: 2, deleted: true }],
    at_revision: 2,
  },
};

test('each call is counted by its kind, and by its outcome if it did not succeed', async () => {
  const calls = await countCalls(
    ({ path }) => (path.startsWith('/v1/kv-range') ? FOUND : { status: 429 }),
    async (store) => {
      await store.range(CONFIGURATION_KEY);
      await store.range(RECORD_PREFIX);
      await store.range(RECORD_PREFIX);
      await store.grantLease(2);
      await store.keepLeaseAlive('7');
      await store.transaction([], [{ type: 'put', key: nodeKeyOf('n'), value: '' }]);
    },
  );
  assert.equal(calls, {
    'read-configuration': 1,
    'read-records': 2,
    'grant-lease:refused': 1,
    'renewal:refused': 1,
    'registration:refused': 1,
  });
});

test('polls are counted when they end: answered, refused, or abandoned with their watch', async () => {
  let polls = 0;
  const calls = await countCalls(
    ({ query }) => {
      if (query.get('path_prefix') === CONFIGURATION_KEY) return { status: 410 };
      polls += 1;
      return polls === 1 ? POLL_WITH_EVENT : 'silent';
    },
    async (store) => {
      await firstAnswer(store, DIRECTORY_PREFIX);
      await firstAnswer(store, CONFIGURATION_KEY);
    },
  );
  assert.equal(calls, {
    'poll-directory': 1,
    'poll-directory:left': 1,
    'poll-configuration:refused': 1,
  });
});

test('a call without a connection is counted as not sent', async () => {
  const server = await startScriptedServer(() => FOUND);
  const { endpoint } = server;
  await server.close();
  const tally = new StoreCallTally();
  const store = new KeyValueStore({ endpoint, clientName: 'test', tally });
  await store.range(RECORD_PREFIX);
  await firstAnswer(store, DIRECTORY_PREFIX);
  store.close();
  assert.equal(tally.counts(), [
    { kind: 'read-records', outcome: 'unsent', count: 1 },
    { kind: 'poll-directory', outcome: 'unsent', count: 1 },
  ]);
});

test('the kind of a transaction depends on the key that it writes', () => {
  const kindOf = (key: string) => kindOfTransaction([], [{ type: 'put', key, value: '' }]);
  assert.is(kindOf(LEADER_KEY), 'election');
  assert.is(kindOf(FLEET_KEY), 'record');
  assert.is(kindOf(handoverKeyOf('s')), 'record');
  assert.is(kindOf(nodeKeyOf('n')), 'registration');
  assert.is(kindOf(acknowledgementKeyOf('s', 'n')), 'acknowledgement');
  assert.is(kindOf(suspicionKeyOf('s', 'n')), 'suspicion');
  assert.is(kindOf(`${LEADER_WATCH_PREFIX}else`), 'record');
  assert.is(kindOf('strange'), 'other-write');
});

test.run();
