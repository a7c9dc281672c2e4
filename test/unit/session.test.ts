import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Position } from '../../src/core/position.js';
import {
  checkPosition,
  combineAnswers,
  decodeSessionToken,
  encodeSessionToken,
  freshSession,
  type HomeNodeAnswer,
  homeNodesOf,
  isRecorded,
  limitGroups,
  MAX_TOKEN_BYTES,
  markUnknown,
  mergeSessions,
  observe,
  requirementFor,
  type SessionKeys,
  SessionPositionTable,
  type SessionState,
  unknownSession,
} from '../../src/core/session/index.js';
import { isUsableKey } from '../../src/core/session/token.js';

const OLD_KEY = { id: 'k1', secret: Buffer.alloc(32, 1) };
const NEW_KEY = { id: 'k2', secret: Buffer.alloc(32, 2) };
const KEYS: SessionKeys = [NEW_KEY, OLD_KEY];
const POSITION = { timeline: 3, lsn: 0x1_6b37_48ffn };
const NAME = { tenant: 'bureau', sessionId: 's-1' };

function sessionWithGroups(count: number): SessionState {
  let session = freshSession();
  for (let index = 0; index < count; index += 1) {
    const position = { timeline: 1, lsn: BigInt(index + 1) };
    session = observe(session, `group-${index}`, position, 'confirmed-primary');
  }
  return session;
}

function errorCode(text: string, tenant = 'bureau', keys: SessionKeys = KEYS): string {
  const result = decodeSessionToken(text, tenant, keys);
  return result.isErr() ? `${result.error.code} ${result.error.sqlState}` : 'accepted';
}

test('a token signed by an older key is accepted while that key is configured', () => {
  const token = encodeSessionToken(sessionWithGroups(2), 'bureau', [OLD_KEY]);
  assert.is(errorCode(token), 'accepted');
  assert.is(errorCode(token, 'bureau', [NEW_KEY]), 'MS-SESSION-TOKEN-KEY 28000');
});

test('each kind of unusable token has its own error', () => {
  const token = encodeSessionToken(sessionWithGroups(2), 'bureau', KEYS);
  assert.is(errorCode(token, 'trust'), 'MS-SESSION-TOKEN-FORGED 28000');
  assert.is(errorCode(token.replace('v1', 'v2')), 'MS-SESSION-TOKEN-VERSION 22023');
  assert.is(errorCode(token.slice(0, -3)), 'MS-SESSION-TOKEN-MALFORMED 22023');
  assert.is(errorCode(''), 'MS-SESSION-TOKEN-MALFORMED 22023');
  assert.is(errorCode('v1.k1.é.é'), 'MS-SESSION-TOKEN-MALFORMED 22023');
  assert.is(errorCode(`v1.${'a'.repeat(MAX_TOKEN_BYTES)}`), 'MS-SESSION-TOKEN-OVERSIZED 22023');
});

test('groups that do not fit into a token become unknown, not zero', () => {
  const session = sessionWithGroups(200);
  const token = encodeSessionToken(session, 'bureau', KEYS);
  assert.ok(token.length <= MAX_TOKEN_BYTES);
  const decoded = decodeSessionToken(token, 'bureau', KEYS)._unsafeUnwrap();
  assert.ok(decoded.groups.size > 30);
  assert.equal(requirementFor(decoded, 'group-199'), requirementFor(session, 'group-199'));
  assert.equal(requirementFor(decoded, 'group-0'), { type: 'unknown' });
  assert.equal(requirementFor(decoded, 'never-used'), { type: 'unknown' });
});

test('a key with a short secret or a separator in its id is unusable', () => {
  assert.ok(isUsableKey(OLD_KEY));
  assert.not(isUsableKey({ id: 'a.b', secret: OLD_KEY.secret }));
  assert.not(isUsableKey({ id: 'a', secret: Buffer.alloc(4) }));
});

test('an unknown group becomes known only by a confirmed primary', () => {
  const unknown = markUnknown(freshSession(), 'orders');
  const byReplica = observe(unknown, 'orders', POSITION, 'unconfirmed');
  assert.equal(requirementFor(byReplica, 'orders'), { type: 'unknown' });
  const byPrimary = observe(unknown, 'orders', POSITION, 'confirmed-primary');
  assert.equal(requirementFor(byPrimary, 'orders'), { type: 'known', position: POSITION });
});

test('a fresh session merged with a token gets the position of the token, one of unknown history stays unknown', () => {
  const fromToken = observe(freshSession(), 'orders', POSITION, 'confirmed-primary');
  const merged = mergeSessions(freshSession(), fromToken);
  assert.equal(requirementFor(merged, 'orders'), { type: 'known', position: POSITION });
  const moved = mergeSessions(unknownSession(), fromToken);
  assert.equal(requirementFor(moved, 'orders'), { type: 'unknown' });
});

