import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type RunningStore, startStore } from '../../bench/harness/platform.js';
import type { MeadowstackError } from '../../src/core/errors.js';
import type { TransactionOperation, WatchEvent } from '../../src/platform/contract.js';
import {
  StoreAnswerLostError,
  StoreCompactedError,
  StoreLeaseNotFoundError,
  StoreProtocolError,
  StoreRateLimitedError,
  StoreRequestRejectedError,
  StoreUnavailableError,
  StoreWatchEndedError,
} from '../../src/platform/errors.js';
import { StoreClient, type StoreClientOptions } from '../../src/platform/store-client.js';
import { until } from '../support/until.js';

const LONG_TIMEOUT_MS = 15_000;
const SHORT_TIMEOUT_MS = 300;
/** Far longer than the impatient client's timeout. */
const SLOW_RESPONSE_MS = 60_000;

interface Context {
  store: RunningStore;
  patient: StoreClient;
  impatient: StoreClient;
}

function connect(endpoint: StoreClientOptions['endpoint'], waitMs: number): StoreClient {
  return new StoreClient({
    endpoint,
    clientName: `waits-${waitMs}`,
    requestTimeoutMs: waitMs,
    watchSilenceMs: waitMs,
    maxConnections: 4,
  });
}

const put = (key: string, value = 'v'): TransactionOperation => ({ type: 'put', key, value });

/** Collects what a watch reports. */
function recorder() {
  const events: WatchEvent[] = [];
  const ends: { error: MeadowstackError; compacted: boolean }[] = [];
  return {
    events,
    ends,
    onEvents: (more: readonly WatchEvent[]) => events.push(...more),
    onEnd: (error: MeadowstackError, compacted: boolean) => ends.push({ error, compacted }),
  };
}

const keyOf = (event: WatchEvent): string => (event.type === 'put' ? event.entry.key : event.key);

const test = suite<Context>('store client');

test.before.each(async (context) => {
  context.store = await startStore({ progressIntervalMs: 50 });
  context.patient = connect(context.store, LONG_TIMEOUT_MS);
  context.impatient = connect(context.store, SHORT_TIMEOUT_MS);
});

test.after.each(async (context) => {
  context.patient.close();
  context.impatient.close();
  await context.store.stop();
});

async function keysIn(client: StoreClient, prefix: string): Promise<string[]> {
  return (await client.range(prefix))._unsafeUnwrap().entries.map((entry) => entry.key);
}

test('a failed compare-and-swap returns the current value of the key', async ({ patient }) => {
  const key = 'configuration/größe';
  const first = await patient.transaction([{ key, modRevision: 0 }], [put(key, 'ä1')]);
  const second = await patient.transaction([{ key, modRevision: 0 }], [put(key, '2')]);
  assert.is(first._unsafeUnwrap().succeeded, true);
  const lost = second._unsafeUnwrap();
  assert.is(lost.succeeded, false);
  const expected = { key, value: 'ä1', createRevision: 2, modRevision: 2 };
  assert.equal(lost.current, [expected]);
  assert.equal((await patient.range('configuration/'))._unsafeUnwrap(), {
    revision: 2,
    entries: [expected],
  });
});

test('a range of a prefix returns its keys only, and that of the empty prefix all keys', async ({
  patient,
}) => {
  await patient.transaction([], [put('a/1'), put('a/2'), put('a0'), put('b')]);
  assert.equal(await keysIn(patient, 'a/'), ['a/1', 'a/2']);
  assert.equal(await keysIn(patient, ''), ['a/1', 'a/2', 'a0', 'b']);
  await patient.transaction([], [{ type: 'delete', key: 'a/1' }]);
  assert.equal(await keysIn(patient, 'a/'), ['a/2']);
});

test('a lost response leaves the outcome unknown, and the change is applied', async (context) => {
  const { store, patient } = context;
  await store.setFaults({ loseNextAnswers: 1 });
  const error = (await patient.transaction([], [put('k')]))._unsafeUnwrapErr();
  assert.instance(error, StoreAnswerLostError);
  assert.is(error.outcomeUnknown, true);
  assert.equal(await keysIn(patient, 'k'), ['k']);
  assert.is(patient.counters().answersLost, 1);
});

test('the same seed loses the same responses', async ({ store, patient }) => {
  const lostIn = async (): Promise<boolean[]> => {
    await store.setFaults({ loseAnswerProbability: 0.5, seed: 7 });
    const lost: boolean[] = [];
    for (let number = 0; number < 12; number += 1) {
      lost.push((await patient.transaction([], [put('k')])).isErr());
    }
    return lost;
  };
  const first = await lostIn();
  assert.ok(first.includes(true) && first.includes(false));
  assert.equal(await lostIn(), first);
});

