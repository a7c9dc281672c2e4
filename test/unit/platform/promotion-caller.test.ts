import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { HttpPromotionCaller } from '../../../platform/promotion-caller.js';
import { type ScriptedResponse, startScriptedServer } from '../../support/scripted-http-server.js';

/** Timeout where no response comes. */
const SHORT_TIMEOUT_MS = 60;
/** Timeout where a response comes, long enough for a busy machine. */
const LONG_TIMEOUT_MS = 30_000;

test('the call contains holder and fencing token, and its responses are distinguished', async () => {
  const cases: [ScriptedResponse, string][] = [
    [{ status: 200 }, 'accepted'],
    [{ status: 409 }, 'refused'],
    [{ status: 429 }, 'busy'],
    [{ status: 503 }, 'busy'],
    [{ status: 500 }, 'unknown'],
    ['silent', 'unknown'],
    ['cut', 'unknown'],
  ];
  const server = await startScriptedServer((_request, earlier) => cases[earlier]?.[0] ?? 'cut');
  const { endpoint } = server;
  const callerOf = (timeoutMs: number) =>
    new HttpPromotionCaller({
      endpoint,
      clientName: 'test',
      timeoutMs,
      connectTimeoutMs: LONG_TIMEOUT_MS,
    });
  for (const [answer, outcome] of cases) {
    const caller = callerOf(answer === 'silent' ? SHORT_TIMEOUT_MS : LONG_TIMEOUT_MS);
    assert.is(await caller.promote('db-1', 'i-7', 'node-1', 12), outcome);
  }
  const [first] = server.requests;
  assert.is(`${first?.method} ${first?.path}`, 'POST /promotion');
  assert.equal(first?.body, { service: 'db-1', id: 'i-7' });
  assert.is(first?.headers['meadowstack-duty-holder'], 'node-1');
  assert.is(first?.headers['meadowstack-fencing-token'], '12');
  await server.close();
  const late = await callerOf(LONG_TIMEOUT_MS).promote('db-1', 'i-7', 'node-1', 12);
  assert.is(late, 'busy', 'no connection, not done');
});

test.run();
