import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { findDifferences } from '../../src/core/configuration/difference.js';

test('names each field that is new, gone or changed', () => {
  const before = { name: 'a', parameters: { connections: 1, gone: true }, list: [1, 2] };
  const after = { name: 'a', parameters: { connections: 2, fresh: 'x' }, list: [1, 3, 4] };
  assert.equal(findDifferences(before, after), [
    { field: 'list[1]', before: 2, after: 3 },
    { field: 'list[2]', before: undefined, after: 4 },
    { field: 'parameters.connections', before: 1, after: 2 },
    { field: 'parameters.fresh', before: undefined, after: 'x' },
    { field: 'parameters.gone', before: true, after: undefined },
  ]);
});

test('a value in place of a container is one difference, and equal values are none', () => {
  assert.equal(findDifferences({ a: 1 }, { a: { b: 1 } }), [
    { field: 'a', before: 1, after: { b: 1 } },
  ]);
  assert.equal(findDifferences({ a: [{ b: 1 }] }, { a: [{ b: 1 }] }), []);
});

test('an empty container that is added or removed is a difference', () => {
  assert.equal(findDifferences({}, { a: {} }), [{ field: 'a', before: undefined, after: {} }]);
  assert.equal(findDifferences({ a: [] }, { a: {} }), [{ field: 'a', before: [], after: {} }]);
});

test.run();