test('a refused connection fails with a known outcome, and requests succeed after the outage', async (context) => {
  const { store, patient } = context;
  await store.setFaults({ outage: 'refuse' });
  const error = (await patient.transaction([], [put('k')]))._unsafeUnwrapErr();
  assert.instance(error, StoreUnavailableError);
  assert.is(error.outcomeUnknown, false);
  await store.heal();
  assert.equal(await keysIn(patient, 'k'), []);
});

for (const outage of ['hang', 'reset'] as const) {
  test(`during an outage (${outage}) changes have an unknown outcome, and reads have not`, async (context) => {
    const { store, impatient } = context;
    await store.setFaults({ outage });
    const change = (await impatient.transaction([], [put('k')]))._unsafeUnwrapErr();
    const read = (await impatient.range('k'))._unsafeUnwrapErr();
    assert.instance(change, StoreAnswerLostError);
    assert.instance(read, StoreUnavailableError);
    assert.is(read.outcomeUnknown, false);
  });
}

test('a response after the timeout counts as lost, and the change is applied', async (context) => {
  const { store, patient, impatient } = context;
  await store.setFaults({ answerDelayMs: SLOW_RESPONSE_MS });
  const error = (await impatient.transaction([], [put('k')]))._unsafeUnwrapErr();
  assert.instance(error, StoreAnswerLostError);
  await store.heal();
  assert.equal(await keysIn(patient, 'k'), ['k']);
});

test('a request over the rate limit is refused and changes nothing', async (context) => {
  const { store, patient } = context;
  await store.setFaults({ requestsPerSecond: 0.001 });
  await patient.transaction([], [put('first')]);
  const error = (await patient.transaction([], [put('second')]))._unsafeUnwrapErr();
  assert.instance(error, StoreRateLimitedError);
  assert.is(error.outcomeUnknown, false);
  await store.heal();
  assert.equal(await keysIn(patient, ''), ['first']);
  const counter = (await store.counters()).find((each) => each.path === '/v3/kv/txn');
  assert.equal(
    [counter?.client, counter?.requests, counter?.rateLimited],
    [`waits-${LONG_TIMEOUT_MS}`, 2, 1],
  );
  assert.is(patient.requestCount(), 3);
});

test('a watch reports past and new events of its prefix only, in order', async ({ patient }) => {
  const record = recorder();
  await patient.transaction([], [put('w/0'), put('other')]);
  patient.watch('w/', 1, record);
  for (let number = 1; number < 30; number += 1) {
    await patient.transaction([], [put(`w/${number}`), put('other')]);
  }
  await patient.transaction([], [{ type: 'delete', key: 'w/0' }]);
  await until('31 events', () => record.events.length === 31);
  const expected = Array.from({ length: 30 }, (_, number) => `w/${number}`);
  assert.equal(record.events.map(keyOf), [...expected, 'w/0']);
  assert.equal(record.events.at(-1), { type: 'delete', key: 'w/0', modRevision: 32 });
  assert.is(record.ends.length, 0);
});

test('a watch misses no event during a hang that ends before its timeout', async ({
  store,
  patient,
}) => {
  const record = recorder();
  patient.watch('', 1, record);
  await patient.transaction([], [put('a')]);
  const lease = (await patient.grantLease(3600))._unsafeUnwrap();
  await patient.transaction([], [{ type: 'put', key: 'b', value: '', leaseId: lease }]);
  await until('two events', () => record.events.length === 2);
  await store.setFaults({ outage: 'hang' });
  await store.expireLeases(lease);
  await store.heal();
  await patient.transaction([], [put('c')]);
  await until('four events', () => record.events.length === 4);
  assert.equal(record.events.map(keyOf), ['a', 'b', 'b', 'c']);
});

test('a watch of a compacted revision ends with StoreCompactedError', async ({
  store,
  patient,
}) => {
  for (const value of ['1', '2', '3']) await patient.transaction([], [put('k', value)]);
  await store.compact();
  const record = recorder();
  patient.watch('k', 2, record);
  await until('the end', () => record.ends.length > 0);
  const [end] = record.ends;
  assert.is(end?.compacted, true);
  assert.instance(end?.error, StoreCompactedError);
  assert.is(end?.error instanceof StoreCompactedError ? end.error.compactRevision : 0, 4);
  assert.equal(record.events, []);
});

test('a silent watch ends once after its timeout, and one with a longer timeout continues', async (context) => {
  const { store, impatient, patient } = context;
  const silent = recorder();
  const lasting = recorder();
  impatient.watch('k', 1, silent);
  patient.watch('k', 1, lasting);
  await patient.transaction([], [put('k')]);
  await until(
    'both watches receive the event',
    () => silent.events.length + lasting.events.length === 2,
  );
  await store.setFaults({ outage: 'hang' });
  await until('the end', () => silent.ends.length > 0);
  assert.instance(silent.ends[0]?.error, StoreWatchEndedError);
  assert.is(silent.ends[0]?.compacted, false);
  await store.heal();
  await patient.transaction([], [put('k2')]);
  await until('the next event', () => lasting.events.length === 2);
  assert.equal([silent.ends.length, silent.events.length, lasting.ends.length], [1, 1, 0]);
});

