/** Explains a request and the cause of its outcome from log lines. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { explain } from '../../../src/observability/explanation.js';
import { type LogLine, readLog } from '../../../src/observability/log-reader.js';

const ARRIVAL_MS = Date.parse('2026-12-02T12:00:00.000Z');

/** A node's log line, `atMs` after the request's arrival. */
function line(atMs: number, event: string, fields: object, node = 'node-1'): string {
  const time = new Date(ARRIVAL_MS + atMs).toISOString();
  return JSON.stringify({ node, ...fields, time, level: 'info', event });
}

function ended(tookMs: number, outcome: string, text = ''): string {
  const about = { request: 'r1', database: 'orders', service: 'ledger', outcome, text, tookMs };
  return line(tookMs, 'request ended', about);
}

function decided(atMs: number, step: string, fields: object = {}): string {
  return line(atMs, 'request decided', { request: 'r1', step, atMs, ...fields });
}

function linesOf(...texts: string[]): readonly LogLine[] {
  return readLog(texts.join('\n')).lines;
}

function causeOf(...texts: string[]): string | undefined {
  return explain('r1', linesOf(...texts))?.cause;
}

test('a request without log lines is not explained', () => {
  assert.is(explain('r1', linesOf(line(0, 'starting', {}))), undefined);
  assert.is(explain('r2', linesOf(ended(3, 'busy'))), undefined);
});

test('lines that are not log lines are counted, and the prefix of a log collector is skipped', () => {
  const { lines, unreadable } = readLog(
    `12:00 node ${ended(3, 'busy')}\nnode: out of memory\n{"a"`,
  );
  assert.is(lines.length, 1);
  assert.is(unreadable, 2);
});

test('a refusal while a primary is replaced names the change', () => {
  const cause = causeOf(
    line(-30, 'primary to be replaced', { service: 'ledger', from: 'i-1', reason: 'dead' }, 'lead'),
    decided(1, 'no-instance', { primary: 'i-1', isTrusted: false, isChanging: true }),
    ended(30, 'busy', 'no primary'),
  );
  assert.match(
    cause ?? '',
    'its primary was being replaced; primary to be replaced (dead i-1) at -30',
  );
});

test('changes of other services are not reported as the cause', () => {
  const cause = causeOf(
    line(-30, 'primary to be replaced', { service: 'other', from: 'i-9', reason: 'dead' }, 'lead'),
    decided(1, 'no-instance', { primary: 'i-1', isTrusted: false, isChanging: true }),
    ended(30, 'busy', 'no primary'),
  );
  assert.is(cause, 'its primary was being replaced');
});

test('the explanation of an untrusted primary names the outage of the store', () => {
  const cause = causeOf(
    line(-900, 'belief changed', { belief: 'store', now: 'out of touch', before: 'current' }),
    decided(1, 'no-instance', { primary: 'i-1', isTrusted: false, isChanging: false }),
    ended(200, 'busy'),
  );
  assert.match(
    cause ?? '',
    'primary i-1 could not be relied on: the store was out of touch since -900',
  );
});

test('each way of losing a response has its own explanation', () => {
  const sent = decided(2, 'sent', { instance: 'i-1', through: 'owner' });
  const lost = (fault: string) => decided(60, 'unanswered', { instance: 'i-1', fault });
  const causes = ['silence', 'instance', 'owner'].map((fault) =>
    causeOf(sent, lost(fault), ended(60, 'in-doubt')),
  );
  assert.is(new Set(causes).size, 3);
  assert.match(causes[0] ?? '', 'i-1 did not answer');
  assert.match(causes[2] ?? '', 'the node that lends connections to i-1 was lost');
});

test('an unconfirmed commit is explained by the replacement of its primary', () => {
  const cause = causeOf(
    decided(2, 'sent', { instance: 'i-1' }),
    decided(9, 'answered', { instance: 'i-1' }),
    decided(20, 'commit-confirmed', { verdict: 'deposed' }),
    ended(20, 'in-doubt'),
  );
  assert.match(cause ?? '', 'another primary led');
});

test('the explanation of a late response names the steps between which most of its time passed', () => {
  const cause = causeOf(
    decided(0, 'chosen', { instance: 'i-2' }),
    decided(240, 'sent', { instance: 'i-2', through: 'own' }),
    decided(250, 'answered', { instance: 'i-2' }),
    ended(250, 'late'),
  );
  assert.is(cause, '240 of 250 ms passed between chosen i-2 and sent i-2');
});

test('a request that was not sent is explained by the missing connection or the spent retry budget', () => {
  const notSent = decided(90, 'not-sent', { instance: 'i-2', reason: 'no connection' });
  assert.match(causeOf(notSent, ended(90, 'busy')) ?? '', 'i-2 was not sent it: no connection');
  const spent = decided(91, 'budget-spent', { attempts: 3 });
  assert.match(causeOf(notSent, spent, ended(91, 'busy')) ?? '', 'budget of repeated attempts');
});

test('the beliefs of the node about the service are listed, before the request and as they changed during it', () => {
  const belief = (atMs: number, service: string, now: string, node?: string) =>
    line(atMs, 'belief changed', { belief: 'primary', service, now }, node);
  const explanation = explain(
    'r1',
    linesOf(
      belief(-50_000, 'ledger', 'i-1'),
      belief(-200, 'ledger', 'none'),
      belief(-100, 'other', 'i-9'),
      belief(-100, 'ledger', 'i-7', 'node-2'),
      belief(40, 'ledger', 'i-2'),
      belief(400, 'ledger', 'i-3'),
      ended(90, 'done'),
    ),
  );
  const beliefs = explanation?.beliefs.map(({ now, atMs }) => `${now} ${atMs}`);
  assert.equal(beliefs, ['none -200', 'i-2 40']);
});

test('a node whose clock differs is named', () => {
  const inForce = (atMs: number, node: string) =>
    line(atMs, 'configuration in force', { version: 7 }, node);
  const explanation = explain(
    'r1',
    linesOf(
      inForce(-500, 'node-1'),
      inForce(-480, 'node-2'),
      inForce(2500, 'node-3'),
      ended(9, 'done'),
    ),
  );
  assert.equal(explanation?.skews, { 'node-3': 3000 });
});

test.run();
