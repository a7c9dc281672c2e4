/** Instances that only a peer told of: how long they are used once the store answers, and as members. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire } from '../../../platform/line-wire.js';
import { AnnouncedPrimaryView } from '../../../src/direct/announced-primary-view.js';
import type { InstanceEntry } from '../../../src/direct/contract.js';
import { ServiceRuntime } from '../../../src/direct/service-runtime.js';

const DRAIN_MS = 7000;

function entry(id: string, draining = false): InstanceEntry {
  const place = { service: 'orders', host: '10.0.0.1', port: 80, zone: 'a', slots: 3 };
  return { id, ...place, draining, role: 'replica' };
}

function setUp() {
  const world = { now: 0, isWell: false };
  const counters = { connectionsOpened: 0, connectFailures: 0, waitTimeouts: 0, queueRefusals: 0 };
  const service = new ServiceRuntime('orders', {
    zone: 'a',
    nodeCount: 1,
    ownership: { roster: undefined, ownershipOf: () => undefined },
    drainTimeoutMs: DRAIN_MS,
    view: new AnnouncedPrimaryView(),
    isStoreWell: () => world.isWell,
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
  return { world, service, usable, members };
}

test('one that the store does not have ends well before the drain time is over', () => {
  const { world, service, usable } = setUp();
  service.setInstances([entry('i-1'), entry('i-2')], 'peer');
  assert.equal(usable(), ['i-1', 'i-2']);
  world.isWell = true;
  service.setInstances([entry('i-1')]);
  assert.equal(usable(), ['i-1', 'i-2']);
  world.now = 2500;
  assert.equal(usable(), ['i-1']);
});

test('one that the store has told of is used for the drain time less its margin', () => {
  const { world, service, usable } = setUp();
  world.isWell = true;
  service.setInstances([entry('i-1'), entry('i-2')]);
  service.setInstances([entry('i-1')]);
  world.now = DRAIN_MS - 1501;
  assert.equal(usable(), ['i-1', 'i-2']);
  world.now = DRAIN_MS - 1500;
  assert.equal(usable(), ['i-1']);
});

test('one that turns out to be draining gets nothing more: for how long it has been is unknown', () => {
  const { world, service, usable } = setUp();
  service.setInstances([entry('i-1'), entry('i-2')], 'peer');
  world.isWell = true;
  service.setInstances([entry('i-1'), entry('i-2', true)]);
  assert.equal(usable(), ['i-1']);
});

test('a departed member gets no work, and counts until the store answers', () => {
  const { world, service, usable, members } = setUp();
  service.noteDeparted([entry('i-9')]);
  service.setInstances([entry('i-1')], 'peer');
  assert.equal([usable(), members()], [['i-1'], ['i-9', 'i-1']]);
  world.isWell = true;
  service.setInstances([entry('i-1')]);
  assert.equal(members(), ['i-1']);
});

test('a term in which a primary was found leading is taken over, and never a lower one', () => {
  const { service } = setUp();
  service.noteTerm({ instanceId: 'i-1', term: 3 });
  service.noteTerm({ instanceId: 'i-2', term: 2 });
  assert.equal([service.trustedTermOf('i-1'), service.trustedTermOf('i-2')], [3, undefined]);
  service.noteTerm({ instanceId: 'i-2', term: 4 });
  assert.equal([service.trustedTermOf('i-1'), service.trustedTermOf('i-2')], [undefined, 4]);
});

test.run();
