/**
 * The array form of messages preserves all fields, also through the codec; malformed ones are
 * refused.
 */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openSchema, ownerMessageSchema } from '../../src/node/owner/messages.js';
import {
  openFromWire,
  openToWire,
  ownerMessageFromWire,
  ownerMessageToWire,
} from '../../src/node/owner/wire-form.js';
import { decodeValue, encodeValue } from '../../src/peer/codec.js';

const RUNS = { seed: 11, numRuns: 200 };
const MAX_BYTES = 1024 * 1024;

const position = fc.record({
  timeline: fc.integer({ min: 0, max: 1000 }),
  lsn: fc.bigInt({ min: 0n, max: (1n << 63n) - 1n }),
});
const bytes = fc.uint8Array({ maxLength: 50 }).map((array) => Buffer.from(array));
const batch = fc.record(
  {
    type: fc.constant('batch' as const),
    requires: fc.array(
      fc.record({
        backendName: fc.string(),
        text: fc.string(),
        parameterTypes: fc.array(fc.nat()),
      }),
      { maxLength: 3 },
    ),
    messages: bytes,
    mayCommit: fc.boolean(),
    followingBytes: fc.integer({ min: 1, max: 1000 }),
    onceKey: fc.string(),
  },
  { requiredKeys: ['type', 'requires', 'messages', 'mayCommit'] },
);
const open = fc.record({
  type: fc.constant('open' as const),
  requestId: fc.string(),
  group: fc.string(),
  tenant: fc.string(),
  databaseRole: fc.string(),
  database: fc.string(),
  access: fc.constantFrom('read' as const, 'write' as const),
  kind: fc.string(),
  weight: fc.integer({ min: 1, max: 9 }),
  stalenessBoundMs: fc.nat(),
  repeatable: fc.boolean(),
  session: fc.oneof(
    position.map((known) => ({ type: 'known' as const, position: known })),
    fc.constant({ type: 'unknown' as const }),
  ),
  remainingMs: fc.nat(),
  hold: fc.constantFrom('statement' as const, 'transaction' as const),
  zone: fc.string(),
  batch,
});

function overTheWire(value: unknown): unknown {
  return decodeValue(encodeValue(value, MAX_BYTES));
}

/** Removes undefined fields and converts bytes to text, so that values can be compared. */
function comparable(value: unknown): unknown {
  if (value instanceof Uint8Array) return Buffer.from(value).toString('hex');
  if (Array.isArray(value)) return value.map(comparable);
  if (typeof value !== 'object' || value === null) return value;
  const fields = Object.entries(value).filter(([, field]) => field !== undefined);
  return Object.fromEntries(fields.map(([name, field]) => [name, comparable(field)]));
}

test('an open message is unchanged by encoding and decoding', () => {
  fc.assert(
    fc.property(open, (message) => {
      const parsed = openSchema.safeParse(openFromWire(overTheWire(openToWire(message))));
      assert.ok(parsed.success, parsed.error?.message);
      assert.equal(comparable(parsed.data), comparable(message));
    }),
    RUNS,
  );
});

test('an end message is unchanged by encoding and decoding, with and without a position', () => {
  const end = fc.record(
    {
      type: fc.constant('end' as const),
      status: fc.constantFrom('I' as const, 'T' as const, 'E' as const),
      heldBack: bytes,
      fromReplica: fc.boolean(),
      position,
    },
    { requiredKeys: ['type', 'status', 'heldBack', 'fromReplica'] },
  );
  fc.assert(
    fc.property(end, (message) => {
      const wire = overTheWire(ownerMessageToWire(message));
      const parsed = ownerMessageSchema.safeParse(ownerMessageFromWire(wire));
      assert.ok(parsed.success, parsed.error?.message);
      const { type, status, heldBack, fromReplica, position: at } = message;
      assert.equal(
        comparable(parsed.data),
        comparable({ type, status, heldBack, fromReplica, position: at }),
      );
    }),
    RUNS,
  );
});

test('an error message with a position is unchanged by encoding and decoding', () => {
  fc.assert(
    fc.property(position, (at) => {
      const message = {
        type: 'error' as const,
        outcome: 'done' as const,
        code: 'MS-ALREADY-DONE',
        sqlState: '23505',
        message: 'done earlier',
        position: at,
      };
      const wire = overTheWire(ownerMessageToWire(message));
      const parsed = ownerMessageSchema.safeParse(ownerMessageFromWire(wire));
      assert.ok(parsed.success, parsed.error?.message);
      assert.equal(comparable(parsed.data), comparable(message));
    }),
    RUNS,
  );
});

test('arbitrary arrays are rejected by the schemas without an exception', () => {
  fc.assert(
    fc.property(fc.array(fc.anything(), { maxLength: 20 }), (value) => {
      assert.not.ok(openSchema.safeParse(openFromWire(value)).success);
      assert.not.ok(ownerMessageSchema.safeParse(ownerMessageFromWire(value)).success);
    }),
    RUNS,
  );
});

test.run();
