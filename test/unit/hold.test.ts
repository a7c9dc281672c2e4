/** What a hold of replicas reports about them. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ControlFailure } from '../../src/core/promotion/contract.js';
import { GroupHold } from '../../src/core/promotion/hold.js';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';
import { PromotionRuntime } from '../../src/core/promotion/runtime.js';
import type { InstanceEntry, InstanceStatus } from '../../src/direct/contract.js';

const NOW = 50_000;
const REPLICA: InstanceEntry = {
  ...{ id: 'r@1', lifeOf: 'r', service: 'orders', host: '10.0.0.1', port: 1, zone: 'a' },
  ...{ slots: 3, draining: false, role: 'replica' },
};

function statusOf(connectedSince: number | undefined): InstanceStatus {
  const received = { timeline: 1, lsn: 9n };
  const rest = { heldTerm: 2, lagMs: 0, busySlots: 0, connections: 0 };
  return { role: 'replica', term: 1, received, ...rest, connectedSince };
}

function startHold(isConfirmed: (since: number) => boolean = () => true) {
  const runtime = new PromotionRuntime({
    ...{ nodeName: 'n', incarnation: 'n-1', timings: DEFAULT_PROMOTION_TIMINGS, random: () => 0 },
  });
  const hold = new GroupHold(runtime, {
    ...{ oldPrimary: undefined, replicas: [REPLICA], term: 1, isPresent: () => true },
    ...{ mayAct: () => true, onResponse: () => {} },
    isConfirmed: (_entry, respondingSince) => isConfirmed(respondingSince),
  });
  runtime.now = NOW;
  hold.start();
  return { runtime, hold };
}

/** Since when the replica counts as responding, after pauses with these responses. */
function respondingSince(...responses: readonly InstanceStatus[]): number | undefined {
  let since: number | undefined;
  const { runtime, hold } = startHold((respondingSince) => {
    since = respondingSince;
    return false;
  });
  for (const status of responses) {
    for (const effect of runtime.takeEffects()) {
      if (effect.type === 'request') runtime.handleAnswer(effect.id, { type: 'status', status });
    }
    runtime.now += DEFAULT_PROMOTION_TIMINGS.holdRetryPeriodMs;
    runtime.timers.runDue(runtime.now);
  }
  hold.observationOf(REPLICA.id);
  return since;
}

test('a response on a connection opened for it shows an instance that responds from now on', () => {
  assert.is(respondingSince(statusOf(undefined), statusOf(undefined)), NOW);
});

/** Otherwise the proof of a candidate waits for its registration although the connection shows which incarnation it is. */
test('a response on an earlier connection shows the instance that it was opened to', () => {
  const since = NOW - 20_000;
  assert.is(respondingSince(statusOf(since)), since);
  assert.is(respondingSince(statusOf(undefined), statusOf(since)), since);
});

/** Whether the replica counts as unresponsive after a call that failed like this. */
function isUnresponsiveAfter(failure: ControlFailure): boolean {
  const { runtime, hold } = startHold();
  for (const effect of runtime.takeEffects()) {
    if (effect.type !== 'request') continue;
    runtime.handleAnswer(effect.id, { type: 'control-failed', failure });
  }
  return hold.isUnresponsive(REPLICA.id);
}

/** Otherwise a departed member that is back and busy is left out, and its commits are lost at the promotion of another. */
test('a member that responds that it is busy, or that it did not carry out the call, is not unresponsive', () => {
  assert.not(isUnresponsiveAfter('busy'));
  assert.not(isUnresponsiveAfter('rejected'));
  assert.ok(isUnresponsiveAfter('refused'));
  assert.ok(isUnresponsiveAfter('silent'));
});

test.run();
