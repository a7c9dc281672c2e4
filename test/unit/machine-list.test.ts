import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Machine } from '../../src/platform/contract.js';
import { MachineList } from '../../standins/machines/machine-list.js';

function proxy(name: string): Machine {
  const place = { zone: 'zone-a', host: '127.0.0.1', peerPort: 7000 };
  return { role: 'proxy', name, state: 'live', ...place };
}

function publishedNames(list: MachineList): string[] {
  return (list.published().machines as Machine[]).map((machine) => machine.name);
}

test('a change becomes visible only after the propagation delay', () => {
  const list = new MachineList(1500);
  list.upsert(proxy('p1'), 0);
  assert.is(list.publishDue(1499), 1500);
  assert.equal(publishedNames(list), []);
  assert.is(list.publishDue(1500), undefined);
  assert.equal(publishedNames(list), ['p1']);
  assert.is(list.version, 2);
});

test('with a shorter propagation delay no change becomes visible before an earlier one', () => {
  const list = new MachineList(1000);
  list.upsert(proxy('p1'), 0);
  list.setLag(0);
  list.remove({ role: 'proxy', name: 'p1' }, 1);
  list.upsert(proxy('p2'), 2);
  list.publishDue(999);
  assert.equal(publishedNames(list), []);
  list.publishDue(1000);
  assert.equal(publishedNames(list), ['p2']);
});

test('removing or marking an unknown machine is refused', () => {
  const list = new MachineList(0);
  assert.is(list.remove({ role: 'proxy', name: 'p1' }, 0), false);
  assert.is(list.markLeaving({ role: 'database', name: 'p1' }, 0), false);
  assert.is(list.version, 1);
});

test.run();
