import pg from 'pg';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEPLOYMENTS } from '../../bench/deployments.js';
import {
  collectCommits,
  collectElections,
  type InstanceLog,
  NoSurvivingLogError,
} from '../../bench/history/collect.js';
import type { RequestRecord } from '../../bench/history/model.js';
import { measureFailoverGap } from '../../bench/load/failover-gap.js';
import { computeFigures } from '../../bench/load/figures.js';
import { isTokenRefused, toAttemptFailure, toConnectFailure } from '../../bench/load/outcome.js';
import { retryDelayMs } from '../../bench/load/retry-policy.js';
import { isInBurst, planRequests } from '../../bench/load/schedule.js';
import { type AttemptPlan, planAttempt } from '../../bench/load/statements.js';
import { requestRecord } from '../support/request-record.js';

const TRUST = DEPLOYMENTS.trust;
const SCHEDULE = {
  deployment: TRUST,
  seed: 5,
  durationMs: 20_000,
  requestsPerSecond: 200,
  sessions: 30,
};

test('the shares of each deployment sum to one', () => {
  for (const { kinds } of Object.values(DEPLOYMENTS)) {
    const sum = kinds.reduce((total, { requestFraction }) => total + requestFraction, 0);
    assert.ok(Math.abs(sum - 1) < 1e-9);
  }
});

test('a schedule depends only on its seed, and has bursts, skew and the configured shares', () => {
  const planned = planRequests(SCHEDULE);
  assert.equal(planRequests(SCHEDULE), planned);
  assert.not.equal(planRequests({ ...SCHEDULE, seed: 6 }), planned);
  const inBurst = planned.filter(({ offsetMs }) => isInBurst(offsetMs)).length;
  const burstRate = inBurst / (4 * 0.4);
  const calmRate = (planned.length - inBurst) / (20 - 4 * 0.4);
  assert.ok(burstRate / calmRate > 2.3 && burstRate / calmRate < 3.7, `${burstRate / calmRate}`);
  const unlocks = planned.filter(({ kind }) => kind.kind === 'unlock').length;
  assert.ok(Math.abs(unlocks / planned.length - 0.2) < 0.03);
  const mostWanted = planned.filter(({ keyRank }) => keyRank === 0).length;
  assert.ok(mostWanted / planned.length > 0.08);
  const moves = planned.filter((request) => request.changesProxy).length;
  assert.ok(moves > 0.03 * planned.length && moves < 0.07 * planned.length);
});

function planOf(operation: string): AttemptPlan {
  const kinds = [...DEPLOYMENTS.bureau.kinds, ...TRUST.kinds];
  const kind = kinds.find((candidate) => candidate.operation === operation);
  assert.ok(kind);
  const deployment = Object.values(DEPLOYMENTS).find(({ kinds: own }) => own.includes(kind));
  assert.ok(deployment);
  const base = {
    deployment,
    kind,
    attemptId: 'x-try1',
    onceKey: 'x',
    keyRank: 999,
    remainingMs: 120,
  };
  return planAttempt({ ...base, ownRow: undefined });
}

test('statements that may run only once contain their key, ranges stay within the rows, and transactions write two rows of their own', () => {
  const unlock = planOf('insert-unlock').statements[0];
  assert.match(unlock?.text ?? '', /meadowstack_once='x'/);
  assert.match(unlock?.text ?? '', /meadowstack_kind='unlock'/);
  assert.match(unlock?.text ?? '', /meadowstack_deadline_ms='150'/);
  const glossary = planOf('read-glossary').statements[0];
  assert.equal(glossary?.values, [981, 'x-try1', 1000]);
  assert.match(glossary?.text ?? '', /meadowstack_stale_ms='5000'/);
  const hire = planOf('insert-hire');
  assert.ok(hire.isTransaction);
  assert.equal(hire.effectRows, ['hires/x-try1', 'audit/x-try1']);
});

function databaseError(code: string, detail?: string, hint?: string): pg.DatabaseError {
  return Object.assign(new pg.DatabaseError('message', 0, 'error'), { code, detail, hint });
}

test('outcome, code and retry delay are parsed from an error', () => {
  const refused = toAttemptFailure(
    databaseError('57P03', 'MS-NOT-RUN-NO-PRIMARY: not-run', 'retry after 30 ms'),
  );
  assert.equal(refused, {
    ending: 'answered',
    outcome: 'not-run',
    errorCode: 'MS-NOT-RUN-NO-PRIMARY',
    retryAfterMs: 30,
  });
  assert.is(toAttemptFailure(databaseError('23505', 'MS-ALREADY-DONE: done')).outcome, 'done');
  assert.is(
    toAttemptFailure(databaseError('23505', 'Key (id)=(1) already exists.')).outcome,
    'failed',
  );
  assert.is(toAttemptFailure(databaseError('08007')).outcome, 'unknown');
  assert.is(toAttemptFailure(databaseError('57P01')).ending, 'terminated');
  const fatal = (detail: string) =>
    toAttemptFailure(Object.assign(databaseError('57P03', detail), { severity: 'FATAL' })).ending;
  assert.is(fatal('MS-NOT-RUN-OWNER-STOPPING: not-run'), 'terminated');
  assert.is(fatal('MS-UNKNOWN-OWNER-LOST: unknown'), 'cut');
  const badToken = toConnectFailure(databaseError('28000', 'MS-SESSION-TOKEN-KEY: not-run'));
  assert.ok(isTokenRefused(badToken));
  assert.is(badToken.outcome, 'not-run');
  assert.is(toConnectFailure(new Error('refused')).errorCode, 'CONNECT');
  assert.is(toAttemptFailure(new Error('Connection terminated unexpectedly')).ending, 'cut');
});

