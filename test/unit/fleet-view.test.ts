/** The view of the fleet is cached between changes, and each change invalidates it. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Member, MemberStatus } from '../../src/core/membership/member.js';
import { FleetView, UNCONFIRMED_NODE_GRACE_MS } from '../../src/node/fleet-view.js';
import type { ProxyMachine } from '../../src/platform/contract.js';

const SELF = { nodeId: 'self', zone: 'a', host: '127.0.0.1', peerPort: 1 };

function memberOf(nodeId: string, status: MemberStatus): Member {
  const place = { zone: 'a', host: '127.0.0.1', peerPort: 2 };
  return { nodeId, incarnation: 1, status, configurationRevision: 0, ...place };
}

function proxyOf(name: string, state: 'live' | 'leaving' = 'live'): ProxyMachine {
  return { role: 'proxy', name, zone: 'a', host: '127.0.0.1', peerPort: 2, state };
}

function viewOf(members: Map<string, Member>, now: () => number = () => 0): FleetView {
  return new FleetView({
    self: SELF,
    memberOf: (nodeId) => members.get(nodeId),
    members: () => [...members.values()],
    now,
  });
}

function liveIds(view: FleetView): string[] {
  return view
    .liveNodes()
    .map(({ nodeId }) => nodeId)
    .sort();
}

test('live nodes are computed once, and again after every kind of change', () => {
  const members = new Map([['other', memberOf('other', 'alive')]]);
  const view = viewOf(members);
  assert.equal(liveIds(view), ['other', 'self']);
  assert.is(view.liveNodes(), view.liveNodes());
  members.set('other', memberOf('other', 'dead'));
  view.membersChanged();
  assert.equal(liveIds(view), ['self']);
  view.setMachines([proxyOf('self'), proxyOf('listed')]);
  assert.equal(liveIds(view), ['listed', 'self']);
  view.setSelfLeaving();
  assert.equal(liveIds(view), ['listed']);
});

test('home nodes stay the same array until the machine list changes, and keep nodes that left the list', () => {
  const view = viewOf(new Map());
  view.setMachines([proxyOf('one'), proxyOf('two')]);
  const before = view.homeNodes();
  assert.is(view.homeNodes(), before);
  view.setMachines([proxyOf('one')]);
  assert.is.not(view.homeNodes(), before);
  assert.equal(
    view.homeNodes().map(({ nodeId }) => nodeId),
    ['one', 'two', 'self'],
  );
});

test('a listed node that never reports counts as live only for the grace period', () => {
  let now = 1000;
  const members = new Map<string, Member>();
  const view = viewOf(members, () => now);
  view.setMachines([proxyOf('self'), proxyOf('silent'), proxyOf('heard')]);
  assert.equal(liveIds(view), ['heard', 'self', 'silent']);
  members.set('heard', memberOf('heard', 'alive'));
  view.membersChanged();
  assert.equal(liveIds(view), ['heard', 'self', 'silent']);
  now += UNCONFIRMED_NODE_GRACE_MS - 1;
  assert.is(view.dropUnconfirmedNodes(), false);
  // Another list does not restart the grace period.
  view.setMachines([proxyOf('self'), proxyOf('silent'), proxyOf('heard')]);
  assert.equal(liveIds(view), ['heard', 'self', 'silent']);
  now += 1;
  assert.is(view.dropUnconfirmedNodes(), true);
  assert.equal(liveIds(view), ['heard', 'self']);
  assert.is(view.dropUnconfirmedNodes(), false, 'nothing more to drop');
});

test('an unresponsive node that reports at last is live again', () => {
  let now = 0;
  const members = new Map<string, Member>();
  const view = viewOf(members, () => now);
  view.setMachines([proxyOf('late')]);
  now = UNCONFIRMED_NODE_GRACE_MS;
  assert.equal(liveIds(view), ['self']);
  members.set('late', memberOf('late', 'alive'));
  view.membersChanged();
  assert.equal(liveIds(view), ['late', 'self']);
});

test('a node that died long ago and was removed does not become live through the machine list', () => {
  let now = 0;
  const members = new Map([['gone', memberOf('gone', 'dead')]]);
  const view = viewOf(members, () => now);
  view.setMachines([proxyOf('self'), proxyOf('gone')]);
  now = 60 * UNCONFIRMED_NODE_GRACE_MS;
  members.clear();
  view.membersChanged();
  assert.equal(liveIds(view), ['self']);
});

test.run();