test('closed watches leave no watch open at the store', async ({ store, patient }) => {
  const record = recorder();
  const closers = Array.from({ length: 5 }, () => patient.watch('k', 1, record));
  await until('five watches', async () => (await store.state()).watches === 5);
  for (const close of closers.slice(0, 4)) close();
  await until('one watch', async () => (await store.state()).watches === 1);
  patient.close();
  await until('no watch', async () => (await store.state()).watches === 0);
  assert.equal([record.ends.length, patient.counters().watchesOpen], [0, 0]);
});

test('an expired lease deletes its keys and cannot be used again', async (context) => {
  const { patient } = context;
  const leaseId = (await patient.grantLease(1))._unsafeUnwrap();
  const record = recorder();
  patient.watch('held', 1, record);
  await patient.transaction([], [{ type: 'put', key: 'held', value: '', leaseId }]);
  assert.is((await patient.keepLeaseAlive(leaseId))._unsafeUnwrap(), 1);
  await until('deletion', () => record.events.some((event) => event.type === 'delete'));
  const renewal = (await patient.keepLeaseAlive(leaseId))._unsafeUnwrapErr();
  const revocation = (await patient.revokeLease(leaseId))._unsafeUnwrapErr();
  assert.instance(renewal, StoreLeaseNotFoundError);
  assert.instance(revocation, StoreLeaseNotFoundError);
  const late = await patient.transaction([], [{ type: 'put', key: 'k', value: '', leaseId }]);
  assert.instance(late._unsafeUnwrapErr(), StoreRequestRejectedError);
});

test('requests held by a hang are dropped when it turns into a refusal', async (context) => {
  const { store, patient } = context;
  await store.setFaults({ outage: 'hang' });
  const pending = patient.transaction([], [put('k')]);
  await until('the request is held', async () => (await store.counters()).length === 1);
  await store.setFaults({ outage: 'refuse' });
  assert.instance((await pending)._unsafeUnwrapErr(), StoreAnswerLostError);
  await store.heal();
  assert.equal(await keysIn(patient, ''), []);
});

test('closing a client fails its open calls, and later calls fail as well', async (context) => {
  const { store, patient } = context;
  await store.setFaults({ outage: 'hang' });
  const warnings: string[] = [];
  process.on('warning', (warning) => warnings.push(warning.message));
  const pending = Array.from({ length: 30 }, () => patient.range('k'));
  await until('four held', async () => (await store.counters())[0]?.requests === 4);
  patient.close();
  for (const answer of await Promise.all(pending)) {
    assert.instance(answer._unsafeUnwrapErr(), StoreUnavailableError);
  }
  assert.instance((await patient.range('k'))._unsafeUnwrapErr(), StoreUnavailableError);
  assert.equal(warnings, []);
});

test('revoking a lease deletes its keys', async ({ patient }) => {
  const leaseId = (await patient.grantLease(60))._unsafeUnwrap();
  await patient.transaction([], [{ type: 'put', key: 'held', value: '', leaseId }]);
  assert.ok((await patient.revokeLease(leaseId)).isOk());
  assert.equal(await keysIn(patient, ''), []);
});

const MALFORMED_RESPONSES = [
  'not JSON',
  '{"header":{}, "kvs": 3, "responses": 3, "result": 3}',
  '{"header":{"revision":"99999999999999999999"}}',
  '{"header":{"revision":"1"},"kvs":[{"key":"%"}],"responses":[{"response_range":3}]}',
];

test('malformed responses are protocol errors and leave the outcome of a change unknown', async () => {
  const bodies = [...MALFORMED_RESPONSES, ...MALFORMED_RESPONSES];
  const server = createServer((_request, response) => response.end(bodies.shift()));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const client = connect({ host: '127.0.0.1', port }, LONG_TIMEOUT_MS);
  for (const _ of MALFORMED_RESPONSES) {
    const read = (await client.range('k'))._unsafeUnwrapErr();
    assert.instance(read, StoreProtocolError);
    assert.is(read.outcomeUnknown, false);
  }
  for (const _ of MALFORMED_RESPONSES) {
    const change = (await client.transaction([], [put('k')]))._unsafeUnwrapErr();
    assert.instance(change, StoreProtocolError);
    assert.is(change.outcomeUnknown, true);
  }
  client.close();
  server.close();
});

test.run();