test('a caller retries only safe requests, after the suggested delay, within its deadline, a few times', () => {
  const plan = planOf('insert-unlock');
  const delayOf = (changes: Partial<RequestRecord>, attempts = 1, retried = plan) =>
    retryDelayMs({
      record: requestRecord(changes),
      plan: retried,
      attemptCount: attempts,
      deadlineAt: 1000,
      jitter: 0,
    });
  assert.is(delayOf({ outcome: 'done' }), undefined);
  assert.is(delayOf({ outcome: 'not-run', retryAfterMs: 30 }), 30);
  assert.is(delayOf({ outcome: 'not-run', retryAfterMs: 2000 }), undefined);
  assert.is(delayOf({ outcome: 'not-run' }, 4), undefined);
  assert.is(delayOf({ outcome: 'not-run', errorCode: 'MS-UNSUPPORTED' }), undefined);
  assert.is(delayOf({ outcome: 'unknown' }), 0);
  assert.is(delayOf({ outcome: 'unknown' }, 1, planOf('insert-hire')), undefined);
  assert.is(delayOf({ outcome: 'failed' }), undefined);
  assert.is(delayOf({ outcome: 'failed', errorCode: 'MS-TRANSACTION-ABORTED' }), 0);
});

test('the failover gap lies between the successes around a failure', () => {
  const writes = [100, 200, 900, 950, 3000].map((endedAt) => requestRecord({ endedAt }));
  const noise = [
    requestRecord({ endedAt: 500, access: 'read' }),
    requestRecord({ endedAt: 500, group: 'other' }),
    requestRecord({ endedAt: 500, outcome: 'unknown' }),
  ];
  const gap = (at: number) =>
    measureFailoverGap([...writes, ...noise], { group: 'g1', at }, 20_000);
  assert.equal([gap(250).gapMs, gap(250).ended], [2050, true]);
  assert.is(measureFailoverGap(writes.slice(0, 4), { group: 'g1', at: 250 }, 20_000).gapMs, 700);
  assert.equal([gap(4000).gapMs, gap(4000).ended], [17_000, false]);
});

test('figures count requests by their last attempt, and latency from the intended time', () => {
  const requests = [
    requestRecord({ logicalId: 'a', outcome: 'not-run', intendedAt: 0, sentAt: 0, endedAt: 10 }),
    requestRecord({ logicalId: 'a', sentAt: 20, intendedAt: 0, endedAt: 400 }),
    requestRecord({ logicalId: 'b', intendedAt: 0, endedAt: 1600 }),
    requestRecord({ logicalId: 'c', kind: 'hire', outcome: 'unknown' }),
    requestRecord({ logicalId: 'd', kind: 'dock-lookup', access: 'read', servedBy: 'replica' }),
    requestRecord({ logicalId: 'e', kind: 'dock-lookup', access: 'read', servedBy: 'primary' }),
  ];
  const figures = computeFigures({
    deployment: TRUST,
    seed: 1,
    policy: 'ours',
    requests,
    failures: [],
    violations: [],
    nonMonotonicReads: 0,
    connectionsOpened: 3,
    endedAt: 2000,
  });
  assert.is(figures.requests, 5);
  assert.equal(figures.outcomes, { done: 4, notRun: 0, unknown: 1, failed: 0 });
  assert.equal(figures.serviceByKind, { unlock: 0.5, hire: 0, 'dock-lookup': 1 });
  assert.is(figures.weightedService, 0.5714);
  assert.is(figures.amplification, 1.2);
  assert.is(figures.replicaReadShare, 0.5);
  assert.is(figures.eligibleReplicaReadShare, null);
  const unlock = figures.latencyMs.byKind.unlock;
  assert.ok(unlock && Math.abs(unlock.p50 - 400) < 1 && Math.abs(unlock.max - 1600) < 2);
});

function log(changes: Partial<InstanceLog>): InstanceLog {
  const base = { instance: 'i1', isPrimary: false, timeline: 1, entries: [], discarded: [] };
  return { ...base, events: [], ...changes };
}

test('commits survive if the last primary has them, others are recorded as lost', () => {
  const entry = (timeline: number, lsn: string, key: string) => ({
    timeline,
    lsn,
    committedAtMs: 5,
    keys: [`${key} put`, 'audit/old delete', 'orders create'],
  });
  const shared = entry(1, '0/10', 'orders/a');
  const logs = [
    log({ isPrimary: true, timeline: 1, entries: [shared, entry(1, '0/20', 'orders/b')] }),
    log({
      instance: 'i2',
      isPrimary: true,
      timeline: 2,
      entries: [shared, entry(2, '0/30', 'orders/c')],
      discarded: [entry(1, '0/18', 'orders/d')],
      events: [{ event: 'elected', timeline: 2, atMs: 77 }],
    }),
  ];
  const commits = collectCommits('g', logs);
  const fates = new Map(commits.map(({ rows, survived }) => [rows.join(), survived]));
  assert.equal(Object.fromEntries(fates), {
    'orders/a': true,
    'orders/b': false,
    'orders/c': true,
    'orders/d': false,
  });
  assert.equal(collectElections('g', logs), [{ group: 'g', instance: 'i2', timeline: 2, at: 77 }]);
  assert.throws(
    () => collectCommits('g', []),
    (error: unknown) => error instanceof NoSurvivingLogError,
  );
});

test.run();
