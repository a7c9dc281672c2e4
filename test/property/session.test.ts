import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { comparePositions, type Position } from '../../src/core/position.js';
import {
  decodeSessionToken,
  encodeSessionToken,
  freshSession,
  MAX_TOKEN_BYTES,
  markUnknown,
  observe,
  requirementFor,
  type SessionKeys,
  SessionPositionTable,
  type SessionState,
} from '../../src/core/session/index.js';

const KEYS: SessionKeys = [{ id: 'k1', secret: Buffer.alloc(32, 7) }];
const PARAMETERS = { seed: 20261202, numRuns: 300 };

const position: fc.Arbitrary<Position> = fc.record(
  {
    timeline: fc.nat({ max: 0xffff_ffff }),
    lsn: fc.bigInt({ min: 0n, max: 0xffff_ffff_ffff_ffffn }),
  },
  { noNullPrototype: true },
);
const group = fc.string({ minLength: 1, maxLength: 63, unit: 'binary' });
const visits = fc.array(fc.tuple(group, fc.option(position)), { maxLength: 30 });

function sessionOf(visited: readonly (readonly [string, Position | null])[]): SessionState {
  let session = freshSession();
  for (const [name, at] of visited) {
    session =
      at === null ? markUnknown(session, name) : observe(session, name, at, 'confirmed-primary');
  }
  return session;
}

test('a decoded token has the same requirement for each of its groups, and unknown for others', () => {
  const property = fc.property(visits, fc.string(), (visited, tenant) => {
    const session = sessionOf(visited);
    const token = encodeSessionToken(session, tenant, KEYS);
    assert.ok(Buffer.byteLength(token) <= MAX_TOKEN_BYTES);
    const decoded = decodeSessionToken(token, tenant, KEYS)._unsafeUnwrap();
    for (const name of session.groups.keys()) {
      const actual = requirementFor(decoded, name);
      if (decoded.groups.has(name)) assert.equal(actual, requirementFor(session, name));
      else assert.equal(actual, { type: 'unknown' });
    }
  });
  fc.assert(property, PARAMETERS);
});

test('a token with a flipped bit or a missing end is rejected', () => {
  const token = encodeSessionToken(
    sessionOf([
      ['orders', { timeline: 2, lsn: 99n }],
      ['glossary', null],
    ]),
    'bureau',
    KEYS,
  );
  for (let bit = 0; bit < token.length * 8; bit += 1) {
    const bytes = Buffer.from(token, 'latin1');
    const at = Math.floor(bit / 8);
    bytes[at] = (bytes[at] ?? 0) ^ (1 << (bit % 8));
    assert.ok(decodeSessionToken(bytes.toString('latin1'), 'bureau', KEYS).isErr(), `bit ${bit}`);
  }
  for (let length = 0; length < token.length; length += 1) {
    assert.ok(decodeSessionToken(token.slice(0, length), 'bureau', KEYS).isErr());
  }
});

test('a token is rejected for any other tenant, and arbitrary text is rejected without an exception', () => {
  const otherTenant = fc.property(fc.string(), fc.string(), (owner, other) => {
    fc.pre(owner !== other);
    const token = encodeSessionToken(freshSession(), owner, KEYS);
    assert.ok(decodeSessionToken(token, other, KEYS).isErr());
  });
  fc.assert(otherTenant, PARAMETERS);
  const anyText = fc.property(fc.string({ unit: 'binary' }), (text) => {
    assert.ok(decodeSessionToken(`v1.k1.${text}`, 'bureau', KEYS).isErr());
    assert.ok(decodeSessionToken(text, 'bureau', KEYS).isErr());
  });
  fc.assert(anyText, PARAMETERS);
});

test('the position table keeps the highest position in any order of records', () => {
  const session = { tenant: 't', sessionId: 's' };
  const property = fc.property(fc.array(position, { minLength: 1 }), (positions) => {
    const table = new SessionPositionTable({ startedAt: 0 });
    let latest: Position | undefined;
    for (const next of positions) {
      table.handle({ type: 'record', session, positions: [{ group: 'g', position: next }] }, 1);
      if (latest === undefined || comparePositions(next, latest) > 0) latest = next;
      const found = table.handle({ type: 'look-up', session }, 1);
      assert.equal(found.type === 'found' && found.answer.positions.get('g'), latest);
    }
  });
  fc.assert(property, PARAMETERS);
});

test.run();
