/** Which database system a group is, by what its instances show. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { SystemIdentities } from '../../src/core/group/system-identity.js';

const LISTED = ['a', 'b', 'c'];

test('a group is the system that a majority of its listed instances shows', () => {
  const identities = new SystemIdentities();
  identities.record('orders', 'a', '7', LISTED);
  assert.is(identities.judge('orders', '7'), 'unknown');
  identities.record('orders', 'a', '7', LISTED);
  assert.is(identities.judge('orders', '7'), 'unknown', 'the same instance again');
  identities.record('orders', 'b', '7', LISTED);
  assert.is(identities.judge('orders', '7'), 'own');
  assert.is(identities.judge('orders', '8'), 'foreign');
});

test('an instance of another system does not count, and groups are independent', () => {
  const identities = new SystemIdentities();
  identities.record('orders', 'a', '7', LISTED);
  identities.record('orders', 'b', '8', LISTED);
  assert.is(identities.of('orders'), undefined);
  identities.record('orders', 'c', '7', LISTED);
  assert.is(identities.judge('orders', '8'), 'foreign');
  assert.is(identities.judge('bookings', '7'), 'unknown');
});

test('another majority later does not change the system of a group', () => {
  const identities = new SystemIdentities();
  for (const name of LISTED) identities.record('orders', name, '7', LISTED);
  for (const name of LISTED) identities.record('orders', name, '8', LISTED);
  assert.is(identities.judge('orders', '7'), 'own');
  assert.is(identities.judge('orders', '8'), 'foreign');
});

test.run();
