import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { InstanceHealth } from '../../../src/direct/instance-health.js';

test('a refusal for want of slots slows the pace, and a served statement speeds it up', () => {
  const health = new InstanceHealth({ now: () => 1000 });
  health.nodeCount = 10;
  health.recordOutcome('busy');
  const { intervalMs } = health.pace;
  assert.ok(intervalMs > 0);
  health.recordOutcome(undefined);
  assert.ok(health.pace.intervalMs < intervalMs);
});

test('other refusals say nothing of the slots', () => {
  const health = new InstanceHealth({ now: () => 1000 });
  health.recordOutcome('lagging', 3);
  assert.is(health.pace.intervalMs, 0);
});

test('only what was served, and took its usual time, counts for how long an answer takes', () => {
  const health = new InstanceHealth({ now: () => 1000 });
  const { answerMs } = health;
  health.recordOutcome('failed', 9000);
  health.recordOutcome(undefined);
  assert.is(health.answerMs, answerMs);
  health.recordOutcome(undefined, answerMs * 2);
  assert.ok(health.answerMs > answerMs);
});

test.run();
