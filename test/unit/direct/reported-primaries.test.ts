/** A peer's report of primaries replaces older records, but never makes a primary trusted. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { InstanceEntry } from '../../../src/direct/contract.js';
import {
  type RecordedPrimaries,
  ReportedPrimaries,
} from '../../../src/direct/snapshots/reported-primaries.js';

const SERVICE = 'orders';

function instance(id: string): InstanceEntry {
  const place = { service: SERVICE, host: '10.0.0.1', port: 80, zone: 'a', slots: 3 };
  return { id, ...place, draining: false, role: 'primary' };
}

/** A node's records; with `isPermitted` it trusts the primary, since no promotion can bypass the node. */
function recorded(revision: number, primary: string | undefined, isPermitted: boolean) {
  const view: RecordedPrimaries = {
    recordsRevision: revision,
    watchesPrimaries: false,
    onChange: () => {},
    primaryOf: () => (primary === undefined ? undefined : instance(primary)),
    mayTrustPrimary: (_service, _now, asked) =>
      isPermitted && primary !== undefined && (asked === undefined || asked === primary),
    confirmPrimary: () => Promise.resolve(false),
    judgeCommits: async () => undefined,
    judgeWrite: async () => 'unknown' as const,
    acknowledgedPosition: () => Promise.resolve(undefined),
    isChanging: () => false,
    reportPrimaryFailure: () => {},
    reportPrimarySuccess: () => {},
    liveNodeCount: () => 1,
    ownerRoster: () => undefined,
  };
  return new ReportedPrimaries(view, instance, () => 0);
}

function part(revision: number, instanceId: string) {
  return { revision, primaries: [{ service: SERVICE, instanceId }] };
}

test('how long a primary has been silent is passed on with its failure', () => {
  const reported: unknown[][] = [];
  const view = {
    recordsRevision: 0,
    reportPrimaryFailure: (...report: unknown[]) => reported.push(report),
  } as unknown as RecordedPrimaries;
  new ReportedPrimaries(view, instance, () => 0).reportPrimaryFailure(SERVICE, 100, 'commit', 400);
  assert.equal(reported, [[SERVICE, 100, 'commit', 400]]);
});

test('without records the newest that was told is the primary, and it is not trusted', () => {
  const view = recorded(0, undefined, false);
  assert.is(view.primaryOf(SERVICE), undefined);
  assert.is(view.describe([SERVICE]), undefined);
  view.update(part(7, 'i-1'));
  view.update(part(6, 'i-2'));
  assert.is(view.primaryOf(SERVICE)?.id, 'i-1');
  assert.is(view.mayTrustPrimary(SERVICE, 0), false);
  assert.is(view.mayTrustPrimary(SERVICE, 0, 'i-1'), false);
  assert.equal(view.describe([SERVICE]), part(7, 'i-1'));
});

test('records that are as new bind', () => {
  const view = recorded(7, 'i-1', false);
  view.update(part(7, 'i-2'));
  assert.is(view.primaryOf(SERVICE)?.id, 'i-1');
  assert.equal(view.describe([SERVICE]), part(7, 'i-1'));
});

test('records bind a node that no promotion can pass by, whatever is told', () => {
  const view = recorded(7, 'i-1', true);
  view.update(part(9, 'i-2'));
  assert.is(view.primaryOf(SERVICE)?.id, 'i-1');
  assert.is(view.mayTrustPrimary(SERVICE, 0), true);
  assert.is(view.mayTrustPrimary(SERVICE, 0, 'i-2'), false);
});

test('of a node that was cut off, what is told is newer than its records', () => {
  const view = recorded(7, 'i-1', false);
  view.update(part(9, 'i-2'));
  assert.is(view.primaryOf(SERVICE)?.id, 'i-2');
  assert.equal(view.describe([SERVICE]), part(9, 'i-2'));
});

test.run();
