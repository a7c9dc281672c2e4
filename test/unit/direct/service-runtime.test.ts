/** Use of instances that a peer or the store reported, connection limits under owners, and primary changes. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire } from '../../../platform/line-wire.js';
import type { OwnerRoster } from '../../../src/core/ownership/owner-roster.js';
import { AnnouncedPrimaryView } from '../../../src/direct/announced-primary-view.js';
import type { InstanceEntry } from '../../../src/direct/contract.js';
import type { OwnershipView } from '../../../src/direct/relay/contract.js';
import { ServiceRuntime } from '../../../src/direct/service-runtime.js';

const DRAIN_MS = 7000;

function entry(id: string, draining = false): InstanceEntry {
  const place = { service: 'orders', host: '10.0.0.1', port: 80, zone: 'a', slots: 3 };
  return { id, ...place, draining, role: 'replica' };
}

interface World {
  now: number;
  /** Time since which the store has been healthy. */
  healthySince: number | undefined;
  readonly ownership: OwnershipView;
}

function setUp(start: { readonly startedAt?: number; readonly isFirstStart?: boolean } = {}) {
  const ownership: OwnershipView = { roster: undefined, ownershipOf: () => undefined };
  const world: World = { now: 0, healthySince: undefined, ownership };
  const counters = {
    connectionsOpened: 0,
    connectFailures: 0,
    waitTimeouts: 0,
    queueRefusals: 0,
    turnRefusals: 0,
    untriedRefusals: 0,
  };
  const view = new AnnouncedPrimaryView();
  const service = new ServiceRuntime('orders', {
    zone: 'a',
    nodeCount: 1,
    ownership,
    drainTimeoutMs: DRAIN_MS,
    view,
    registrationsHealthySince: () => world.healthySince,
    ...start,
    now: () => world.now,
    pool: {
      ...{ wire: lineWire, connectTimeoutMs: 1, reconnectDelayMs: 1, counters },
      ...{ now: () => world.now, random: () => 0 },
    },
  });
  const usable = (): string[] =>
    service
      .members()
      .filter((member) => member.isUsable(world.now))
      .map(({ id }) => id);
  const members = (): string[] => service.members().map(({ id }) => id);
  return { world, service, view, usable, members };
}

test('an instance that a peer reported and the store does not list is used for only a part of the drain timeout', () => {
  const { world, service, usable } = setUp();
  service.setInstances([entry('i-1'), entry('i-2')], 'peer');
  assert.equal(usable(), ['i-1', 'i-2']);
  world.healthySince = world.now;
  service.setInstances([entry('i-1')]);
  assert.equal(usable(), ['i-1', 'i-2']);
  world.now = 2500;
  assert.equal(usable(), ['i-1']);
});

test('an instance that the store listed before is used for the drain timeout less a margin', () => {
  const { world, service, usable } = setUp();
  world.healthySince = world.now;
  service.setInstances([entry('i-1'), entry('i-2')]);
  service.setInstances([entry('i-1')]);
  world.now = DRAIN_MS - 1501;
  assert.equal(usable(), ['i-1', 'i-2']);
  world.now = DRAIN_MS - 1500;
  assert.equal(usable(), ['i-1']);
});

test('after a restart under its id an instance gets work only in its new incarnation, whether the store is reachable or not', () => {
  const { world, service, usable } = setUp();
  const first = { ...entry('i-1@100'), lifeOf: 'i-1' };
  const second = { ...entry('i-1@200'), lifeOf: 'i-1' };
  world.healthySince = world.now;
  service.setInstances([first, entry('i-2')]);
  service.setInstances([entry('i-2')]);
  world.healthySince = undefined;
  assert.equal(usable(), ['i-1@100', 'i-2'], 'its registration may have expired');
  service.setInstances([second, entry('i-2')]);
  assert.equal(usable(), ['i-2', 'i-1@200']);
  world.now = DRAIN_MS;
  assert.equal(usable(), ['i-2', 'i-1@200']);
});

