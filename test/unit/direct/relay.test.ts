/** Leases of connections to an instance, and their outcome when the owner, the link or the instance is lost. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire } from '../../../platform/line-wire.js';
import type { PreparedStatement } from '../../../src/core/statements/session-values.js';
import type { StatementAnswer } from '../../../src/core/statements/statement.js';
import { Cancellation } from '../../../src/direct/cancellation.js';
import {
  InstanceConnectError,
  InstanceConnectionLostError,
  InstanceOwnersUnreachableError,
  InstanceQueueFullError,
  InstanceWaitTimeoutError,
} from '../../../src/direct/errors.js';
import type { AnswerResult, InstanceConnection } from '../../../src/direct/instance-connection.js';
import type { ConnectionRequest } from '../../../src/direct/instance-pool.js';
import { GrantedLease } from '../../../src/direct/relay/granted-lease.js';
import { synchronise } from '../../../src/direct/synchronise.js';
import { createLocalStreamPair } from '../../../src/peer/local-stream.js';
import { SilentNode, TEST_TENANT, TestBorrower, TestOwner } from '../../support/relay-fleet.js';
import { ScriptedInstance } from '../../support/scripted-instance.js';
import { until } from '../../support/until.js';

let instance: ScriptedInstance;
let owners: TestOwner[] = [];
let borrower: TestBorrower;
let silent: SilentNode | undefined;

async function start(ownerCount: number): Promise<void> {
  instance = await ScriptedInstance.start('i-1');
  const names = Array.from({ length: ownerCount }, (_, index) => `owner-${index}`);
  owners = await Promise.all(names.map((name) => TestOwner.start(name, instance)));
  const nodes = owners.map(({ node }) => node);
  borrower = new TestBorrower(instance, silent === undefined ? nodes : [silent.node, ...nodes]);
}

test.after.each(async () => {
  await borrower.stop();
  await Promise.all(owners.map((owner) => owner.stop()));
  await instance.stop();
  silent?.stop();
  silent = undefined;
});

function owner(index: number): TestOwner {
  return owners[index] as TestOwner;
}

async function lease(): Promise<InstanceConnection> {
  return (await borrower.acquire())._unsafeUnwrap();
}

function runStatement(connection: InstanceConnection, text: string): Promise<AnswerResult> {
  return connection.exchange(lineWire.encodeStatement('s1', text, undefined));
}

async function answerTo(connection: InstanceConnection, text: string): Promise<StatementAnswer> {
  return (await runStatement(connection, text))._unsafeUnwrap();
}

async function lossOf(exchange: Promise<AnswerResult>): Promise<InstanceConnectionLostError> {
  return (await exchange)._unsafeUnwrapErr();
}

test('a statement is forwarded unchanged, and so is the response of the instance', async () => {
  await start(1);
  const connection = await lease();
  const { payload, error, state, position } = await answerTo(connection, 'WRITE k \xe9\xff v');
  assert.is(payload, 'ROW WRITE k \xe9\xff v\r\nCOMPLETE sig-WRITE k \xe9\xff v\r\n');
  assert.equal([error, state], [undefined, 'idle']);
  assert.equal(position, { timeline: 1, lsn: 2n });
  borrower.pool.release(connection);
  assert.equal(instance.received, [{ connection: 1, text: 'WRITE k \xe9\xff v' }]);
});

test('the remaining time to the latency target and the transaction flag of a request reach the pool of the owner', async () => {
  await start(1);
  const { pool } = owner(0);
  const requests: ConnectionRequest[] = [];
  const acquire = pool.acquire.bind(pool);
  pool.acquire = (request) => {
    requests.push(request);
    return acquire(request);
  };
  const latencyTargetAt = performance.now() + 3000;
  const bounds = {
    priority: 2,
    deadline: latencyTargetAt + 2000,
    latencyTargetAt,
    isTransaction: true,
  };
  borrower.pool.release((await borrower.acquire(bounds))._unsafeUnwrap());
  borrower.pool.release(await lease());
  const [received, plain] = requests;
  assert.is(received?.priority, 2);
  assert.is(received?.isTransaction, true);
  // Both are sent as remaining time, so that the nodes' clocks need not agree.
  const betweenMs = (received?.deadline ?? 0) - (received?.latencyTargetAt ?? 0);
  assert.ok(betweenMs >= 1999 && betweenMs <= 2001, String(betweenMs));
  assert.is(plain?.isTransaction, undefined);
  assert.is(plain?.latencyTargetAt, plain?.deadline);
});

test('requests that wait at an owner that dies are served by the next owner, and nothing runs twice', async () => {
  await start(2);
  const { pool } = owner(0);
  owner(0).rules = { targetDelayMs: 50, highestPriority: 0, lowestPriority: 2 };
  const held = [await lease(), await lease()];
  assert.is(pool.waiting, 0);
  const waiting = [borrower.acquire({ priority: 2 }), borrower.acquire({ priority: 1 })];
  await until('both requests wait at the owner', () => pool.waiting === 2);
  await owner(0).transport.close();
  for (const acquired of await Promise.all(waiting)) {
    const connection = acquired._unsafeUnwrap();
    await answerTo(connection, 'READ a');
    borrower.pool.release(connection);
  }
  for (const connection of held) connection.close();
  assert.equal(
    instance.received.map(({ text }) => text),
    ['READ a', 'READ a'],
  );
});

test('a request that waits at a full owner is refused after half of its time, and the owner is not considered faulty', async () => {
  await start(1);
  owner(0).rules = { targetDelayMs: 50, highestPriority: 0, lowestPriority: 2 };
  const held = [await lease(), await lease()];
  const deadline = performance.now() + 2000;
  const refused = await borrower.acquire({ priority: 2, deadline });
  assert.instance(refused._unsafeUnwrapErr(), InstanceQueueFullError);
  assert.not(borrower.health.isAvoided('owner-0'));
  for (const connection of held) borrower.pool.release(connection);
  borrower.pool.release(await lease());
});

test('session values and prepared statements of a connection are transferred with the lease, both ways', async () => {
  await start(1);
  const first = await lease();
  const prepared = { access: 'read', shape: 'q1', sharedName: 'p1' } as const;
  synchronise(first, new Map([['tz', 'utc']]), prepared, lineWire);
  await answerTo(first, 'READ a');
  borrower.pool.release(first);
  await until('the connection is returned', () => owner(0).server.size === 0);
  const second = await lease();
  assert.equal([...second.values], [['tz', 'utc']]);
  assert.equal([...second.preparedNames], ['p1']);
  synchronise(second, new Map(), undefined, lineWire);
  await answerTo(second, 'READ b');
  borrower.pool.release(second);
  const texts = instance.received.map(({ text }) => text);
  assert.equal(texts, ['SET tz utc', 'PREPARE p1 READ q1', 'READ a', 'RESET', 'READ b']);
  assert.is(instance.connectionCount, 1);
});

test('an unresponsive owner is skipped before anything is sent', async () => {
  silent = await SilentNode.start('silent');
  await start(1);
  // Shorter than the link's handshake timeout.
  const deadline = performance.now() + 2000;
  const connection = (await borrower.acquire({ deadline }))._unsafeUnwrap();
  await answerTo(connection, 'READ a');
  borrower.pool.release(connection);
  assert.ok(borrower.health.isAvoided('silent'));
  assert.is(borrower.counters.leasesAsked, 2);
});

test('an owner that is gone is skipped, and without any owner the statement is reported as not sent', async () => {
  await start(2);
  await owner(0).stop();
  const connection = await lease();
  await answerTo(connection, 'READ a');
  borrower.pool.release(connection);
  await owner(1).stop();
  const failed = await borrower.acquire();
  assert.instance(failed._unsafeUnwrapErr(), InstanceOwnersUnreachableError);
  assert.is(instance.received.length, 1);
});

test('if the link is lost after the grant and before the statement, nothing has run', async () => {
  await start(2);
  const connection = await lease();
  await owner(0).transport.close();
  await until('the lease has ended', () => connection.closed);
  const lost = await lossOf(runStatement(connection, 'WRITE k v'));
  assert.is(lost.code, 'MS-INSTANCE-CONNECTION-LOST');
  assert.is(borrower.counters.leasesLost, 1);
  const other = await lease();
  await answerTo(other, 'WRITE k v');
  borrower.pool.release(other);
  assert.is(instance.received.filter(({ text }) => text === 'WRITE k v').length, 1);
});

test('if the link is lost after the statement was sent, it may have run', async () => {
  await start(2);
  instance.heldText = 'WRITE';
  const connection = await lease();
  const exchange = runStatement(connection, 'WRITE k v');
  await instance.waitForStatement('WRITE k v');
  await owner(0).transport.close();
  assert.is((await lossOf(exchange)).fault, 'owner');
  assert.ok(borrower.health.isAvoided('owner-0'));
  await until('the instance is left', () => instance.ended.includes(1));
});

test('an open transaction ends with its link, since the owner closes the connection', async () => {
  await start(1);
  const connection = await lease();
  assert.is((await answerTo(connection, 'BEGIN')).state, 'open');
  connection.close();
  await until('the instance is left', () => instance.ended.includes(1));
  assert.is(owner(0).server.size, 0);
});

test('a connection that is returned inside a transaction is not reused', async () => {
  await start(1);
  const connection = await lease();
  await answerTo(connection, 'BEGIN');
  borrower.pool.release(connection);
  await until('the instance is left', () => instance.ended.includes(1));
  const next = await lease();
  await answerTo(next, 'READ a');
  borrower.pool.release(next);
  assert.is((await instance.waitForStatement('READ a')).connection, 2);
});

test('a response that arrives after its lease was abandoned is discarded', async () => {
  await start(1);
  instance.heldText = 'READ late';
  const first = await lease();
  const exchange = runStatement(first, 'READ late');
  await instance.waitForStatement('READ late');
  first.close();
  assert.is((await lossOf(exchange)).fault, 'instance');
  const second = await lease();
  const answer = answerTo(second, 'READ mine');
  instance.answerHeld();
  assert.match((await answer).payload, 'ROW READ mine');
  borrower.pool.release(second);
});

test('a statement that arrives together with the end of its lease is not sent to the instance', async () => {
  await start(1);
  const { pool } = owner(0);
  const now = (): number => performance.now();
  const request = { ...TEST_TENANT, values: new Map(), deadline: now() + 5000, cancelledBy: [] };
  const connection = (await pool.acquire(request))._unsafeUnwrap();
  // Both ends deliver all messages at once, as a link does after its node stalled.
  const { opener, acceptor } = createLocalStreamPair();
  const ended = new Promise<void>((onEnd) => {
    new GrantedLease({ stream: acceptor, instance: owner(0), connection, now, onEnd });
  });
  opener.send({ type: 'run', messages: [lineWire.encodeStatement('s1', 'WRITE k v', undefined)] });
  opener.abort('given up');
  await ended;
  const next = await lease();
  await answerTo(next, 'READ a');
  borrower.pool.release(next);
  assert.equal(
    instance.received.map(({ text }) => text),
    ['READ a'],
  );
});

test('the loss of the connection to an instance is distinguished from the loss of an owner', async () => {
  await start(1);
  instance.heldText = 'WRITE';
  const connection = await lease();
  const exchange = runStatement(connection, 'WRITE k v');
  await instance.waitForStatement('WRITE k v');
  owner(0).pool.destroy();
  assert.is((await lossOf(exchange)).fault, 'instance');
  assert.not(borrower.health.isAvoided('owner-0'));
});

test('a stopping owner refuses new leases at once, and leases in use finish', async () => {
  await start(2);
  const connection = await lease();
  await answerTo(connection, 'BEGIN');
  owner(0).server.stopGranting();
  const other = await lease();
  await answerTo(other, 'READ elsewhere');
  borrower.pool.release(other);
  await until('the other owner received a request', () => owner(1).pool.size === 1);
  assert.is((await answerTo(connection, 'WRITE k v inside')).state, 'open');
  assert.is((await answerTo(connection, 'COMMIT')).state, 'idle');
  borrower.pool.release(connection);
  await owner(0).server.drained(Number.POSITIVE_INFINITY);
  assert.is(owner(0).pool.size, 1);
});

test('an owner that does not know the instance, or does not own it, is skipped', async () => {
  await start(3);
  owner(0).known = false;
  owner(1).isOwned = false;
  const connection = await lease();
  await answerTo(connection, 'READ a');
  borrower.pool.release(connection);
  assert.equal(
    owners.map(({ pool }) => pool.size),
    [0, 0, 1],
  );
});

test('an owner that knows that the instance is leaving lends no connection', async () => {
  await start(2);
  owner(0).usable = false;
  assert.instance((await borrower.acquire())._unsafeUnwrapErr(), InstanceWaitTimeoutError);
  assert.is(instance.connectionCount, 0);
});

test('a leaving instance gets no new statement, but an open transaction continues', async () => {
  await start(1);
  const fresh = await lease();
  const inside = await lease();
  await answerTo(inside, 'BEGIN');
  owner(0).usable = false;
  const refused = await answerTo(fresh, 'WRITE k v');
  assert.is(refused.error?.code, 'busy');
  assert.is((await answerTo(inside, 'COMMIT')).error, undefined);
  assert.not(instance.received.some(({ text }) => text === 'WRITE k v'));
});

test('messages that are rejected together are all reported before a connection ends', async () => {
  await start(1);
  const connection = await lease();
  owner(0).usable = false;
  connection.cork();
  synchronise(connection, new Map([['tz', 'utc']]), undefined, lineWire);
  const exchange = runStatement(connection, 'WRITE k v');
  connection.uncork();
  assert.is((await exchange)._unsafeUnwrap().error?.code, 'busy');
});

test('an instance that its owner cannot reach is reported as unreachable', async () => {
  await start(2);
  await instance.stop();
  const failed = await borrower.acquire();
  assert.instance(failed._unsafeUnwrapErr(), InstanceConnectError);
  assert.is(borrower.counters.leasesAsked, 1);
  instance = await ScriptedInstance.start('i-2');
});

test('lease requests queue at the owner, and a cancelled one leaves the queue', async () => {
  await start(1);
  const held = [await lease(), await lease()];
  const soon = performance.now() + 100;
  const late = await borrower.acquire({ deadline: soon });
  assert.instance(late._unsafeUnwrapErr(), InstanceWaitTimeoutError);
  const waiting = lease();
  for (const connection of held) borrower.pool.release(connection);
  borrower.pool.release(await waiting);
  await until('all connections are returned', () => owner(0).server.size === 0);
  assert.is(instance.connectionCount, 2);
});

test('concurrent position requests share one query to the instance', async () => {
  await start(1);
  const queries = Array.from({ length: 20 }, () => borrower.pool.lender?.position(2000));
  const answers = await Promise.all(queries);
  for (const position of answers) assert.equal(position, { timeline: 1, lsn: 2n });
  assert.is(instance.received.length, 1);
});

interface ReadOptions {
  readonly values?: ReadonlyMap<string, string>;
  readonly prepared?: PreparedStatement;
  readonly cancelledBy?: readonly Cancellation[];
  readonly waitMs?: number;
}

/** Has an owner run a read; `text` is the statement that the instance receives. */
function read(text: string, options: ReadOptions = {}) {
  const { values = new Map(), prepared, cancelledBy = [], waitMs = 10_000 } = options;
  const request = { ...TEST_TENANT, values, deadline: performance.now() + waitMs, cancelledBy };
  const message = lineWire.encodeStatement('s1', text, undefined);
  const { lender: lessor } = borrower.pool;
  assert.ok(lessor);
  return lessor.read({ ...request, prepared, message });
}

