import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CHECKERS, checkHistory, countViolations, PROMISES } from '../../bench/checkers/index.js';
import { findNonMonotonicReads } from '../../bench/checkers/session-reads.js';
import type { PromiseName } from '../../bench/checkers/violation.js';
import {
  type AnswerRecord,
  type CommitRecord,
  EMPTY_HISTORY,
  type History,
  type RequestRecord,
  type TransactionRecord,
} from '../../bench/history/model.js';
import { requestRecord, WHOLE_ANSWER } from '../support/request-record.js';

function commit(rows: readonly string[], changes: Partial<CommitRecord> = {}): CommitRecord {
  const position = { timeline: 1, lsn: BigInt(rows.join().length) };
  return { group: 'g1', position, committedAt: 105, rows, survived: true, ...changes };
}

function history(changes: Partial<History>): History {
  return { ...EMPTY_HISTORY, endedAt: 100_000, ...changes };
}

/** Reasons that one checker finds; no other checker may find anything. */
function reasonsOf(promise: PromiseName, bad: Partial<History>): string[] {
  const found = checkHistory(history(bad));
  assert.ok(found.every((violation) => violation.promise === promise));
  return CHECKERS[promise](history(bad)).map((violation) => violation.reason);
}

const WROTE = requestRecord({ wrote: [{ key: 'docks/7', version: 4 }] });

function readAt(
  sentAt: number,
  version: number,
  changes: Partial<RequestRecord> = {},
): RequestRecord {
  const saw = [{ key: 'docks/7', version }];
  return requestRecord({ attemptId: `read-${sentAt}`, access: 'read', sentAt, saw, ...changes });
}

test('a read that misses a write of its own session is found', () => {
  const promise = 'sessionReadsOwnWrites';
  assert.equal(reasonsOf(promise, { requests: [WROTE, readAt(200, 3)] }), ['own-write-not-seen']);
  assert.equal(reasonsOf(promise, { requests: [WROTE, readAt(200, 0)] }), ['own-write-not-seen']);
  const afterOthers = [WROTE, readAt(200, 9), readAt(300, 3)];
  assert.equal(reasonsOf(promise, { requests: afterOthers }), ['own-write-not-seen']);
  const moved = [WROTE, readAt(200, 3, { proxy: 'p2' })];
  assert.equal(reasonsOf(promise, { requests: moved }), ['own-write-not-seen']);
});

test('reads of other sessions or groups, and earlier reads, are no violation', () => {
  const requests = [
    readAt(50, 1),
    WROTE,
    readAt(200, 4),
    readAt(300, 3, { sessionId: 's2' }),
    readAt(300, 3, { group: 'g2' }),
    readAt(400, 0, { outcome: 'failed' }),
  ];
  assert.equal(checkHistory(history({ requests })), []);
});

test('reads that return an older state are found, and are no violation of a promise', () => {
  const requests = [WROTE, readAt(200, 9), readAt(300, 8), readAt(400, 9)];
  assert.equal(checkHistory(history({ requests })), []);
  assert.is(findNonMonotonicReads(history({ requests })).length, 1);
});

const ACKED = requestRecord({ effectRow: 'unlocks/r1' });
const ELECTED = { group: 'g1', instance: 'i2', timeline: 2, at: 104 };

test('an acknowledgement by a replaced primary, and one of a lost write, are found', () => {
  const promise = 'noAckByReplacedPrimary';
  const discarded = commit(['unlocks/r1'], { survived: false });
  const onReplaced = { requests: [ACKED], commits: [discarded], elections: [ELECTED] };
  assert.equal(reasonsOf(promise, onReplaced), ['ran-on-replaced-primary']);
  const later = { ...onReplaced, elections: [{ ...ELECTED, at: 106 }] };
  assert.equal(reasonsOf(promise, later), ['acknowledged-write-lost']);
  assert.equal(reasonsOf(promise, { requests: [ACKED] }), ['acknowledged-write-lost']);
  const doneEarlier = requestRecord({ ...ACKED, errorCode: 'MS-ALREADY-DONE' });
  assert.equal(reasonsOf(promise, { requests: [doneEarlier] }), ['acknowledged-write-lost']);
});

