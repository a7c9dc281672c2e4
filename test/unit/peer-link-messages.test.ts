/** Parsers of the messages that a link handles itself: they reject everything malformed. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { parseCall, parseCallError, parseHello } from '../../src/peer/link-messages.js';

const SETTINGS = { seed: 20261202, numRuns: 500 };
const HELLO = {
  ...{ protocol: 'p', version: 1, nodeId: 'node-1', incarnation: 5 },
  ...{ nonce: new Uint8Array(32), proof: new Uint8Array(0), fleet: ['tag'] },
};

test('a hello with a missing or malformed field is rejected', () => {
  assert.equal(parseHello({ ...HELLO, more: true }), HELLO);
  const faults = [
    { protocol: undefined },
    { version: 1.5 },
    { nodeId: '' },
    { nodeId: 'n'.repeat(129) },
    { nodeId: 7 },
    { incarnation: -1 },
    { incarnation: '5' },
    { nonce: new Uint8Array(31) },
    { nonce: 'x'.repeat(32) },
    { proof: null },
    { fleet: 'tag' },
    { fleet: [7] },
    { fleet: new Array(17).fill('tag') },
    { fleet: ['x'.repeat(65)] },
  ];
  for (const fault of faults) assert.is(parseHello({ ...HELLO, ...fault }), undefined);
});

test('the hello of a release without fleet tags is accepted', () => {
  const { fleet: _fleet, ...earlier } = HELLO;
  assert.equal(parseHello(earlier), { ...HELLO, fleet: [] });
});

test('a call consists of a method and a body, its error of a code and a reason', () => {
  assert.equal(parseCall(['m', { a: 1 }]), { method: 'm', body: { a: 1 } });
  for (const fault of [['m'], ['m', 1, 2], [1, 2], ['m'.repeat(65), 1], { 0: 'm', 1: 2 }]) {
    assert.is(parseCall(fault), undefined);
  }
  assert.equal(parseCallError(['MS-X', 'why']), { code: 'MS-X', reason: 'why' });
  for (const fault of [['MS-X'], ['MS-X', 1], [1, 'why'], 'MS-X']) {
    assert.is(parseCallError(fault), undefined);
  }
});

test('no value makes a parser throw', () => {
  fc.assert(
    fc.property(fc.anything(), (value) => {
      parseHello(value);
      parseCall(value);
      parseCallError(value);
    }),
    SETTINGS,
  );
});

test.run();
