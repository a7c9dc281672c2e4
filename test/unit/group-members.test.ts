import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { isMemberDead } from '../../src/core/promotion/members.js';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';

const { leaverSilentMs, memberSilentMs } = DEFAULT_PROMOTION_TIMINGS;

function isDead(answer: 'refused' | 'silent' | 'busy', silentForMs: number, draining: boolean) {
  return isMemberDead(answer, { silentForMs, draining }, DEFAULT_PROMOTION_TIMINGS);
}

test('a member that had said it leaves is dead soon after its entry went, if it is silent', () => {
  assert.not(isDead('silent', leaverSilentMs - 1, true));
  assert.ok(isDead('silent', leaverSilentMs, true));
});

test('one that never said so may serve on without an entry, and is waited for longer', () => {
  assert.not(isDead('silent', leaverSilentMs, false));
  assert.not(isDead('silent', memberSilentMs - 1, false));
  assert.ok(isDead('silent', memberSilentMs, false));
});

test('where nothing listens nobody lives; one that answers does', () => {
  assert.ok(isDead('refused', 0, false));
  assert.not(isDead('busy', memberSilentMs, true));
});

test.run();