test('acknowledged writes in the surviving log, also from an earlier attempt, are no violation', () => {
  const first = requestRecord({ ...ACKED, outcome: 'unknown' });
  const retry = requestRecord({
    attemptId: 'r1~2',
    logicalId: 'r1',
    effectRow: 'unlocks/r1~2',
    errorCode: 'MS-ALREADY-DONE',
  });
  const commits = [commit(['unlocks/r1'])];
  assert.equal(checkHistory(history({ requests: [first, retry], commits })), []);
  assert.equal(checkHistory(history({ requests: [ACKED], commits, elections: [ELECTED] })), []);
});

function transaction(
  attemptId: string,
  changes: Partial<TransactionRecord> = {},
): TransactionRecord {
  const rows = [`hires/${attemptId}a`, `hires/${attemptId}b`];
  return { attemptId, tenant: 'trust', group: 'g1', rows, outcome: 'done', ...changes };
}

test('mixed, split and partial transactions are found', () => {
  const promise = 'transactionsNeverMixed';
  const transactions = [transaction('t1'), transaction('t2', { tenant: 'bureau' })];
  const mixed = [commit(['hires/t1a', 'hires/t1b', 'hires/t2a', 'hires/t2b'])];
  assert.equal(reasonsOf(promise, { transactions, commits: mixed }), [
    'transactions-in-one-commit',
  ]);
  const split = [commit(['hires/t1a']), commit(['hires/t1b', 'docks/7'])];
  const one = { transactions: [transaction('t1')] };
  assert.equal(reasonsOf(promise, { ...one, commits: split }), ['transaction-split']);
  const half = [commit(['hires/t1a'])];
  const incomplete = ['acknowledged-transaction-incomplete'];
  assert.equal(reasonsOf(promise, { ...one, commits: half }), incomplete);
});

test('whole transactions and rolled back ones are no violation', () => {
  const transactions = [transaction('t1'), transaction('t2', { outcome: 'failed' })];
  const commits = [commit(['hires/t1a', 'docks/7', 'hires/t1b'])];
  assert.equal(checkHistory(history({ transactions, commits })), []);
});

test('responses to other requests, incomplete responses and repeated ones are found', () => {
  const promise = 'ownWholeAnswer';
  const withAnswer = (changes: Partial<AnswerRecord>): Partial<History> => ({
    requests: [requestRecord({ answer: { ...WHOLE_ANSWER, ...changes } })],
  });
  assert.equal(reasonsOf(promise, withAnswer({ receivedEchoes: ['e1', 'e2'] })), [
    'foreign-answer',
  ]);
  assert.equal(reasonsOf(promise, withAnswer({ receivedRows: 0 })), ['incomplete-answer']);
  assert.equal(reasonsOf(promise, withAnswer({ receivedRows: 2 })), ['incomplete-answer']);
  assert.equal(reasonsOf(promise, withAnswer({ answerCount: 2 })), ['repeated-answer']);
  const unknown = requestRecord({
    outcome: 'unknown',
    answer: { ...WHOLE_ANSWER, receivedRows: 0 },
  });
  assert.equal(checkHistory(history({ requests: [unknown] })), []);
});

test('a request that was refused as not run but did run is found, also on a lost timeline', () => {
  const refused = requestRecord({ effectRow: 'unlocks/r1', outcome: 'not-run' });
  for (const survived of [true, false]) {
    const commits = [commit(['unlocks/r1'], { survived })];
    const reasons = reasonsOf('notRunDidNotRun', { requests: [refused], commits });
    assert.equal(reasons, ['not-run-but-ran']);
  }
  assert.equal(checkHistory(history({ requests: [refused] })), []);
});