test('a replica whose registration expired while the store was unreachable is read until it could have registered again', () => {
  const { world, service } = setUp();
  const readable = (): string[] => service.readable(world.now).map(({ id }) => id);
  world.healthySince = world.now;
  service.setInstances([entry('i-1'), entry('i-2')]);
  assert.equal(readable(), ['i-1', 'i-2']);
  world.now = 10_000;
  world.healthySince = undefined;
  assert.equal(readable(), ['i-1', 'i-2']);
  world.now = 20_000;
  world.healthySince = world.now;
  service.setInstances([entry('i-1')]);
  assert.equal(readable(), ['i-1', 'i-2']);
  world.now = 22_299;
  assert.equal(readable(), ['i-1', 'i-2']);
  world.now = 22_300;
  assert.equal(readable(), ['i-1']);
});

test('a replica whose registration is removed while the store is reachable is no longer read', () => {
  const { world, service } = setUp();
  world.healthySince = world.now;
  service.setInstances([entry('i-1'), entry('i-2')]);
  service.readable(0);
  world.now = 10_000;
  service.setInstances([entry('i-1')]);
  assert.equal(
    service.readable(world.now).map(({ id }) => id),
    ['i-1'],
  );
});

/** Otherwise it is sent work again long after its drain timeout: the node may lose the store for a moment at any time. */
test('an instance whose registration is removed while the store is healthy is not used again in an outage', () => {
  const { world, service, usable } = setUp();
  const readable = (): string[] => service.readable(world.now).map(({ id }) => id);
  world.healthySince = world.now;
  service.setInstances([entry('i-1'), entry('i-2')]);
  world.now = 10_000;
  service.setInstances([entry('i-1')]);
  world.now += 1000;
  world.healthySince = undefined;
  assert.equal([usable(), readable()], [['i-1', 'i-2'], ['i-1']], 'within the drain timeout');
  world.now = 10_000 + DRAIN_MS;
  assert.equal([usable(), readable()], [['i-1'], ['i-1']]);
});

test('an instance whose registration does not return after an outage is not used again in the next one', () => {
  const { world, service, usable } = setUp();
  service.setInstances([entry('i-1'), entry('i-2')]);
  world.now = 10_000;
  world.healthySince = world.now;
  service.setInstances([entry('i-1')]);
  world.healthySince = undefined;
  world.now = 10_000 + DRAIN_MS;
  assert.equal(usable(), ['i-1', 'i-2'], 'its registration may have expired');
  world.healthySince = world.now;
  world.now += 2300;
  service.trim();
  world.healthySince = undefined;
  assert.equal(usable(), ['i-1']);
});

test('an instance that turns out to be draining gets no more work, since the start of its draining is unknown', () => {
  const { world, service, usable } = setUp();
  service.setInstances([entry('i-1'), entry('i-2')], 'peer');
  world.healthySince = world.now;
  service.setInstances([entry('i-1'), entry('i-2', true)]);
  assert.equal(usable(), ['i-1']);
});

test('a departed member gets no work, and counts as a member until the store responds', () => {
  const { world, service, usable, members } = setUp();
  service.addDeparted([entry('i-9')]);
  service.setInstances([entry('i-1')], 'peer');
  assert.equal([usable(), members()], [['i-1'], ['i-9', 'i-1']]);
  world.healthySince = world.now;
  service.setInstances([entry('i-1')]);
  assert.equal(members(), ['i-1']);
});

test('a new owner uses half of its share until connections of owners that lost power have ended', () => {
  const { world, service } = setUp();
  const nodes = [{ nodeId: 'n-1', zone: 'a', host: '10.0.0.9', port: 1 }];
  const roster: OwnerRoster = { ownersPerInstance: 2, nodes };
  Object.assign(world.ownership, { roster, ownershipOf: () => ({ isOwned: true }) });
  service.setInstances([entry('i-1')]);
  service.setMaxConnections(39);
  const limit = (): number | undefined => service.members()[0]?.pool.limit;
  assert.is(limit(), 4);
  world.now = 3400;
  service.trim();
  assert.is(limit(), 4);
  world.now = 3500;
  service.trim();
  assert.is(limit(), 8);
  // A roster in which this node stays an owner doesn't reduce its limit.
  Object.assign(world.ownership, { roster: { ...roster } });
  service.updateOwners();
  assert.is(limit(), 8);
});

