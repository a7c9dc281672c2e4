/** The platform stand-in by itself: its store, its instances and its promotion call. */
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectPlatform, type InstanceState } from '../support/direct-platform.js';
import { type LineAnswer, LineClient, LineConnectionLost } from '../support/line-client.js';
import { until } from '../support/until.js';

const SERVICE = 'orders';
const FIRST = 'i-orders-1';
const SECOND = 'i-orders-2';
const THIRD = 'i-orders-3';

let platform: DirectPlatform;
const clients: LineClient[] = [];

async function start(...flags: string[]): Promise<void> {
  platform = await DirectPlatform.start(flags, 50);
}

test.after.each(async () => {
  for (const client of clients.splice(0)) client.destroy();
  await platform.stop();
});

async function connectTo(id: string): Promise<LineClient> {
  const { address } = await platform.instance(id);
  const [host = '', port] = address.split(':');
  const client = await LineClient.connect(host, Number(port));
  clients.push(client);
  return client;
}

async function open(id: string): Promise<LineClient> {
  const client = await connectTo(id);
  assert.is((await client.start(SERVICE, 'test', id)).state, 'I');
  return client;
}

async function storeCall(
  method: string,
  path: string,
  body?: unknown,
  signal?: AbortSignal,
): Promise<{ status: number; body: Record<string, unknown> }> {
  const init = { method, ...(body === undefined ? {} : { body: JSON.stringify(body) }) };
  const url = `http://127.0.0.1:${platform.storePort}${path}`;
  const response = await fetch(url, { ...init, ...(signal === undefined ? {} : { signal }) });
  return { status: response.status, body: (await response.json()) as Record<string, unknown> };
}

function put(key: string, value: string, revision: number, lease = 0) {
  const item = { private_key: key, value: Buffer.from(value).toString('base64'), lease_id: lease };
  const expected = [{ private_key: key, revision }];
  return storeCall('POST', '/v1/kv-txn', { expected_revision: expected, put: [item], remove: [] });
}

async function promote(id: string, holder = 'node-1', token = 1): Promise<number> {
  const response = await fetch(`http://127.0.0.1:${platform.promotionPort}/promotion`, {
    method: 'POST',
    headers: { 'Meadowstack-Duty-Holder': holder, 'Meadowstack-Fencing-Token': String(token) },
    body: JSON.stringify({ service: SERVICE, id }),
  });
  await response.arrayBuffer();
  return response.status;
}

async function statusOf(client: LineClient): Promise<string[]> {
  return (await client.query('-', 'STATUS')).rows[0]?.split(' ') ?? [];
}

/** The error's code, or the completion, with the state. */
function summarize({ error, completion, state }: LineAnswer): string {
  return `${error?.code ?? (completion === '-' ? '-' : 'signed')} ${state}`;
}

async function applied(id: string, position: string): Promise<void> {
  await until(`${id} applies ${position}`, async () => {
    return (await platform.instance(id)).applied === position;
  });
}

test('the store writes items under conditions and removes them with their leases', async () => {
  await start();
  const first = await put('my/leader', 'node-1', 0);
  assert.is(first.status, 200);
  const item = await storeCall('GET', '/v1/kv-key?private_key=my/leader');
  assert.is(item.body.revision, first.body.revision);
  assert.is(item.body.value, Buffer.from('node-1').toString('base64'));
  const refused = await put('my/leader', 'node-2', 0);
  assert.is(refused.status, 412);
  assert.equal(
    refused.body.items,
    [{ ...item.body, at_revision: undefined }].map(withoutUndefined),
  );
  assert.is((await put('my/leased', 'x', 0, 5)).status, 404);
  const lease = await storeCall('POST', '/v1/kv-lease', { ttl_ms: 3000 });
  assert.is((await put('my/leased', 'x', 0, Number(lease.body.lease_id))).status, 200);
  assert.is((await storeCall('POST', `/v1/kv-keep/${lease.body.lease_id}`)).body.ttl_ms, 3000);
  assert.is((await storeCall('DELETE', `/v1/kv-lease-end/${lease.body.lease_id}`)).status, 200);
  assert.is((await storeCall('GET', '/v1/kv-key?private_key=my/leased')).status, 404);
  assert.is((await storeCall('POST', `/v1/kv-keep/${lease.body.lease_id}`)).status, 404);
  assert.is((await storeCall('POST', '/v1/kv-lease', { ttl_ms: 10 })).status, 400);
  assert.is((await put('servers/x', 'x', 0)).status, 403);
  assert.is((await put('op/config', 'x', 0)).status, 403);
});

