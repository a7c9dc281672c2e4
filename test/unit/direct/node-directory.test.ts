/** Members whose registrations are gone, in the snapshots that nodes exchange. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { NO_VERSIONS } from '../../../src/core/directory/snapshot.js';
import type { InstanceEntry } from '../../../src/direct/contract.js';
import type { DirectoryFollower } from '../../../src/direct/directory-follower.js';
import type { DirectGateway } from '../../../src/direct/gateway.js';
import { type MemberList, NodeDirectory } from '../../../src/direct/snapshots/node-directory.js';
import type { ReportedPrimaries } from '../../../src/direct/snapshots/reported-primaries.js';
import type { Logger } from '../../../src/observability/logger.js';

const PRIMARIES = { revision: 7, primaries: [{ service: 'orders', instanceId: 'present' }] };

function instance(id: string): InstanceEntry {
  const place = { service: 'orders', host: '10.0.0.1', port: 80, zone: 'a', slots: 3 };
  return { id, ...place, draining: false, role: 'replica' };
}

interface MemberReport {
  readonly ids: readonly string[];
  readonly isWhole: boolean;
}

/** A node that has used one departed member; the records list the members in `counted`. */
function nodeWith(counted: readonly string[], memberList?: MemberList) {
  const memberReports: MemberReport[] = [];
  const follower = {
    configuration: () => ({ version: 1, services: [{ name: 'orders' }] }),
    configurationPart: () => ({ version: 1, text: '{}' }),
    instances: () => new Map([['present', instance('present')]]),
    instancesRevision: () => 5,
    lastConfirmedAt: () => 100,
    configurationProvenAt: () => 100,
    adoptInstances: () => {},
  } as unknown as DirectoryFollower;
  const gateway = {
    departedMembers: () => [instance('used-once')],
    addDeparted: () => {},
    primaryTerms: () => [],
    recordPrimaryTerms: () => {},
  } as unknown as DirectGateway;
  const primaries = {
    revision: 5,
    describe: () => PRIMARIES,
    update: () => {},
  } as unknown as ReportedPrimaries;
  const directory = new NodeDirectory({
    ...{ follower, gateway, primaries, logger: { info: () => {} } as unknown as Logger },
    isStoreHealthy: () => true,
    memberList,
    peers: () => [],
    countedMembers: () => counted.map(instance),
    setReportedMembers: (members, isWhole) =>
      memberReports.push({ ids: members.map(({ id }) => id), isWhole }),
    now: () => 200,
  });
  return { directory, memberReports };
}

test('a node reports the departed members that the records name, each of them once', () => {
  const { directory } = nodeWith(['present', 'left-before', 'used-once']);
  const departed = directory.describe(NO_VERSIONS)?.instances?.departed ?? [];
  assert.equal(departed.map(({ id }) => id).sort(), ['left-before', 'used-once']);
});

test('only the report of a node that has read the records counts as the complete list of members', () => {
  const { directory, memberReports } = nodeWith([]);
  const instances = { revision: 9, instances: [instance('present')], departed: [instance('left')] };
  const snapshot = { configuration: undefined, instances, terms: [], ageMs: 0 };
  directory.adopt({ ...snapshot, primaries: undefined }, 200);
  directory.adopt({ ...snapshot, primaries: PRIMARIES }, 200);
  assert.equal(memberReports, [
    { ids: ['left', 'present'], isWhole: false },
    { ids: ['left', 'present'], isWhole: true },
  ]);
});

test("a peer's report on its members is passed on with those that are not registered", () => {
  const reports: object[] = [];
  const { directory } = nodeWith(['left-before'], {
    describe: () => ({
      hasStore: true,
      listAgeMs: 20,
      outages: [{ node: 'a', ageMs: 5 }],
      fleetNodes: 4,
    }),
    record: (report, departed) => reports.push({ ...report, ids: departed.map(({ id }) => id) }),
  });
  const described = directory.describe(NO_VERSIONS);
  assert.is(described?.members?.listAgeMs, 20);
  if (described !== undefined) directory.recordMemberList(described, 150);
  const ids = ['left-before', 'used-once'];
  assert.equal(reports, [
    { requestedAt: 150, listAgeMs: 20, outages: [{ node: 'a', ageMs: 5 }], fleetNodes: 4, ids },
  ]);
});

test.run();
