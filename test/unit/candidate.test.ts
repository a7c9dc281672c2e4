/** Who may be promoted, by what the members have told. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type MemberObservation,
  membersWithAllCommits,
} from '../../src/core/promotion/candidate.js';

interface Told {
  readonly lsn?: bigint;
  readonly stopped?: boolean;
}

function finding(id: string, { lsn, stopped = true }: Told): MemberObservation {
  const place = { host: '10.0.0.1', port: 5000, zone: 'a' };
  return {
    entry: { id, service: 'orders', ...place, slots: 3, draining: false, role: 'replica' },
    received: lsn === undefined ? undefined : { timeline: 4, lsn },
    isStopped: lsn !== undefined && stopped,
    isRegistered: true,
    isReachable: lsn !== undefined,
  };
}

const SILENT = finding('silent', {});

function certain(replicas: readonly MemberObservation[], successor?: MemberObservation): string[] {
  const question = {
    oldPrimary: undefined,
    successor,
    syncReplicas: 1,
    acceptsAny: false,
    isProofDisabled: false,
  };
  return membersWithAllCommits({ replicas, ...question }).map(({ entry }) => entry.id);
}

test('a silent member leaves no proof without the old primary or its successor', () => {
  assert.equal(certain([finding('held', { lsn: 9n }), SILENT]), []);
});

test("a held successor in place proves who has the old primary's log", () => {
  const successor = finding('successor', { lsn: 9n });
  const replicas = [
    successor,
    finding('same', { lsn: 9n }),
    finding('behind', { lsn: 8n }),
    SILENT,
  ];
  assert.equal(certain(replicas, successor), ['successor', 'same']);
});

test('a successor that is not held, or lacks what another has, proves nothing', () => {
  const loose = finding('successor', { lsn: 9n, stopped: false });
  assert.equal(certain([loose, SILENT], loose), []);
  const empty = finding('successor', { lsn: 0n });
  assert.equal(certain([empty, finding('held', { lsn: 9n }), SILENT], empty), []);
});

test.run();