function withoutUndefined(value: Record<string, unknown>): Record<string, unknown> {
  return JSON.parse(JSON.stringify(value));
}

test('ranges are returned in pages, and a watch returns the changes', async () => {
  await start();
  await platform.set('/store/faults', { pageItems: 2 });
  for (const key of ['my/1', 'my/2', 'my/3']) await put(key, key, 0);
  const page = await storeCall('GET', '/v1/kv-range?path_prefix=my/');
  const keysOf = (items: unknown) =>
    (items as { private_key: string }[]).map(({ private_key }) => private_key);
  assert.equal([keysOf(page.body.items), page.body.has_more], [['my/1', 'my/2'], true]);
  const next = await storeCall('GET', '/v1/kv-range?path_prefix=my/&after=my/2');
  assert.equal([keysOf(next.body.items), next.body.has_more], [['my/3'], false]);
  const from = Number(next.body.at_revision);
  const path = `/v1/kv-watch?path_prefix=my/&after=${from}&wait_ms=20000`;
  const waiting = storeCall('GET', path);
  const remove = { expected_revision: [], put: [], remove: ['my/1'] };
  const { body } = await storeCall('POST', '/v1/kv-txn', remove);
  const event = { private_key: 'my/1', revision: body.revision, deleted: true };
  const watchResponse = await waiting;
  assert.equal(watchResponse.body.events, [event]);
  assert.ok(Number(watchResponse.body.at_revision) >= Number(body.revision));
  const none = await storeCall('GET', `/v1/kv-watch?path_prefix=no/&after=${from}&wait_ms=20`);
  assert.equal(none.body.events, []);
  // The compaction must drop at least one change after `from`, whether heartbeats occur or not.
  assert.is((await put('my/4', 'x', 0)).status, 200);
  await platform.set('/store/compact');
  assert.is((await storeCall('GET', path)).status, 410);
});

test('the store can be down, respond late, lose responses, or refuse requests above its rate', async () => {
  await start();
  await platform.set('/store/faults', { down: 'unavailable' });
  assert.is((await put('my/a', 'x', 0)).status, 503);
  await platform.set('/store/faults', { down: 'silent' });
  const silent = put('my/a', 'x', 0).then(
    () => 'answered',
    () => 'ended',
  );
  await platform.set('/store/faults', { down: 'no' });
  assert.is((await storeCall('GET', '/v1/kv-key?private_key=my/a')).status, 404);
  for (const [mode, key] of [
    ['done', 'my/b'],
    ['late', 'my/c'],
  ] as const) {
    await platform.set('/store/faults', { loseNext: 1, loseMode: mode, lateMs: 30 });
    void put(key, 'x', 0).catch(() => undefined);
    await until(`${key} is written`, async () => {
      return (await storeCall('GET', `/v1/kv-key?private_key=${key}`)).status === 200;
    });
  }
  await platform.set('/store/faults', { writesPerSecond: 1 });
  assert.is((await put('my/d', 'x', 0)).status, 200);
  assert.is((await put('my/e', 'x', 0)).status, 429);
  assert.is(await Promise.race([silent, pause(0, 'mute')]), 'mute');
});

test('leases are suspended or expire while the store is down, and stale reads return old data', async () => {
  await start('--min-ttl-ms', '20');
  const grant = async () =>
    (await storeCall('POST', '/v1/kv-lease', { ttl_ms: 1000 })).body.lease_id;
  const alive = async (id: unknown) => (await storeCall('POST', `/v1/kv-keep/${id}`)).status;
  const waits = await grant();
  await platform.set('/store/faults', { down: 'unavailable', leasesWait: true });
  await pause(1200);
  await platform.set('/store/faults', { down: 'no' });
  assert.is(await alive(waits), 200);
  const runsOut = await grant();
  await platform.set('/store/faults', { down: 'unavailable', leasesWait: false });
  await pause(1200);
  await platform.set('/store/faults', { down: 'no' });
  assert.is(await alive(runsOut), 404);
  await put('my/a', 'x', 0);
  await platform.set('/store/faults', { staleMs: 60_000 });
  assert.is((await storeCall('GET', '/v1/kv-key?private_key=my/a&is_stale=1')).status, 404);
  assert.is((await storeCall('GET', '/v1/kv-key?private_key=my/a')).status, 200);
});

