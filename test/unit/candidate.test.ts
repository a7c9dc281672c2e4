/** Which members are proven to have every acknowledged commit, given their responses. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type MemberObservation,
  membersWithAllCommits,
} from '../../src/core/promotion/candidate.js';

interface Observed {
  readonly lsn?: bigint;
  readonly stopped?: boolean;
  readonly confirmed?: boolean;
}

interface KnownPositions {
  /** End of the log at the latest acknowledged commit. */
  readonly lsn?: bigint;
  /** Position that replicas have received for certain. */
  readonly replicatedLsn?: bigint;
  readonly oldPrimary?: MemberObservation;
}

function observation(
  id: string,
  { lsn, stopped = true, confirmed = false }: Observed,
): MemberObservation {
  const place = { host: '10.0.0.1', port: 5000, zone: 'a' };
  return {
    entry: { id, service: 'orders', ...place, slots: 3, draining: false, role: 'replica' },
    received: lsn === undefined ? undefined : { timeline: 4, lsn },
    isStopped: lsn !== undefined && stopped,
    isRegistered: true,
    isReachable: lsn !== undefined,
    isConfirmed: confirmed,
  };
}

const SILENT = observation('silent', {});

function provenIds(
  replicas: readonly MemberObservation[],
  successor?: MemberObservation,
  { lsn, replicatedLsn, oldPrimary }: KnownPositions = {},
): string[] {
  const question = {
    oldPrimary,
    successor,
    acknowledged: lsn === undefined ? undefined : { timeline: 4, lsn },
    replicated: replicatedLsn === undefined ? undefined : { timeline: 4, lsn: replicatedLsn },
    syncReplicas: 1,
    acceptsAny: false,
    isProofDisabled: false,
  };
  return membersWithAllCommits({ replicas, ...question }).map(({ entry }) => entry.id);
}

test('with an unresponsive member nothing is proven without the old primary or its successor', () => {
  assert.equal(provenIds([observation('held', { lsn: 9n }), SILENT]), []);
});

test("a held successor at the old primary's address proves which members have the old primary's log", () => {
  const successor = observation('successor', { lsn: 9n });
  const replicas = [
    successor,
    observation('same', { lsn: 9n }),
    observation('behind', { lsn: 8n }),
    SILENT,
  ];
  assert.equal(provenIds(replicas, successor), ['successor', 'same']);
});

test('a successor that is not held, or lacks records that another member has, proves nothing', () => {
  const notHeld = observation('successor', { lsn: 9n, stopped: false });
  assert.equal(provenIds([notHeld, SILENT], notHeld), []);
  const empty = observation('successor', { lsn: 0n });
  assert.equal(provenIds([empty, observation('held', { lsn: 9n }), SILENT], empty), []);
});

test('held members that lack an acknowledged commit prove nothing until all are confirmed', () => {
  const empty = observation('empty', { lsn: 0n });
  const behind = observation('behind', { lsn: 8n });
  assert.equal(provenIds([empty, behind], undefined, { lsn: 9n }), []);
  assert.equal(provenIds([empty, behind], undefined, { lsn: 8n }), ['behind']);
  const confirmed = observation('empty', { lsn: 0n, confirmed: true });
  assert.equal(provenIds([confirmed, behind], undefined, { lsn: 9n }), []);
  const all = [confirmed, observation('behind', { lsn: 8n, confirmed: true })];
  assert.equal(provenIds(all, undefined, { lsn: 9n }), ['behind']);
});

test('the end of a log that lacks an acknowledged commit is not that of the old primary', () => {
  const replica = observation('replica', { lsn: 8n });
  const empty = { oldPrimary: observation('old', { lsn: 0n }), lsn: 8n };
  assert.equal(provenIds([replica, SILENT], undefined, empty), []);
  const whole = { oldPrimary: observation('old', { lsn: 8n }), lsn: 8n };
  assert.equal(provenIds([replica, SILENT], undefined, whole), ['old', 'replica']);
  const successor = observation('successor', { lsn: 7n });
  assert.equal(provenIds([successor, SILENT], successor, { lsn: 8n }), []);
});

/** A departed member that is back, and that this leader can't reach, may have counted towards that commit. */
test('members that lack a position that replicas have received prove nothing, however well confirmed', () => {
  const replicas = [
    observation('first', { lsn: 7n, confirmed: true }),
    observation('second', { lsn: 6n, confirmed: true }),
  ];
  assert.equal(provenIds(replicas, undefined, { lsn: 9n, replicatedLsn: 8n }), []);
  assert.equal(provenIds(replicas, undefined, { lsn: 9n, replicatedLsn: 7n }), ['first']);
  const oldPrimary = observation('old', { lsn: 7n, confirmed: true });
  assert.equal(provenIds(replicas, undefined, { replicatedLsn: 8n, oldPrimary }), []);
});

test.run();