const PREPARED: PreparedStatement = { access: 'read', shape: 'q1', sharedName: 'shared' };

test('an owner runs a read with the values and names of its session, and keeps the connection', async () => {
  await start(1);
  const values = new Map([['zone', 'a']]);
  const answer = (await read('EXECUTE shared k', { values, prepared: PREPARED }))._unsafeUnwrap();
  assert.match(answer.payload, 'ROW EXECUTE shared k');
  (await read('EXECUTE shared l', { values, prepared: PREPARED }))._unsafeUnwrap();
  (await read('READ m'))._unsafeUnwrap();
  assert.equal(
    instance.received.map(({ connection, text }) => `${connection}: ${text}`),
    [
      ...['1: SET zone a', '1: PREPARE shared READ q1', '1: EXECUTE shared k'],
      ...['1: EXECUTE shared l', '1: RESET', '1: READ m'],
    ],
  );
});

test('prepared statements that an instance does not know are prepared again', async () => {
  await start(1);
  instance.failing = { text: 'EXECUTE', code: 'UNPREPARED' };
  const first = (await read('EXECUTE shared k', { prepared: PREPARED }))._unsafeUnwrap();
  assert.is(first.error?.code, 'unprepared');
  instance.failing = undefined;
  (await read('EXECUTE shared k', { prepared: PREPARED }))._unsafeUnwrap();
  assert.is(instance.received.filter(({ text }) => text.startsWith('PREPARE')).length, 2);
});

