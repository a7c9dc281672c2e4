import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { InstanceHealth } from '../../../src/direct/instance-health.js';

test('a refusal for lack of slots lowers the start rate, and a served statement raises it', () => {
  const health = new InstanceHealth({ now: () => 1000 });
  health.nodeCount = 10;
  health.recordOutcome('busy');
  const { intervalMs } = health.pace;
  assert.ok(intervalMs > 0);
  health.recordOutcome(undefined);
  assert.ok(health.pace.intervalMs < intervalMs);
});

test('other refusals do not change the start rate', () => {
  const health = new InstanceHealth({ now: () => 1000 });
  health.recordOutcome('lagging', 3);
  assert.is(health.pace.intervalMs, 0);
});

test('only served statements with a usual response time count towards the expected response time', () => {
  const health = new InstanceHealth({ now: () => 1000 });
  const { answerMs } = health;
  health.recordOutcome('failed', 9000);
  health.recordOutcome(undefined);
  assert.is(health.answerMs, answerMs);
  health.recordOutcome(undefined, answerMs * 2);
  assert.ok(health.answerMs > answerMs);
});

test.run();
