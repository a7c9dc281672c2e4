import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ControlFailure } from '../../src/core/promotion/contract.js';
import { isMemberDead } from '../../src/core/promotion/members.js';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';

const { memberDeadAfterMs } = DEFAULT_PROMOTION_TIMINGS;

function isDead(answer: ControlFailure, silentForMs: number): boolean {
  return isMemberDead(answer, silentForMs, DEFAULT_PROMOTION_TIMINGS);
}

test('a silent member without a registration may still serve, and is considered dead only after a timeout', () => {
  assert.not(isDead('silent', memberDeadAfterMs - 1));
  assert.ok(isDead('silent', memberDeadAfterMs));
});

test('a member at whose address nothing listens is dead; one that responds is not', () => {
  assert.ok(isDead('refused', 0));
  assert.not(isDead('busy', memberDeadAfterMs));
});

test.run();