test('an owner that does not respond to a read is skipped', async () => {
  silent = await SilentNode.start('silent');
  await start(1);
  assert.match((await read('READ k'))._unsafeUnwrap().payload, 'ROW READ k');
  assert.ok(borrower.health.isAvoided('silent'));
});

test('a cancelled read is not sent to the instance', async () => {
  await start(1);
  const { pool } = owner(0);
  const deadline = performance.now() + 5000;
  const request = { ...TEST_TENANT, values: new Map(), deadline, cancelledBy: [] };
  const held = [
    (await pool.acquire(request))._unsafeUnwrap(),
    (await pool.acquire(request))._unsafeUnwrap(),
  ];
  const settled = new Cancellation();
  const answer = read('READ late', { cancelledBy: [settled] });
  await until('the read waits at its owner', () => pool.waiting === 1);
  settled.cancel();
  assert.ok((await answer).isErr());
  assert.not(borrower.health.isAvoided('owner-0'));
  // Frames arrive in order: the owner receives the cancellation before the next request.
  const next = read('READ next');
  await until('only the next read waits', () => pool.waiting === 1);
  for (const connection of held) pool.release(connection);
  (await next)._unsafeUnwrap();
  assert.equal(
    instance.received.map(({ text }) => text),
    ['READ next'],
  );
});

