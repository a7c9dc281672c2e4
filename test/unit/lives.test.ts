/**
 * An instance that restarts under its id has lost its earlier state, so nothing known of one incarnation applies to
 * another.
 */
import { errAsync, okAsync } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { incarnationIdOf, platformIdOf } from '../../platform/incarnation-ids.js';
import { lineWire } from '../../platform/line-wire.js';
import { isOtherIncarnation } from '../../src/core/promotion/incarnations.js';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';
import { Primaries } from '../../src/core/promotion/primaries.js';
import { parseInstanceEntry } from '../../src/core/promotion/records.js';
import { ReportedStates } from '../../src/core/promotion/reported-states.js';
import type { StoreView } from '../../src/core/promotion/store-view.js';
import type { InstanceControl, InstanceEntry, InstanceStatus } from '../../src/direct/contract.js';
import { classifyControlFailure } from '../../src/direct/instance-control.js';
import { rejectReplacedIncarnations } from '../../src/direct/promotion/incarnation-guard.js';

const FIRST: InstanceEntry = {
  ...{
    id: incarnationIdOf('i-1', 100),
    lifeOf: 'i-1',
    service: 'orders',
    host: '10.0.0.1',
    port: 80,
  },
  ...{ zone: 'a', slots: 3, draining: false, role: 'replica' },
};
const SECOND: InstanceEntry = { ...FIRST, id: incarnationIdOf('i-1', 200) };
const STATUS: InstanceStatus = {
  ...{ role: 'replica', term: 0, received: { timeline: 0, lsn: 0n }, heldTerm: 0 },
  ...{ lagMs: 0, busySlots: 0, connections: 0 },
};

function stateOf(term: number, timeline: number, lsn: bigint): InstanceStatus {
  return { ...STATUS, term, received: { timeline, lsn } };
}

test('two incarnations of one instance differ, and are not compared with those of another instance', () => {
  assert.ok(isOtherIncarnation(FIRST, SECOND));
  assert.not(isOtherIncarnation(FIRST, FIRST));
  assert.not(isOtherIncarnation(FIRST, { ...SECOND, lifeOf: 'i-2' }));
  assert.not(isOtherIncarnation({ id: 'a' }, { id: 'b' }), 'if incarnations are not known');
});

test('the platform receives its own ids', () => {
  assert.is(platformIdOf(FIRST.id), 'i-1');
  assert.is(platformIdOf(incarnationIdOf('i-1', undefined)), 'i-1');
  assert.is(lineWire.encodeStart('orders', FIRST.id), 'START orders meadowstack i-1\r\n');
});

test('an incarnation is replaced only once the store has a registration of another one', () => {
  const never = () => Number.NEGATIVE_INFINITY;
  const primaries = new Primaries({} as StoreView, DEFAULT_PROMOTION_TIMINGS, never);
  primaries.updateInstances([FIRST], 0);
  assert.not(primaries.hasNewIncarnation(FIRST));
  primaries.updateInstances([], 10);
  assert.not(primaries.hasNewIncarnation(FIRST), 'its registration may have expired');
  primaries.updateInstances([SECOND], 20);
  assert.ok(primaries.hasNewIncarnation(FIRST));
  assert.not(primaries.hasNewIncarnation(SECOND));
  const { lifeOf: _, ...withoutIncarnation } = FIRST;
  assert.not(primaries.hasNewIncarnation({ ...withoutIncarnation, id: 'i-1' }));
});

test('records and messages to peers contain the incarnation', () => {
  assert.equal(parseInstanceEntry(JSON.parse(JSON.stringify(FIRST))), FIRST);
  const { lifeOf: _, ...plain } = FIRST;
  assert.equal(parseInstanceEntry(plain), plain);
});

test('calls to a replaced incarnation are refused, whichever process responds under its id', async () => {
  const answer = () => okAsync(STATUS);
  const control: InstanceControl = {
    ...{ status: answer, pause: answer, resume: answer, demote: answer, close: () => {} },
  };
  const checked = rejectReplacedIncarnations(control, {
    isReplaced: ({ id }) => id === FIRST.id,
    reported: new ReportedStates(),
  });
  for (const call of [
    checked.status(FIRST, 100),
    checked.pause(FIRST, 4, 100),
    checked.resume(FIRST, 100),
    checked.demote(FIRST, 4, 100),
  ]) {
    const { error } = (await call.orElse((cause) => errAsync(cause))) as unknown as {
      error: Parameters<typeof classifyControlFailure>[0];
    };
    assert.is(classifyControlFailure(error), 'refused');
  }
  assert.equal((await checked.status(SECOND, 100))._unsafeUnwrap(), STATUS);
});

test('a response that is behind what the incarnation has reported is refused', async () => {
  const reported = new ReportedStates();
  let status = stateOf(3, 3, 40n);
  const answer = () => okAsync(status);
  const control: InstanceControl = {
    ...{ status: answer, pause: answer, resume: answer, demote: answer, close: () => {} },
  };
  const checked = rejectReplacedIncarnations(control, { isReplaced: () => false, reported });
  const isRefused = async (next: InstanceStatus): Promise<boolean> => {
    status = next;
    const failure = await checked.status(FIRST, 100).match(
      () => undefined,
      (cause) => classifyControlFailure(cause),
    );
    return failure === 'refused';
  };
  assert.not(await isRefused(stateOf(3, 3, 40n)));
  assert.ok(await isRefused(stateOf(3, 0, 0n)), 'an empty log in the same term');
  assert.ok(await isRefused(stateOf(0, 0, 0n)), 'an earlier term');
  assert.not(await isRefused(stateOf(3, 3, 41n)), 'the incarnation itself');
  assert.not(await isRefused(stateOf(4, 3, 35n)), 'rolled back by a later primary');
  assert.not(await isRefused(stateOf(4, 3, 30n)), 'entries of an earlier term may be rolled back');
  reported.recordPosition(FIRST, { timeline: 4, lsn: 50n });
  assert.ok(await isRefused(stateOf(4, 4, 49n)), 'behind the position of a statement');
  assert.not(await isRefused(stateOf(4, 4, 50n)));
  const { lifeOf: _, ...withoutIncarnation } = FIRST;
  reported.recordStatus(withoutIncarnation, stateOf(9, 9, 9n));
  assert.not(await isRefused(stateOf(4, 4, 51n)), 'an id without incarnations has one');
});

test('an answer counts by what was reported before its call', async () => {
  const reported = new ReportedStates();
  const answers = [stateOf(3, 3, 41n), stateOf(3, 3, 40n)].map((status) => okAsync(status));
  const answer = () => answers.pop() ?? okAsync(STATUS);
  const control: InstanceControl = {
    ...{ status: answer, pause: answer, resume: answer, demote: answer, close: () => {} },
  };
  const checked = rejectReplacedIncarnations(control, { isReplaced: () => false, reported });
  const earlier = checked.status(FIRST, 100);
  const later = checked.status(FIRST, 100);
  assert.ok((await later).isOk());
  assert.ok((await earlier).isOk(), 'a response that was overtaken');
});

test.run();
