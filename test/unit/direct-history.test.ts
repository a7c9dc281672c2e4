/** The checks of the direct gateway's histories, on histories that violate one rule each. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { DirectLog, RunRecord } from '../../standins/direct/run-log.js';
import { type ClientStatement, checkDirectHistory } from '../support/direct-history.js';

const SERVICE = 'orders';

function clientStatement(
  id: string,
  text: string,
  changes: Partial<ClientStatement> = {},
): ClientStatement {
  const kind = text.startsWith('READ') ? 'read' : text.startsWith('WRITE') ? 'write' : 'commit';
  return {
    ...{ session: 1, attempt: 1, id, text, kind, inTransaction: false, values: {} },
    ...{ service: SERVICE, routeType: 'primary', maxStalenessMs: 0 },
    ...{ sentAt: 10, answeredAt: 20, signature: `sign-${id}`, rows: [] },
    ...changes,
  };
}

function runRecord(id: string, text: string, changes: Partial<RunRecord> = {}): RunRecord {
  const kind = text.startsWith('READ') ? 'read' : text.startsWith('WRITE') ? 'write' : 'commit';
  return {
    ...{
      run: 1,
      service: SERVICE,
      instance: 'i-1',
      account: 'meadowstack',
      connection: 1,
      id,
      text,
      kind,
    },
    ...{ transaction: 0, values: {}, startedAt: 12, position: { term: 1, number: 0 } },
    ...{ rows: [], signature: `sign-${id}` },
    ...changes,
  };
}

function logOf(runs: readonly RunRecord[], changes: Partial<DirectLog> = {}): DirectLog {
  const entries = runs.flatMap(({ committed, run }) => (committed ? [{ ...committed, run }] : []));
  const services = [{ service: SERVICE, syncReplicas: 1, entries }];
  return { runs: [...runs], promotions: [], promotionCalls: [], services, ...changes };
}

function rulesOf(statements: readonly ClientStatement[], log: DirectLog): string[] {
  return checkDirectHistory(statements, log).map(({ rule }) => rule);
}

const COMMITTED = { committed: { term: 1, number: 1 }, committedAt: 15 };
const WROTE = clientStatement('w', 'WRITE k v');
const WRITTEN = runRecord('w', 'WRITE k v', COMMITTED);
const IN_TRANSACTION = { inTransaction: true };

test('a correct history violates no rule', () => {
  const later = { ...IN_TRANSACTION, session: 2, attempt: 3, values: { a: 'b' }, answeredAt: 60 };
  const statements = [
    WROTE,
    clientStatement('r', 'READ k', { attempt: 2, sentAt: 30, answeredAt: 40, rows: ['v'] }),
    clientStatement('t', 'WRITE k w', later),
    clientStatement('c', 'COMMIT', later),
  ];
  const log = logOf([
    WRITTEN,
    runRecord('r', 'READ k', { run: 2, position: { term: 1, number: 1 }, rows: ['v'] }),
    runRecord('t', 'WRITE k w', { run: 3, transaction: 7, connection: 2, values: { a: 'b' } }),
    runRecord('c', 'COMMIT', {
      ...{ run: 4, transaction: 7, connection: 2, values: { a: 'b' } },
      committed: { term: 1, number: 2 },
    }),
  ]);
  assert.equal(checkDirectHistory(statements, log), []);
});

test('MIXED: a success without its signature, with the signature of another statement, or with other rows', () => {
  const read = clientStatement('r', 'READ k', { rows: ['v'] });
  const run = runRecord('r', 'READ k', { rows: ['v'] });
  assert.equal(rulesOf([{ ...read, signature: '-' }], logOf([run])), ['MIXED']);
  assert.equal(rulesOf([{ ...read, rows: ['w'] }], logOf([run])), ['MIXED']);
  const other = clientStatement('q', 'READ k', { attempt: 2, signature: 'sign-r', rows: ['v'] });
  assert.equal(rulesOf([read, other], logOf([run])), ['MIXED']);
});

test('UNASKED: a statement text that was changed, or that no client sent', () => {
  const lost = { ...WROTE, signature: 'none' };
  assert.equal(rulesOf([], logOf([runRecord('-', 'COMMIT', { transaction: 7 })])), ['UNASKED']);
  assert.equal(rulesOf([lost], logOf([runRecord('w', 'WRITE k x')])), ['MIXED', 'UNASKED']);
  const execute = clientStatement('e', 'EXECUTE s1 k v', { kind: 'write', shape: 'q' });
  const executed = (text: string) => logOf([runRecord('e', text, { kind: 'write', shape: 'q' })]);
  assert.equal(rulesOf([execute], executed('EXECUTE renamed k v')), []);
  assert.equal(rulesOf([execute], executed('EXECUTE s1 k w')), ['MIXED', 'UNASKED']);
});

test('PINNED: a statement that ran outside its transaction, in a transaction it does not belong to, or on another connection', () => {
  const first = clientStatement('a', 'READ k', IN_TRANSACTION);
  const second = clientStatement('b', 'READ k', IN_TRANSACTION);
  const runOf = (id: string, transaction: number, connection: number) =>
    runRecord(id, 'READ k', { transaction, connection });
  assert.equal(rulesOf([first], logOf([runOf('a', 0, 1)])), ['PINNED']);
  const alone = clientStatement('a', 'READ k');
  assert.equal(rulesOf([alone], logOf([runOf('a', 7, 1)])), ['PINNED']);
  const moved = logOf([runOf('a', 7, 1), runOf('b', 8, 2)]);
  assert.equal(rulesOf([first, second], moved), ['PINNED']);
  const restarted = [runOf('a', 7, 1), runOf('a', 8, 2), runOf('b', 8, 2)];
  assert.equal(rulesOf([first, second], logOf(restarted)), []);
  const tooLate = [runOf('a', 7, 1), runOf('b', 7, 1), runOf('a', 8, 2)];
  assert.equal(rulesOf([first, second], logOf(tooLate)), ['PINNED']);
  const shared = logOf([runOf('a', 7, 1), runOf('b', 7, 1)]);
  assert.equal(rulesOf([first, { ...second, attempt: 2 }], shared), ['PINNED']);
});

test('PINNED: other session values, another shape, or an unknown prepared statement', () => {
  const valued = clientStatement('a', 'READ k', { values: { zone: 'west' } });
  assert.equal(rulesOf([valued], logOf([runRecord('a', 'READ k')])), ['PINNED']);
  const leaked = runRecord('a', 'READ k', { values: { zone: 'west', more: 'x' } });
  assert.equal(rulesOf([valued], logOf([leaked])), ['PINNED']);
  const shaped = clientStatement('a', 'READ k', { shape: 'q1' });
  assert.equal(rulesOf([shaped], logOf([runRecord('a', 'READ k', { shape: 'q2' })])), ['PINNED']);
  const { signature: _, ...unsigned } = shaped;
  assert.equal(rulesOf([{ ...unsigned, error: 'UNPREPARED' }], logOf([])), ['PINNED']);
});

test('TWICE: a write that took effect twice; a rolled back run does not count', () => {
  const again = runRecord('w', 'WRITE k v', { run: 2, committed: { term: 1, number: 2 } });
  assert.equal(rulesOf([WROTE], logOf([WRITTEN, again])), ['TWICE']);
  const statement = clientStatement('w', 'WRITE k v', IN_TRANSACTION);
  const rolledBack = runRecord('w', 'WRITE k v', { transaction: 7 });
  assert.equal(rulesOf([statement], logOf([rolledBack])), []);
});

test('REFUSED: a committed write that was reported as not run or aborted', () => {
  const { signature: _, ...unsigned } = WROTE;
  assert.equal(rulesOf([{ ...unsigned, error: 'BUSY' }], logOf([WRITTEN])), ['REFUSED']);
  assert.equal(rulesOf([{ ...unsigned, error: 'INDOUBT' }], logOf([WRITTEN])), []);
  const begun = { ...unsigned, ...IN_TRANSACTION, signature: 'sign-w' };
  const commit = { ...clientStatement('c', 'COMMIT', IN_TRANSACTION), error: 'ABORTED' };
  const { signature: __, ...refused } = commit;
  const runs = [
    runRecord('w', 'WRITE k v', { transaction: 7 }),
    runRecord('c', 'COMMIT', { ...COMMITTED, run: 2, transaction: 7 }),
  ];
  assert.equal(rulesOf([begun, refused], logOf(runs)), ['REFUSED']);
});

test('STALE: the writes that a read may miss depend on the route, the session and the time', () => {
  const staleRead = (changes: Partial<ClientStatement>): string[] => {
    const read = clientStatement('r', 'READ k', {
      attempt: 2,
      sentAt: 30,
      answeredAt: 40,
      ...changes,
    });
    return rulesOf([WROTE, read], logOf([WRITTEN, runRecord('r', 'READ k', { run: 2 })]));
  };
  assert.equal(staleRead({}), ['STALE']);
  assert.equal(staleRead({ sentAt: 19 }), [], 'sent before the acknowledgement');
  const bounded = { routeType: 'bounded_staleness', maxStalenessMs: 100 } as const;
  assert.equal(staleRead(bounded), []);
  assert.equal(staleRead({ ...bounded, sentAt: 121 }), ['STALE']);
  const own = { routeType: 'read_your_writes', maxStalenessMs: 100 } as const;
  assert.equal(staleRead(own), ['STALE']);
  assert.equal(staleRead({ ...own, session: 2 }), []);
  assert.equal(staleRead({ ...own, session: 2, sentAt: 121 }), ['STALE']);
});

test('STALE: the first byte of a transaction counts as its start, and a log of an older term lacks the commits of a later one', () => {
  const early = clientStatement('a', 'READ k', { ...IN_TRANSACTION, attempt: 2, sentAt: 5 });
  const late = { ...early, id: 'b', signature: 'sign-b', sentAt: 30 };
  const runs = ['a', 'b'].map((id) => runRecord(id, 'READ k', { transaction: 7, connection: 2 }));
  assert.equal(rulesOf([WROTE, early, late], logOf([WRITTEN, ...runs])), []);
  const inTermTwo = { ...WRITTEN, committed: { term: 2, number: 1 } };
  const read = clientStatement('r', 'READ k', { attempt: 3, sentAt: 30 });
  const atOldPrimary = runRecord('r', 'READ k', { position: { term: 1, number: 9 } });
  assert.equal(rulesOf([WROTE, read], logOf([inTermTwo, atOldPrimary])), ['STALE']);
});

test('ONE: fencing tokens that decrease or have two holders, and commits at an old primary', () => {
  const call = (holder: string, token: number) => {
    return { service: SERVICE, id: 'i-2', holder, token, status: 200, at: 1 };
  };
  const calls = (...promotionCalls: DirectLog['promotionCalls']) =>
    rulesOf([], logOf([], { promotionCalls }));
  assert.equal(calls(call('a', 1), call('a', 1), call('b', 2)), []);
  assert.equal(calls(call('a', 1), call('b', 1)), ['ONE']);
  assert.equal(calls(call('a', 2), call('b', 1)), ['ONE']);
  const promotion = { service: SERVICE, id: 'i-2', leads: 2, term: 1, number: 1, at: 14 };
  const log = logOf([WRITTEN], { promotions: [promotion] });
  assert.equal(rulesOf([WROTE], log), ['ONE']);
  assert.equal(rulesOf([WROTE], { ...log, promotions: [{ ...promotion, at: 16 }] }), []);
});

test('LOST: an acknowledged commit that the newest log lacks, if replication is synchronous', () => {
  const services = [{ service: SERVICE, syncReplicas: 1, entries: [] }];
  assert.equal(rulesOf([WROTE], logOf([WRITTEN], { services })), ['LOST']);
  const asynchronous = [{ service: SERVICE, syncReplicas: 0, entries: [] }];
  assert.equal(rulesOf([WROTE], logOf([WRITTEN], { services: asynchronous })), []);
});

test.run();
