import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { MAX_PRIMARIES_WAIT_MS, StartReadiness } from '../../src/core/directory/start-readiness.js';

const EMPTY = { hasDirectory: false, hasPrimaries: false };
const WITHOUT_PRIMARIES = { hasDirectory: true, hasPrimaries: false };
const WHOLE = { hasDirectory: true, hasPrimaries: true };

test('a node that knows no primary yet is not ready', () => {
  const readiness = new StartReadiness();
  assert.not(readiness.isReady(0, EMPTY));
  assert.not(readiness.isReady(10, WITHOUT_PRIMARIES));
  assert.ok(readiness.isReady(20, WHOLE));
});

test('a node that was ready stays ready while a primary is absent', () => {
  const readiness = new StartReadiness();
  readiness.isReady(0, WHOLE);
  assert.ok(readiness.isReady(10, WITHOUT_PRIMARIES));
});

test('a service without a primary delays readiness for a limited time', () => {
  const readiness = new StartReadiness();
  assert.not(readiness.isReady(5, WITHOUT_PRIMARIES));
  assert.not(readiness.isReady(5 + MAX_PRIMARIES_WAIT_MS - 1, WITHOUT_PRIMARIES));
  assert.ok(readiness.isReady(5 + MAX_PRIMARIES_WAIT_MS, WITHOUT_PRIMARIES));
});

test('the limited time starts when routes and instances are known', () => {
  const readiness = new StartReadiness();
  readiness.isReady(0, EMPTY);
  assert.not(readiness.isReady(MAX_PRIMARIES_WAIT_MS, WITHOUT_PRIMARIES));
});

test.run();