test('an instance checks the requested service and the number of connections', async () => {
  await start('--max-connections', '2');
  for (const fields of [
    ['other', 'test'],
    [SERVICE, 'test', 'i-other'],
  ]) {
    const client = await connectTo(FIRST);
    assert.is((await client.start(...fields)).error?.code, 'MISROUTED');
    await client.closed;
  }
  await open(FIRST);
  await open(FIRST);
  const third = await connectTo(FIRST);
  assert.is((await third.start(SERVICE, 'test')).error?.code, 'CONNLIMIT');
});

test('the primary runs sessions, transactions and prepared statements', async () => {
  await start();
  const one = await open(FIRST);
  const other = await open(FIRST);
  assert.is(summarize(await one.query('a1', 'SET zone west')), '- I');
  assert.is(summarize(await one.query('a2', 'PREPARE s1 WRITE q2c')), '- I');
  assert.is(summarize(await other.query('b1', 'EXECUTE s1 k v')), 'UNPREPARED I');
  assert.is(summarize(await one.query('a3', 'BEGIN')), '- T');
  assert.is(summarize(await one.query('a4', 'EXECUTE s1 k a b')), 'signed T');
  assert.equal((await one.query('a5', 'READ k')).rows, ['a b']);
  assert.equal((await other.query('b2', 'READ k')).rows, ['-']);
  const commit = await one.query('a6', 'COMMIT');
  assert.equal([summarize(commit), commit.position], ['signed I', '1.1']);
  assert.equal((await other.query('b3', 'READ k')).rows, ['a b']);
  await other.query('b4', 'BEGIN');
  assert.is(summarize(await other.query('b5', 'READ nothing to see')), 'MALFORMED E');
  assert.is(summarize(await other.query('b6', 'READ k')), 'MALFORMED E');
  assert.is(summarize(await other.query('b7', 'COMMIT')), 'ABORTED I');
  assert.is(summarize(await one.query('-', 'RESET')), '- I');
  assert.is(summarize(await one.query('a7', 'EXECUTE s1 k v')), 'UNPREPARED I');
  const { runs } = await platform.log();
  const executed = runs.find(({ id }) => id === 'a4');
  assert.equal([executed?.shape, executed?.values], ['q2c', { zone: 'west' }]);
  const committed = runs.find(({ id }) => id === 'a6');
  assert.equal(committed?.committed, { term: 1, number: 1 });
  assert.is(commit.completion, committed?.signature);
});

test('a replica lags, refuses writes and responds to AFTER and STATUS', async () => {
  await start('--lag-ms', '60000');
  const primary = await open(FIRST);
  const replica = await open(SECOND);
  await primary.query('a1', 'WRITE k v');
  await until('the replica has received', async () => {
    return (await platform.instance(SECOND)).received === '1.1';
  });
  assert.is(summarize(await replica.query('b1', 'AFTER 1.1 READ k')), 'LAGGING I');
  assert.is(summarize(await replica.query('b2', 'AFTER 1.1 BEGIN READ')), 'LAGGING I');
  assert.is(summarize(await replica.query('b3', 'WRITE k v')), 'READONLY I');
  assert.is(summarize(await replica.query('b4', 'BEGIN')), 'READONLY I');
  assert.equal((await replica.query('b5', 'READ k')).rows, ['-']);
  const [role, term, received, held] = await statusOf(replica);
  assert.equal([role, term, received, held], ['replica', '1', '1.1', '0']);
  await platform.set(`/instances/${SECOND}/faults`, { lagMs: 0 });
  const read = await replica.query('b6', 'AFTER 1.1 READ k');
  assert.equal([read.rows, read.position], [['v'], '1.1']);
  const logged = (await platform.log()).runs.filter(({ id }) => id === 'b6');
  assert.equal(
    logged.map(({ text }) => text),
    ['READ k'],
  );
});

