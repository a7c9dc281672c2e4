/** Hand-over of a group: both owners' sides and the gateway's. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { GroupRoutes } from '../../src/core/ownership/group-routes.js';
import { DEFAULT_HAND_OVER_OPTIONS, OwnerHandOver } from '../../src/core/ownership/hand-over.js';
import type { OwnersChange } from '../../src/core/ownership/owner-index.js';

const GROUP = 'orders';
const START: OwnersChange = { group: GROUP, previous: [], owners: ['a', 'b'] };
const MOVE: OwnersChange = { group: GROUP, previous: ['a', 'b'], owners: ['a', 'c'] };
const { retireTimeoutMs, warmTimeoutMs } = DEFAULT_HAND_OVER_OPTIONS;

function typesOf(effects: readonly { readonly type: string }[]): string[] {
  return effects.map((effect) => effect.type);
}

test('the first owners of a group serve it at once', () => {
  const owner = new OwnerHandOver('a');
  assert.equal(typesOf(owner.handle({ type: 'owners-changed', change: START }, 0)), [
    'warm',
    'serve',
  ]);
  assert.is(owner.phaseOf(GROUP), 'serving');
});

test('a new owner warms up, serves and announces it; the former owner serves until then', () => {
  const former = new OwnerHandOver('b');
  const next = new OwnerHandOver('c');
  former.handle({ type: 'owners-changed', change: START }, 0);
  assert.equal(former.handle({ type: 'owners-changed', change: MOVE }, 10), []);
  assert.is(former.phaseOf(GROUP), 'retiring');
  assert.equal(typesOf(next.handle({ type: 'owners-changed', change: MOVE }, 10)), ['warm']);
  const effects = next.handle({ type: 'warmed', group: GROUP }, 20);
  assert.equal(effects, [
    { type: 'serve', group: GROUP },
    { type: 'announce-serving', group: GROUP, to: ['a', 'b'] },
  ]);
  const retiring = former.handle({ type: 'serving-announced', group: GROUP, from: 'c' }, 30);
  assert.equal(retiring, [
    { type: 'redirect', group: GROUP, owners: ['a', 'c'] },
    { type: 'retire', group: GROUP },
  ]);
  assert.is(former.phaseOf(GROUP), 'none');
});

test('the hand-over ends at its deadlines if no message arrives', () => {
  const former = new OwnerHandOver('b');
  const next = new OwnerHandOver('c');
  former.handle({ type: 'owners-changed', change: START }, 0);
  former.handle({ type: 'owners-changed', change: MOVE }, 0);
  next.handle({ type: 'owners-changed', change: MOVE }, 0);
  assert.is(next.nextDeadline(), warmTimeoutMs);
  assert.equal(next.handle({ type: 'tick' }, warmTimeoutMs - 1), []);
  assert.equal(typesOf(next.handle({ type: 'tick' }, warmTimeoutMs)), [
    'serve',
    'announce-serving',
  ]);
  assert.is(former.nextDeadline(), retireTimeoutMs);
  assert.equal(typesOf(former.handle({ type: 'tick' }, retireTimeoutMs)), ['redirect', 'retire']);
});

test('an owner that gets the group back while retiring continues to serve', () => {
  const owner = new OwnerHandOver('b');
  owner.handle({ type: 'owners-changed', change: START }, 0);
  owner.handle({ type: 'owners-changed', change: MOVE }, 0);
  const back = { group: GROUP, previous: ['a', 'c'], owners: ['a', 'b'] };
  assert.equal(typesOf(owner.handle({ type: 'owners-changed', change: back }, 1)), ['serve']);
  assert.equal(owner.handle({ type: 'tick' }, retireTimeoutMs * 2), []);
});

test('a successor that dies is not waited for', () => {
  const owner = new OwnerHandOver('b');
  owner.handle({ type: 'owners-changed', change: START }, 0);
  owner.handle({ type: 'owners-changed', change: MOVE }, 0);
  const effects = owner.handle({ type: 'member-gone', nodeId: 'c' }, 1);
  assert.equal(typesOf(effects), ['redirect', 'retire']);
});

test('a gateway first uses an owner that stays, and a new one after the redirect', () => {
  const routes = new GroupRoutes(1000, () => true);
  routes.handleOwnersChanged(START, 0);
  assert.equal(routes.routeOf(GROUP, 0), ['a', 'b']);
  routes.handleOwnersChanged({ group: GROUP, previous: ['a', 'b'], owners: ['c', 'a'] }, 5000);
  assert.equal(routes.routeOf(GROUP, 5001), ['a', 'c']);
  routes.handleRedirect(GROUP);
  assert.equal(routes.routeOf(GROUP, 5002), ['c', 'a']);
});

test('if no owner stays a gateway uses live former owners for a limited time', () => {
  const dead = new Set<string>();
  const routes = new GroupRoutes(1000, (nodeId) => !dead.has(nodeId));
  routes.handleOwnersChanged(START, 0);
  routes.handleOwnersChanged({ group: GROUP, previous: ['a', 'b'], owners: ['c', 'd'] }, 5000);
  assert.equal(routes.routeOf(GROUP, 5500), ['a', 'b', 'c', 'd']);
  dead.add('a');
  assert.equal(routes.routeOf(GROUP, 5500), ['b', 'c', 'd']);
  assert.equal(routes.routeOf(GROUP, 6000), ['c', 'd']);
});

test.run();
