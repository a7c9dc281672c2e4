/** Replicas that lacked a position are skipped for a while, and statements pause longer after each refusal. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Position } from '../../src/core/position.js';
import { statementRetryPause } from '../../src/core/retry/statement-pause.js';
import { LaggingReplicas } from '../../src/core/statements/lagging-replicas.js';

const at = (lsn: bigint): Position => ({ timeline: 1, lsn });

test('a replica that lacked a position is skipped for this and later positions, and not for earlier ones', () => {
  const lag = new LaggingReplicas();
  assert.not(lag.isLikelyBehind('r', at(10n), 0));
  lag.recordLagging('r', at(10n), 0);
  assert.ok(lag.isLikelyBehind('r', at(10n), 19));
  assert.ok(lag.isLikelyBehind('r', at(11n), 19));
  assert.not(lag.isLikelyBehind('r', at(9n), 19));
  assert.not(lag.isLikelyBehind('r', undefined, 19));
  assert.not(lag.isLikelyBehind('other', at(10n), 19));
  assert.not(lag.isLikelyBehind('r', at(10n), 20));
});

test('a replica is skipped for longer each time that it lacks a position, and concurrent refusals count once', () => {
  const lag = new LaggingReplicas();
  const skipTimes: number[] = [];
  let now = 0;
  for (let round = 0; round < 7; round += 1) {
    lag.recordLagging('r', at(10n), now);
    lag.recordLagging('r', at(10n), now);
    const startedAt = now;
    while (lag.isLikelyBehind('r', at(10n), now)) now += 1;
    skipTimes.push(now - startedAt);
  }
  assert.equal(skipTimes, [20, 40, 80, 160, 320, 320, 320]);
  lag.recordServed('r');
  lag.recordLagging('r', at(12n), now);
  assert.not(lag.isLikelyBehind('r', at(12n), now + 20));
});

test('a statement pauses longer with each refusal, up to a fraction of its latency target', () => {
  const pauses = [0, 1, 2, 3, 4, 5, 9].map((refusals) => statementRetryPause(refusals, 400, 0.5));
  assert.equal(pauses, [15, 15, 30, 60, 100, 100, 100]);
  assert.is(statementRetryPause(9, 150, 0.5), 37.5);
  assert.is(statementRetryPause(9, 5000, 0.5), 120);
  assert.is(statementRetryPause(9, 10, 0.5), 15);
  assert.equal([statementRetryPause(1, 400, 0), statementRetryPause(1, 400, 0.75)], [7.5, 18.75]);
});

test.run();