test('a full queue responds with BUSY', async () => {
  await start('--slots', '1', '--queue-length', '1', '--work-ms', '1000');
  const [one, two, three] = [await open(FIRST), await open(FIRST), await open(FIRST)];
  const answers = [one.query('a', 'READ k'), two.query('b', 'READ k')];
  await until('one statement runs', async () => (await platform.instance(FIRST)).slotsInUse === 1);
  assert.is(summarize(await three.query('c', 'READ k')), 'BUSY I');
  assert.is(summarize(await three.query('-', 'STATUS')), 'BUSY I');
  assert.equal((await Promise.all(answers)).map(summarize), ['signed I', 'signed I']);
});

test('a commit waits for a replica, and times out while both replicas are paused', async () => {
  await start('--sync-timeout-ms', '1000');
  const primary = await open(FIRST);
  const second = await open(SECOND);
  const third = await open(THIRD);
  assert.equal((await second.query('-', 'PAUSE 2')).rows[0]?.split(' ')[3], '2');
  await third.query('-', 'PAUSE 2');
  assert.is(summarize(await primary.query('a1', 'WRITE k v')), 'TIMEOUT I');
  assert.is((await platform.instance(SECOND)).received, '1.0');
  await second.query('-', 'RESUME');
  assert.is(summarize(await primary.query('a2', 'WRITE k w')), 'signed I');
  assert.is((await platform.instance(THIRD)).received, '1.0');
});

test('a promoted instance becomes primary with the log that it received; the old primary steps down and is rolled back', async () => {
  await start('--promote-ms', '20', '--sync-timeout-ms', '1000');
  const primary = await open(FIRST);
  await primary.query('a1', 'WRITE k v');
  await applied(SECOND, '1.1');
  await platform.set(`/groups/${SERVICE}/cuts`, {
    pairs: [
      [FIRST, SECOND],
      [FIRST, THIRD],
    ],
  });
  assert.is(summarize(await primary.query('a2', 'WRITE k lost')), 'TIMEOUT I');
  assert.is(await promote(SECOND), 200);
  assert.is((await platform.waitForNewPrimary(SERVICE, FIRST)).term, 2);
  assert.is(summarize(await primary.query('a3', 'BEGIN')), '- T');
  await platform.set(`/groups/${SERVICE}/cuts`, { pairs: [] });
  await until('the old primary steps down', async () => {
    return (await platform.instance(FIRST)).role === 'replica';
  });
  const other = await open(FIRST);
  await until('the old primary is no longer busy', async () => {
    return summarize(await other.query('-', 'STATUS')) === '- I';
  });
  assert.is(summarize(await primary.query('a4', 'READ k')), 'READONLY E');
  const newPrimary = await open(SECOND);
  assert.is(summarize(await newPrimary.query('b1', 'WRITE k new')), 'signed I');
  await applied(FIRST, '2.2');
  assert.is(summarize(await newPrimary.query('b2', 'AFTER 1.2 READ k')), 'LAGGING I');
  const log = await platform.log();
  assert.equal(
    log.services[0]?.entries.map(({ term, number }) => [term, number]),
    [
      [1, 1],
      [2, 2],
    ],
  );
  assert.equal(
    log.promotions.map(({ id, leads }) => [id, leads]),
    [[SECOND, 2]],
  );
  assert.equal(
    log.promotionCalls.map(({ holder, token }) => [holder, token]),
    [['node-1', 1]],
  );
  assert.is(await promote(SECOND), 200);
});

/**
 * Guards against commits that are reported as lost because the log is read during a change of primary: without a primary
 * the log is empty. Seen once in 20 runs of `integration/direct/snapshots` with its processes paused at random: three
 * replicas with the same log, no promotion yet, 119 commits reported as lost.
 */
test('without a primary the settled log is not returned before the next promotion', async () => {
  await start();
  const primary = await open(FIRST);
  assert.is((await platform.settledLog()).services[0]?.primary, FIRST);
  await primary.query('-', 'DEMOTE 2');
  assert.is((await platform.log()).services[0]?.primary, undefined);
  const settled = platform.settledLog();
  assert.is(await promote(SECOND), 200);
  assert.is((await settled).services[0]?.primary, SECOND);
});

