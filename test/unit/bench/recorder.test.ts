import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkHistory } from '../../../bench/checkers/index.js';
import { EMPTY_HISTORY } from '../../../bench/history/model.js';
import { nowMs } from '../../../bench/load/clock.js';
import { RunRecorder } from '../../../bench/recorders/run-recorder.js';

test('a proxy serves from its start until it is stopped, and again once replaced', () => {
  const recorder = new RunRecorder();
  recorder.recordProxyStart('a');
  recorder.recordProxyStart('b');
  recorder.recordProxySample({ proxy: 'a', at: 1, configurationRevision: 3, relay: true });
  assert.equal(recorder.servingProxies, ['a', 'b']);
  assert.equal(recorder.relayProxies, ['a']);
  recorder.recordProxyStop('a');
  assert.equal(recorder.servingProxies, ['b']);
  assert.equal(recorder.relayProxies, []);
  recorder.recordProxyStart('a');
  assert.equal(recorder.servingProxies, ['b', 'a']);
  const lives = recorder.toHistory().proxyLives.map(({ proxy, servingUntil }) => {
    return [proxy, servingUntil === undefined];
  });
  assert.equal(lives, [
    ['a', false],
    ['b', true],
    ['a', true],
  ]);
});

test('recorded events have the form that the checkers of promises 7 to 9 expect', () => {
  const recorder = new RunRecorder();
  const visibleAt = nowMs() - 20_000;
  const markOff = recorder.recordLeavingMark('db-1', visibleAt);
  assert.equal(recorder.leavingInstances, ['db-1']);
  recorder.recordWork({ instance: 'db-1', startedAt: visibleAt + 10_000 });
  markOff();
  assert.equal(recorder.leavingInstances, []);
  recorder.recordPlannedStop({ proxy: 'a', requestedAt: 1, exitedAt: 2, exitCode: 1 });
  recorder.recordProxySample({ proxy: 'a', at: 5, configurationRevision: 7, relay: false });
  recorder.recordProxySample({ proxy: 'a', at: 6, configurationRevision: 6, relay: false });
  const violations = checkHistory({ ...EMPTY_HISTORY, ...recorder.toHistory(), endedAt: nowMs() });
  assert.equal(
    violations.map(({ reason }) => reason),
    ['work-after-leaving', 'stop-failed', 'configuration-reverted'],
  );
});

test.run();
