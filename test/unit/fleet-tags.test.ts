/** Tags by which nodes recognize that they belong to different fleets. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFleetTags, mayBeSameFleet } from '../../src/peer/fleet-tags.js';

const [FIRST, SECOND, THIRD] = ['a', 'b', 'c'].map((text) => Buffer.from(text.repeat(32)));

function areSame(left: readonly (Buffer | undefined)[], right: readonly (Buffer | undefined)[]) {
  const tagsOf = (keys: readonly (Buffer | undefined)[]) =>
    createFleetTags(keys.filter((key) => key !== undefined));
  return mayBeSameFleet(tagsOf(left), tagsOf(right));
}

test('nodes that share a session key may be of one fleet, others are not', () => {
  assert.is(areSame([FIRST], [FIRST]), true);
  assert.is(areSame([FIRST], [SECOND]), false);
});

test('during a rotation of keys neighbouring steps recognize each other', () => {
  const steps = [[FIRST], [FIRST, SECOND], [SECOND, FIRST], [SECOND], [SECOND, THIRD]];
  for (const [index, step] of steps.entries()) {
    assert.is(areSame(step, steps[index + 1] ?? step), true);
  }
});

test('without session keys nothing is known', () => {
  assert.is(areSame([], [FIRST]), true);
  assert.is(areSame([FIRST], []), true);
});

test.run();