test('a position beyond the confirmed log, or one lost at a promotion, is refused', () => {
  const log = { group: 'g', end: { timeline: 3, lsn: 100n }, timelineStart: 50n };
  const codeOf = (timeline: number, lsn: bigint): string => {
    const result = checkPosition({ timeline, lsn }, log);
    return result.isErr() ? result.error.reason : 'held';
  };
  assert.is(codeOf(3, 100n), 'held');
  assert.is(codeOf(3, 101n), 'beyond-log');
  assert.is(codeOf(4, 1n), 'beyond-log');
  assert.is(codeOf(2, 50n), 'held');
  assert.is(codeOf(2, 51n), 'lost-at-promotion');
  assert.is(codeOf(1, 51n), 'held');
});

function lookUp(table: SessionPositionTable, now: number): HomeNodeAnswer {
  const answer = table.handle({ type: 'look-up', session: NAME }, now);
  if (answer.type !== 'found') throw new TypeError('not a look-up answer');
  return answer.answer;
}

test('the records of a home node count as incomplete until the session idle timeout has passed since its start', () => {
  const table = new SessionPositionTable({ startedAt: 0, sessionIdleTimeoutMs: 1000 });
  assert.not(lookUp(table, 999).complete);
  assert.ok(lookUp(table, 1000).complete);
});

test('an early eviction makes the table incomplete for the session idle timeout', () => {
  const table = new SessionPositionTable({
    startedAt: 0,
    sessionIdleTimeoutMs: 1000,
    maxBytes: 400,
  });
  for (let index = 0; index < 5; index += 1) {
    const session = { tenant: 'bureau', sessionId: `other-${index}` };
    const positions = [{ group: 'orders', position: POSITION }];
    table.handle({ type: 'record', session, positions }, 5000 + index);
  }
  assert.ok(table.sizeBytes <= 400);
  assert.is(table.sessionCount, 1);
  assert.not(lookUp(table, 5500).complete);
  assert.ok(lookUp(table, 6003).complete);
  assert.is(table.sessionCount, 1);
  lookUp(table, 6004);
  assert.is(table.sessionCount, 0);
});

function answer(lsn: bigint | undefined, complete: boolean): HomeNodeAnswer {
  const positions = new Map(lsn === undefined ? [] : [['orders', { timeline: 1, lsn }]]);
  return { positions, complete };
}

test('a quorum of home nodes determines a position; with fewer it stays unknown', () => {
  const known = (answers: readonly HomeNodeAnswer[]): bigint | 'unknown' => {
    const requirement = requirementFor(combineAnswers(answers, 3), 'orders');
    return requirement.type === 'unknown' ? 'unknown' : requirement.position.lsn;
  };
  assert.is(known([]), 'unknown');
  assert.is(known([answer(7n, true)]), 'unknown');
  assert.is(known([answer(7n, true), answer(undefined, false)]), 'unknown');
  assert.is(known([answer(7n, true), answer(undefined, true)]), 7n);
  assert.is(known([answer(7n, false), answer(9n, false)]), 9n);
  assert.is(known([answer(undefined, true), answer(undefined, true)]), 'unknown');
});

test('the three highest-ranked nodes are home nodes, and a write is released once two of them have recorded it', () => {
  const rank = (_key: string, nodes: readonly string[]): string[] => [...nodes].sort();
  assert.equal(homeNodesOf(NAME, ['d', 'b', 'a', 'c'], rank), ['a', 'b', 'c']);
  assert.not(isRecorded(1, 3));
  assert.ok(isRecorded(2, 3));
  assert.ok(isRecorded(1, 1));
  assert.not(isRecorded(0, 0));
});

test('beyond the limit the least recently used groups are unknown, not untouched', () => {
  const written = ['orders', 'ledger', 'stock', 'orders'].reduce(
    (state, group, index) =>
      observe(state, group, { timeline: 1, lsn: BigInt(index + 1) }, 'confirmed-primary'),
    freshSession(),
  );
  assert.is(limitGroups(written, 3), written);
  const limited = limitGroups(written, 2);
  assert.equal([...limited.groups.keys()], ['stock', 'orders']);
  assert.equal(requirementFor(limited, 'ledger'), { type: 'unknown' });
  assert.equal(requirementFor(limited, 'never used'), { type: 'unknown' });
  const { position } = requirementFor(limited, 'orders') as { position: Position };
  assert.equal(position, { timeline: 1, lsn: 4n });
});

test.run();
