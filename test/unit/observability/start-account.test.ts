/** Reconstructs a fleet's last start from its nodes' log lines. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { readLog } from '../../../src/observability/log-reader.js';
import { accountOfStart } from '../../../src/observability/start-account.js';

const START_MS = Date.parse('2026-06-15T17:52:48.000Z');

function line(node: string, ms: number, event: string, fields: object = {}): string {
  const time = new Date(START_MS + ms).toISOString();
  return JSON.stringify({ node, ...fields, time, level: 'info', event });
}

function account(lines: readonly string[]) {
  return accountOfStart(readLog(lines.join('\n')).lines);
}

test('each step is listed with the number of nodes that reached it, their median time and the last node', () => {
  const found = account([
    ...[1, 2, 3].map((n) => line(`n-${n}`, n, 'starting')),
    line('n-1', 20, 'start step', { step: 'configuration', atMs: 19 }),
    line('n-2', 40, 'start step', { step: 'configuration', atMs: 38 }),
    line('n-3', 90, 'start step', { step: 'configuration', atMs: 87 }),
    line('n-2', 60, 'start step', { step: 'ready', atMs: 58 }),
  ]);
  assert.equal([found?.nodes, found?.startedAt], [3, new Date(START_MS + 1).toISOString()]);
  assert.equal(found?.steps, [
    { step: 'configuration', nodes: 3, medianMs: 39, lastMs: 89, lastNode: 'n-3' },
    { step: 'ready', nodes: 1, medianMs: 59, lastMs: 59, lastNode: 'n-2' },
  ]);
});

test('only the last start of each node counts, and nodes that were not restarted are omitted', () => {
  const found = account([
    line('n-1', -30_000, 'starting'),
    line('n-2', -30_000, 'starting'),
    line('n-1', -29_900, 'start step', { step: 'ready', atMs: 100 }),
    line('n-2', -29_900, 'start step', { step: 'ready', atMs: 100 }),
    line('n-1', 0, 'starting'),
    line('n-1', 200, 'start step', { step: 'ready', atMs: 200 }),
  ]);
  const ready = { step: 'ready', nodes: 1, medianMs: 200, lastMs: 200, lastNode: 'n-1' };
  assert.equal([found?.nodes, found?.steps], [1, [ready]]);
});

test('refusals of the first four seconds are counted by their text, including omitted lines', () => {
  const busy = (ms: number, text: string, alikeLeftOut?: number) =>
    line('n-1', ms, 'request ended', { outcome: 'busy', text, alikeLeftOut });
  const found = account([
    line('n-1', 0, 'starting'),
    busy(100, 'no connection'),
    busy(150, 'retry after 20 ms'),
    busy(200, 'retry after 31 ms', 4),
    line('n-1', 210, 'request ended', { outcome: 'done' }),
    busy(4000, 'no connection'),
  ]);
  assert.equal(found?.refusals, [
    { outcome: 'busy', text: 'retry after N ms', count: 6 },
    { outcome: 'busy', text: 'no connection', count: 1 },
  ]);
});

test('lines without a start give no account', () => {
  assert.is(account([line('n-1', 0, 'start step', { step: 'ready' })]), undefined);
});

test.run();
