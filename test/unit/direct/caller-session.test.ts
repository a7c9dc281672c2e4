/** Responses that a caller session gives without an instance, and their order. */
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire } from '../../../platform/line-wire.js';
import { CallerSession } from '../../../src/direct/caller-session.js';
import type { RequestEnd } from '../../../src/direct/request-log.js';
import {
  createSessionDependencies,
  createTenant,
  ROUTE,
} from '../../support/caller-session-fixture.js';

/** The session's timers do not keep the process alive. */
const KEEP_ALIVE_MS = 1000;
let keepAlive: NodeJS.Timeout | undefined;

test.before(() => {
  keepAlive = setInterval(() => {}, KEEP_ALIVE_MS);
});
test.after(() => clearInterval(keepAlive));

/** A session whose service has no instance at all. */
function startSession(tenant = createTenant(), transactionIdleMs?: number) {
  const lines: string[] = [];
  const ends: RequestEnd[] = [];
  const ended: true[] = [];
  const session = new CallerSession({
    ...createSessionDependencies(tenant, ends, transactionIdleMs),
    write: (text) => lines.push(...text.split('\r\n').filter((line) => line !== '')),
    end: () => ended.push(true),
  });
  /** Resolves once the message has been answered. */
  const send = (line: string): Promise<void> =>
    new Promise((resolve) => {
      session.onAllAnswered = resolve;
      session.receive(lineWire.decodeCallerMessage(line));
    });
  return { session, lines, ends, ended, send };
}

test('values and prepared statements are answered without any instance', async () => {
  const { lines, send } = startSession();
  await send('START orders u1');
  await send('QUERY 1 SET role clerk');
  await send('QUERY 2 PREPARE s1 READ shape');
  await send('QUERY 3 DEALLOCATE s1');
  await send('QUERY 4 EXECUTE s1 key');
  assert.equal(lines.slice(0, 7), [
    'READY I -',
    'COMPLETE -',
    'READY I -',
    'COMPLETE -',
    'READY I -',
    'COMPLETE -',
    'READY I -',
  ]);
  assert.equal(lines.slice(7), ['ERROR UNPREPARED s1', 'READY I -']);
});

test('a refusal for lack of capacity contains a retry delay that depends on the priority', async () => {
  for (const [priority, delayMs] of [
    [0, 150],
    [2, 450],
  ] as const) {
    const dependencies = createSessionDependencies(createTenant({ priority }));
    const refusal = { code: 'busy', text: 'too many statements wait', isForLackOfCapacity: true };
    const runner = Object.assign(Object.create(dependencies.runner), {
      run: async () => ({ type: 'refused', refusal }),
    });
    const lines: string[] = [];
    const session = new CallerSession({
      ...{ ...dependencies, runner, end: () => {} },
      write: (text) => lines.push(...text.split('\r\n').filter((line) => line !== '')),
    });
    await new Promise<void>((resolve) => {
      session.onAllAnswered = resolve;
      session.receive(lineWire.decodeCallerMessage('START orders u1'));
    });
    await new Promise<void>((resolve) => {
      session.onAllAnswered = resolve;
      session.receive(lineWire.decodeCallerMessage('QUERY 1 READ key'));
    });
    assert.is(lines.at(-2), `ERROR BUSY too many statements wait; retry after ${delayMs} ms`);
  }
});

test('a refused statement that has not run gets a retry delay', async () => {
  const { lines, send } = startSession();
  await send('START orders u1');
  await send('QUERY 1 WRITE key value');
  assert.match(lines[1] ?? '', /^ERROR BUSY .*retry after \d+ ms$/);
  assert.is(lines[2], 'READY I -');
});

test('a tenant opens at most its maximum of sessions, and another one once one of them closes', async () => {
  const tenant = createTenant({ maxSessions: 1 });
  const first = startSession(tenant);
  await first.send('START orders u1');
  const second = startSession(tenant);
  second.session.receive(lineWire.decodeCallerMessage('START orders u2'));
  await new Promise((resolve) => setImmediate(resolve));
  assert.match(second.lines[0] ?? '', /^ERROR BUSY too many sessions; retry after \d+ ms$/);
  assert.equal(second.ended, [true]);
  second.session.close();
  assert.is(tenant.sessions, 1);
  first.session.close();
  first.session.close();
  assert.is(tenant.sessions, 0);
  const third = startSession(tenant);
  await third.send('START orders u3');
  assert.equal(third.lines, ['READY I -']);
});

test('a session holds at most the session values and prepared statements that its tenant may have', async () => {
  const { lines, send } = startSession(createTenant({ maxSessionEntries: 1 }));
  await send('START orders u1');
  await send('QUERY 1 SET role clerk');
  await send('QUERY 2 SET role judge');
  await send('QUERY 3 SET other value');
  assert.match(lines.at(-2) ?? '', /^ERROR TOOLARGE /);
  await send('QUERY 4 PREPARE s1 READ shape');
  await send('QUERY 5 PREPARE s2 READ shape');
  assert.match(lines.at(-2) ?? '', /^ERROR TOOLARGE /);
  assert.is(lines.filter((line) => line.startsWith('ERROR')).length, 2);
});

