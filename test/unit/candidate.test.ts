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
}

function observation(id: string, { lsn, stopped = true }: Observed): MemberObservation {
  const place = { host: '10.0.0.1', port: 5000, zone: 'a' };
  return {
    entry: { id, service: 'orders', ...place, slots: 3, draining: false, role: 'replica' },
    received: lsn === undefined ? undefined : { timeline: 4, lsn },
    isStopped: lsn !== undefined && stopped,
    isRegistered: true,
    isReachable: lsn !== undefined,
  };
}

const SILENT = observation('silent', {});

function provenIds(
  replicas: readonly MemberObservation[],
  successor?: MemberObservation,
): string[] {
  const question = {
    oldPrimary: undefined,
    successor,
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

test.run();
