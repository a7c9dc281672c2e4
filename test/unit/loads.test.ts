/** Slots of an instance: which requests use one, and how many a single tenant may use. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { InstanceDescription } from '../../src/core/group/contract.js';
import { InstanceLoads } from '../../src/core/group/loads.js';

const PRIMARY: InstanceDescription = {
  name: 'a',
  zone: 'z',
  slots: 4,
  connectionBudget: 20,
  leaving: false,
};

test('a transaction releases its slot between two statements and acquires it again', () => {
  const loads = new InstanceLoads();
  for (let count = 0; count < 4; count += 1) loads.recordStart('a', 'transaction', 'one');
  assert.not.ok(loads.hasSlot(PRIMARY, 'statement'));
  loads.setTransactionIdle('a', 'one', true);
  assert.ok(loads.hasSlot(PRIMARY, 'statement'));
  assert.is(loads.runningCount('a'), 3);
  loads.setTransactionIdle('a', 'one', false);
  assert.not.ok(loads.hasSlot(PRIMARY, 'statement'));
});

test('open transactions are limited even if all are idle, and statements still run', () => {
  const loads = new InstanceLoads();
  let opened = 0;
  while (loads.hasSlot(PRIMARY, 'transaction') && opened < 100) {
    loads.recordStart('a', 'transaction', 'one');
    loads.setTransactionIdle('a', 'one', true);
    opened += 1;
  }
  assert.is(opened, 12);
  assert.ok(loads.hasSlot(PRIMARY, 'statement'));
});

test('a tenant with many idle transactions leaves room for transactions of others', () => {
  const loads = new InstanceLoads();
  let opened = 0;
  while (loads.isWithinShare(PRIMARY, 'one', 'transaction', 2) && opened < 100) {
    loads.recordStart('a', 'transaction', 'one');
    loads.setTransactionIdle('a', 'one', true);
    opened += 1;
  }
  assert.is(opened, 8);
  assert.ok(loads.hasSlot(PRIMARY, 'transaction'));
  assert.ok(loads.isWithinShare(PRIMARY, 'two', 'transaction', 2));
  assert.ok(loads.isWithinShare(PRIMARY, 'one', 'statement', 2));
});

test.run();