test('a failed transaction accepts only its end', async () => {
  const { lines, send } = startSession();
  await send('START orders u1');
  await send('QUERY 1 BEGIN');
  await send('QUERY 2 READ key');
  assert.is(lines.at(-1), 'READY E -');
  await send('QUERY 3 READ key');
  assert.match(lines.at(-2) ?? '', /^ERROR MALFORMED /);
  await send('QUERY 4 COMMIT');
  assert.match(lines.at(-2) ?? '', /^ERROR ABORTED /);
  assert.is(lines.at(-1), 'READY I -');
});

test('a caller that is idle in a transaction when the node stops receives ABORTED', async () => {
  const { session, lines, send } = startSession();
  await send('START orders u1');
  await send('QUERY 1 BEGIN');
  session.notifyStop();
  assert.match(lines.at(-1) ?? '', /^ERROR ABORTED .*retry after \d+ ms$/);
});

/**
 * The idle timeout aborts a transaction, which the caller learns with its next statement. If the node stops before that,
 * the stop notice must report it. Otherwise the connection ends without any error, as if the transaction were still open.
 */
test('a caller whose transaction was aborted by the idle timeout before the node stops receives ABORTED too', async () => {
  const { session, lines, send } = startSession(createTenant(), 1);
  await send('START orders u1');
  await send('QUERY 1 BEGIN');
  await pause(ROUTE.timeoutMs);
  session.notifyStop();
  assert.match(lines.at(-1) ?? '', /^ERROR ABORTED .*retry after \d+ ms$/);
});

test('a caller that is idle outside any transaction when the node stops receives the stop notice once', async () => {
  const { session, lines, send } = startSession();
  await send('START orders u1');
  session.notifyStop();
  session.notifyStop();
  assert.is(lines.length, 2);
  assert.match(lines[1] ?? '', /^ERROR BUSY .*retry after \d+ ms$/);
});

test('a caller that sends a request after the stop notice is answered and notified again', async () => {
  const { session, lines, send } = startSession();
  await send('START orders u1');
  session.notifyStop();
  await send('QUERY 1 SET role clerk');
  assert.equal(lines.slice(2), ['READY I -']);
  session.notifyStop();
  assert.match(lines.at(-1) ?? '', /^ERROR BUSY /);
});

test('a ROLLBACK that was already on its way when the stop notice was sent ends its transaction', async () => {
  const { session, lines, send } = startSession();
  await send('START orders u1');
  await send('QUERY 1 BEGIN');
  session.notifyStop();
  await send('QUERY 2 ROLLBACK');
  assert.match(lines.at(-2) ?? '', /^ERROR ABORTED /);
  assert.is(lines.at(-1), 'READY I -');
});

test('a caller that has not started a session when the node stops is refused, and its connection ends', () => {
  const { session, lines, ended } = startSession();
  session.notifyStop();
  assert.match(lines.join(), /^ERROR BUSY .*retry after \d+ ms$/);
  assert.equal(ended, [true]);
});

test('a caller that waits for responses when its session is cut off receives TIMEOUT for each, and nothing after that', async () => {
  const { session, lines, ended } = startSession();
  const receive = (line: string) => session.receive(lineWire.decodeCallerMessage(line));
  receive('START orders u1');
  await new Promise((resolve) => setImmediate(resolve));
  receive('QUERY 1 READ key');
  receive('QUERY 2 READ key');
  session.cutOff();
  const linesAtCutOff = [...lines];
  assert.match(linesAtCutOff[1] ?? '', /^ERROR TIMEOUT /);
  assert.is(linesAtCutOff[2], 'READY I -');
  assert.match(linesAtCutOff[3] ?? '', /^ERROR TIMEOUT /);
  assert.is(linesAtCutOff[4], 'READY I -');
  await pause(ROUTE.timeoutMs * 2);
  assert.equal(lines, linesAtCutOff);
  assert.equal(ended, [true]);
});

test('a session start that is unanswered when the session is cut off is refused', async () => {
  const { session, lines, ended } = startSession();
  session.receive(lineWire.decodeCallerMessage('START orders u1'));
  session.cutOff();
  assert.match(lines[0] ?? '', /^ERROR BUSY /);
  await new Promise((resolve) => setImmediate(resolve));
  assert.is(lines.length, 1);
  assert.equal(ended, [true]);
});

test('an idle caller receives nothing when its session is cut off', async () => {
  const { session, lines, ended, send } = startSession();
  await send('START orders u1');
  session.cutOff();
  assert.equal(lines, ['READY I -']);
  assert.equal(ended, [true]);
});

test('an unknown database, or a statement before START, ends the session', async () => {
  const unknown = startSession();
  unknown.session.receive(lineWire.decodeCallerMessage('START other u1'));
  await new Promise((resolve) => setImmediate(resolve));
  assert.match(unknown.lines[0] ?? '', /^ERROR NODATABASE /);
  assert.equal(unknown.ended, [true]);
  const early = startSession();
  early.session.receive(lineWire.decodeCallerMessage('QUERY 1 READ key'));
  assert.match(early.lines[0] ?? '', /^ERROR MALFORMED /);
  assert.equal(early.ended, [true]);
});

test('a caller that pipelines too many messages is cut off, which bounds the memory', () => {
  const { session, lines, ended } = startSession();
  const message = lineWire.decodeCallerMessage('START orders u1');
  for (let count = 0; count < 100; count += 1) session.receive(message);
  assert.match(lines[0] ?? '', /^ERROR TOOLARGE /);
  assert.equal(ended, [true]);
});

test.run();