test('an unlock that ran twice is found, whether by retry or within one attempt', () => {
  const promise = 'atMostOnce';
  const retried = [
    requestRecord({ effectRow: 'unlocks/r1', outcome: 'unknown' }),
    requestRecord({ attemptId: 'r1~2', logicalId: 'r1', effectRow: 'unlocks/r1~2' }),
  ];
  const both = [commit(['unlocks/r1']), commit(['unlocks/r1~2'])];
  assert.equal(reasonsOf(promise, { requests: retried, commits: both }), ['ran-more-than-once']);
  const twice = [commit(['unlocks/r1']), commit(['unlocks/r1'])];
  assert.equal(reasonsOf(promise, { requests: [ACKED], commits: twice }), ['ran-more-than-once']);
  const second = [commit(['unlocks/r1'], { survived: false }), commit(['unlocks/r1~2'])];
  assert.equal(checkHistory(history({ requests: retried, commits: second })), []);
});

test('requests sent to a leaving back end are found', () => {
  const leavings = [{ instance: 'i1', visibleAt: 1000, endedAt: 9000 }];
  const workAt = (instance: string, startedAt: number): Partial<History> => ({
    leavings,
    work: [{ instance, startedAt }],
  });
  const promise = 'leavingBackEndGetsNoWork';
  assert.equal(reasonsOf(promise, workAt('i1', 4001)), ['work-after-leaving']);
  assert.equal(reasonsOf(promise, workAt('i1', 4000)), []);
  assert.equal(reasonsOf(promise, workAt('i1', 9001)), []);
  assert.equal(reasonsOf(promise, workAt('i2', 4001)), []);
});

test('a request that was cut off by a planned stop, and a failed stop, are found', () => {
  const stop = { proxy: 'p1', requestedAt: 105, exitedAt: 500, exitCode: 0 };
  const cut = requestRecord({ ending: 'cut', outcome: 'unknown', answer: undefined });
  const promise = 'plannedStopCutsNothing';
  assert.equal(reasonsOf(promise, { plannedStops: [stop], requests: [cut] }), ['request-cut']);
  const failed = [{ ...stop, exitCode: undefined }];
  assert.equal(reasonsOf(promise, { plannedStops: failed }), ['stop-failed']);
  const harmless = [
    requestRecord({ ...cut, proxy: 'p2' }),
    requestRecord({ ...cut, sentAt: 10, endedAt: 20 }),
    requestRecord({ ...cut, ending: 'terminated' }),
    requestRecord({}),
  ];
  assert.equal(checkHistory(history({ plannedStops: [stop], requests: harmless })), []);
});

test('a configuration that is applied late, never or reverted is found', () => {
  const promise = 'configurationInForce';
  const proxyLives = [{ proxy: 'p1', servingFrom: 0, servingUntil: undefined }];
  const acceptedConfigurations = [{ revision: 8, acceptedAt: 1000 }];
  const seen = (...samples: readonly (readonly [number, number])[]): Partial<History> => ({
    proxyLives,
    acceptedConfigurations,
    configurationSamples: samples.map(([at, revision]) => ({ proxy: 'p1', revision, at })),
  });
  assert.equal(reasonsOf(promise, seen([900, 7], [6001, 7], [6500, 8])), ['configuration-late']);
  assert.equal(reasonsOf(promise, seen([900, 7])), ['configuration-never-seen']);
  assert.equal(reasonsOf(promise, seen()), ['configuration-never-seen']);
  assert.equal(reasonsOf(promise, seen([2000, 8], [3000, 7])), ['configuration-reverted']);
  assert.equal(reasonsOf(promise, seen([900, 7], [5900, 9], [7000, 9])), []);
});

test('violations are counted for each of the nine promises', () => {
  const violations = checkHistory(history({ requests: [WROTE, readAt(200, 3), readAt(300, 2)] }));
  const counts = countViolations(violations);
  assert.equal(Object.keys(counts), [...PROMISES]);
  assert.is(counts.sessionReadsOwnWrites, 2);
  assert.is(counts.atMostOnce, 0);
});

test.run();