test('DEMOTE ends the primary role of a lower term', async () => {
  await start();
  const primary = await open(FIRST);
  assert.is((await statusOf(primary))[0], 'primary');
  await primary.query('-', 'DEMOTE 1');
  assert.is((await statusOf(primary))[0], 'primary');
  assert.is((await primary.query('-', 'DEMOTE 2')).rows[0]?.split(' ')[0], 'replica');
  assert.is(summarize(await primary.query('a', 'WRITE k v')), 'READONLY I');
});

async function entryOf(id: string): Promise<Record<string, unknown> | undefined> {
  const { status, body } = await storeCall('GET', `/v1/kv-key?private_key=servers/${id}`);
  if (status !== 200) return undefined;
  return JSON.parse(Buffer.from(String(body.value), 'base64').toString());
}

test('an instance crashes and restarts; its registration expires and is written again', async () => {
  await start('--promote-ms', '0');
  const client = await open(FIRST);
  await client.query('a1', 'WRITE k v');
  await platform.set(`/instances/${FIRST}/crash`);
  await client.closed;
  await until('the registration is gone', async () => (await entryOf(FIRST)) === undefined);
  assert.is(await promote(FIRST), 409);
  assert.is(await promote(SECOND), 200);
  await platform.waitForNewPrimary(SERVICE, FIRST);
  await platform.set(`/instances/${FIRST}/return`);
  const entry = await entryOf(FIRST);
  assert.equal([entry?.database_role, entry?.state], ['replica', 'ready']);
  assert.equal((await (await open(FIRST)).query('a2', 'READ k')).rows, ['v']);
});

test('an unreachable instance does not respond until it is reachable again', async () => {
  await start();
  const client = await open(FIRST);
  await platform.set(`/instances/${FIRST}/dark`);
  const answer = client.query('a1', 'READ k');
  assert.is(await Promise.race([answer, pause(50, 'silence')]), 'silence');
  await platform.set(`/instances/${FIRST}/return`);
  assert.is(summarize(await answer), 'signed I');
});

test('a draining instance announces it, continues to serve, stops, and is replaced by one with its log', async () => {
  await start('--drain-timeout-ms', '1000');
  const client = await open(THIRD);
  await (await open(FIRST)).query('a1', 'WRITE k v');
  await applied(THIRD, '1.1');
  const plan = { replaceAfterMs: 10, replacementId: 'i-new' };
  await platform.set(`/instances/${THIRD}/drain`, plan);
  assert.is((await entryOf(THIRD))?.state, 'draining');
  assert.is(summarize(await client.query('c1', 'READ k')), 'signed I');
  await client.closed;
  let replacement: InstanceState | undefined;
  await until('the replacement', async () => {
    replacement = (await platform.instances()).find(({ id }) => id === 'i-new');
    return replacement?.isRunning === true && (await entryOf('i-new')) !== undefined;
  });
  assert.is(await entryOf(THIRD), undefined);
  assert.is(replacement?.received, '1.1');
});

test('responses are lost, cut off or fail on request', async () => {
  await start();
  const lost = await open(FIRST);
  await platform.set(`/instances/${FIRST}/faults`, { loseAnswers: 1 });
  const ended = (error: unknown) => error instanceof LineConnectionLost;
  assert.ok(await lost.query('a1', 'WRITE k v').catch(ended));
  const broken = await open(FIRST);
  await platform.set(`/instances/${FIRST}/faults`, { breakAnswers: 1 });
  assert.ok(await broken.query('a2', 'READ k').catch(ended));
  const failing = await open(FIRST);
  await platform.set(`/instances/${FIRST}/faults`, { failNext: 1 });
  assert.is(summarize(await failing.query('a3', 'WRITE k w')), 'FAILED I');
  assert.equal((await failing.query('a4', 'READ k')).rows, ['v']);
  const { runs } = await platform.log();
  const notes = runs.map(({ id, isAnswerLost, error }) => [
    id,
    isAnswerLost ?? error ?? 'answered',
  ]);
  assert.equal(notes, [
    ['a1', true],
    ['a2', true],
    ['a3', 'FAILED'],
    ['a4', 'answered'],
  ]);
});

test.run();
