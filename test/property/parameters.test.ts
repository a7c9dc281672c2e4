import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type ParameterDeclaration,
  valueSchemaOf,
} from '../../src/core/configuration/parameters.js';

const SEED = 20_261_202;
const SETTINGS = { seed: SEED, numRuns: 300 };

function accepts(parameter: ParameterDeclaration, value: unknown): boolean {
  return valueSchemaOf(parameter).safeParse(value).success;
}

const boundsArbitrary = fc
  .tuple(fc.integer({ min: 0, max: 1000 }), fc.integer({ min: 0, max: 1000 }))
  .map(([left, right]) => ({ minimum: Math.min(left, right), maximum: Math.max(left, right) }));

test('numbers and durations are accepted exactly within their bounds', () => {
  const types = fc.constantFrom('integer' as const, 'number' as const, 'duration' as const);
  fc.assert(
    fc.property(
      types,
      boundsArbitrary,
      fc.integer({ min: 0, max: 1100 }),
      (type, bounds, value) => {
        const within = value >= bounds.minimum && value <= bounds.maximum;
        assert.is(accepts({ type, ...bounds }, value), within);
        if (type === 'duration') assert.is(accepts({ type, ...bounds }, `${value}ms`), within);
      },
    ),
    SETTINGS,
  );
});

test('a value of another type is never accepted', () => {
  const parameters: ParameterDeclaration[] = [
    { type: 'integer' },
    { type: 'boolean' },
    { type: 'list' },
    { type: 'databases' },
    { type: 'requestKinds' },
  ];
  const values = [1.5, 'x', null, [1], [{ database: 'd' }], { kind: { weight: 0 } }];
  for (const parameter of parameters) {
    for (const value of values) assert.not(accepts(parameter, value), JSON.stringify(value));
  }
});

test('enumerations and patterns restrict strings and the items of lists', () => {
  const choices = ['orders', 'glossary'];
  const text = fc.oneof(fc.constantFrom('orders', 'glossary', 'hire'), fc.string());
  fc.assert(
    fc.property(text, fc.array(text, { maxLength: 4 }), (value, items) => {
      assert.is(accepts({ type: 'string', enum: choices }, value), choices.includes(value));
      assert.is(accepts({ type: 'string', pattern: '^[a-z]+$' }, value), /^[a-z]+$/.test(value));
      const list: ParameterDeclaration = { type: 'list', enum: choices, minItems: 1, maxItems: 3 };
      const fits = items.every((item) => choices.includes(item));
      assert.is(accepts(list, items), fits && items.length >= 1 && items.length <= 3);
    }),
    SETTINGS,
  );
});

test('request kinds and databases are restricted by the template', () => {
  fc.assert(
    fc.property(fc.nat(2000), fc.nat(2000), (bound, stalenessBoundMs) => {
      const parameter: ParameterDeclaration = { type: 'requestKinds', maximumStalenessMs: bound };
      assert.is(accepts(parameter, { lookup: { stalenessBoundMs } }), stalenessBoundMs <= bound);
    }),
    SETTINGS,
  );
  const databases: ParameterDeclaration = { type: 'databases', groups: ['orders'], maxItems: 1 };
  const orders = { database: 'a', group: 'orders' };
  assert.ok(accepts(databases, [orders]));
  assert.not(accepts(databases, [orders, orders]));
  assert.not(accepts(databases, [{ database: 'a', group: 'hire' }]));
});

test.run();