test('no connection is opened while this node has no links yet to the published owners', () => {
  const { world, service } = setUp();
  Object.assign(world.ownership, { isPending: true });
  service.setInstances([entry('i-1')]);
  service.setMaxConnections(39);
  const pool = () => service.members()[0]?.pool;
  assert.is(pool()?.limit, 0);
  const nodes = [{ nodeId: 'n-1', zone: 'a', host: '10.0.0.9', port: 1 }];
  const roster: OwnerRoster = { ownersPerInstance: 2, nodes };
  const ownershipOf = () => ({ isOwned: true });
  Object.assign(world.ownership, { isPending: false, roster, ownershipOf });
  service.updateOwners();
  assert.is(pool()?.limit, 4);
});

for (const [name, start, atFirst] of [
  ['a node that replaces another uses half of its share at first', { startedAt: 0 }, 2],
  ['a node of a first start uses its whole share at once', { startedAt: 0, isFirstStart: true }, 4],
] as const) {
  test(name, () => {
    const { world, service } = setUp(start);
    service.setInstances([entry('i-1')]);
    service.setNodeCount(8);
    service.setMaxConnections(36);
    const limit = (): number | undefined => service.members()[0]?.pool.limit;
    assert.is(limit(), atFirst);
    world.now = 3500;
    service.trim();
    assert.is(limit(), 4);
  });
}

test('listeners to a change of the primary are notified once when it is replaced', () => {
  const { service } = setUp();
  const before = service.changeOfPrimary;
  let notificationCount = 0;
  before.listen(() => {
    notificationCount += 1;
  });
  service.handlePrimaryChange();
  service.handlePrimaryChange();
  assert.is(notificationCount, 1);
  assert.ok(before.isCancelled);
  assert.not(service.changeOfPrimary.isCancelled);
});

test('the term of a confirmed primary is adopted, and never a lower one', () => {
  const { service } = setUp();
  service.recordTerm({ instanceId: 'i-1', term: 3 });
  service.recordTerm({ instanceId: 'i-2', term: 2 });
  assert.equal([service.trustedTermOf('i-1'), service.trustedTermOf('i-2')], [3, undefined]);
  service.recordTerm({ instanceId: 'i-2', term: 4 });
  assert.equal([service.trustedTermOf('i-1'), service.trustedTermOf('i-2')], [undefined, 4]);
});

test('a primary whose log is behind what it was before the message was sent has started again, unless it was replaced', () => {
  const { world, service, view } = setUp();
  const primary: InstanceEntry = { ...entry('i-1@100'), lifeOf: 'i-1', role: 'primary' };
  const restarted: string[] = [];
  view.recordRestart = ({ id }: InstanceEntry) => void restarted.push(id);
  view.setInstances(new Map([[primary.id, primary]]));
  service.setInstances([primary]);
  const [instance] = service.members();
  const report = (sentAt: number, lsn: bigint): bigint | undefined => {
    world.now = sentAt + 5;
    if (instance !== undefined) service.recordPosition(instance, sentAt, { timeline: 1, lsn });
    return service.newestSample()?.position.lsn;
  };
  assert.is(report(0, 40n), 40n);
  assert.is(report(4, 39n), 39n, 'sent before the answer that it is behind of');
  assert.equal(restarted, []);
  assert.is(report(10, 0n), 39n);
  assert.equal(restarted, [primary.id]);
  service.handlePrimaryChange();
  assert.is(report(20, 30n), 30n);
  assert.equal(restarted, [primary.id], 'a change may roll back');
});

test.run();
