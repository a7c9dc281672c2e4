import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ControlFailure } from '../../src/core/promotion/contract.js';
import { isMemberDead } from '../../src/core/promotion/members.js';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';

const { memberDeadAfterMs } = DEFAULT_PROMOTION_TIMINGS;

function isDead(answer: ControlFailure, silentForMs: number): boolean {
  return isMemberDead(answer, silentForMs, DEFAULT_PROMOTION_TIMINGS);
}

test('a silent member without an entry may serve on, and is waited for', () => {
  assert.not(isDead('silent', memberDeadAfterMs - 1));
  assert.ok(isDead('silent', memberDeadAfterMs));
});

test('where nothing listens nobody lives; one that answers does', () => {
  assert.ok(isDead('refused', 0));
  assert.not(isDead('busy', memberDeadAfterMs));
});

test.run();