test('a cancelled wait for a connection ends at once, at the borrower and at the owner', async () => {
  await start(1);
  const { pool } = owner(0);
  const held = [await lease(), await lease()];
  const changed = new Cancellation();
  const waiting = borrower.acquire({ cancelledBy: [changed] });
  await until('the request waits at its owner', () => pool.waiting === 1);
  changed.cancel();
  assert.ok((await waiting).isErr());
  assert.not(borrower.health.isAvoided('owner-0'));
  await until('the request has left the queue', () => pool.waiting === 0);
  assert.ok((await borrower.acquire({ cancelledBy: [changed] })).isErr());
  for (const connection of held) borrower.pool.release(connection);
  borrower.pool.release(await lease());
});

test('if an instance does not respond to a read its connection is closed, and the owner is not considered faulty', async () => {
  await start(1);
  instance.heldText = 'READ';
  assert.instance((await read('READ k'))._unsafeUnwrapErr(), InstanceConnectionLostError);
  await until('the connection ended', () => instance.ended.length === 1);
  assert.not(borrower.health.isAvoided('owner-0'));
  instance.heldText = undefined;
  (await read('READ l'))._unsafeUnwrap();
});

test('no read is sent to a leaving instance', async () => {
  await start(1);
  owner(0).usable = false;
  assert.instance((await read('READ k'))._unsafeUnwrapErr(), InstanceWaitTimeoutError);
  assert.is(instance.connectionCount, 0);
});

test('a malformed lease request is refused', async () => {
  await start(1);
  const stream = borrower.transport.openStream(owner(0).node, { type: 'lease', service: 7 });
  const ended = new Promise((resolve) => {
    stream.onClose = resolve;
  });
  assert.ok(await ended);
  assert.is(owner(0).server.size, 0);
});

test.run();
