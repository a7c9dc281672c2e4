import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  decodeRecord,
  encodeAcknowledgement,
  parseAcknowledgementRecord,
} from '../../src/core/promotion/records.js';
import { UnlistedMembers } from '../../src/core/promotion/unlisted-members.js';
import type { InstanceEntry } from '../../src/direct/contract.js';

const SERVICE = 'orders';

function entry(id: string, host = id): InstanceEntry {
  const rest = { zone: 'a', slots: 3, draining: false, role: 'replica' } as const;
  return { id, service: SERVICE, host, port: 1, ...rest };
}

function idsOf(unlisted: UnlistedMembers): string[] {
  return unlisted.of(SERVICE).map(({ id }) => id);
}

test('an instance that came and went before any record listed it counts as a member, until a record lists it', () => {
  const unlisted = new UnlistedMembers();
  unlisted.applyRecord(SERVICE, { members: [entry('first')], departed: [] });
  unlisted.updateInstances([entry('first'), entry('late')], 0);
  assert.equal(idsOf(unlisted), [], 'while it is registered');
  unlisted.updateInstances([], 100);
  assert.equal(idsOf(unlisted), ['late']);
  unlisted.applyRecord(SERVICE, { members: [entry('first'), entry('late')], departed: [] });
  assert.equal(idsOf(unlisted), []);
});

test('a member that was removed counts again only if it registers again', () => {
  const unlisted = new UnlistedMembers();
  const removedMember = { members: [], departed: [entry('late')] };
  unlisted.updateInstances([entry('late')], 0);
  unlisted.updateInstances([], 100);
  unlisted.applyRecord(SERVICE, removedMember);
  assert.equal(idsOf(unlisted), []);
  unlisted.updateInstances([entry('late')], 200);
  unlisted.applyRecord(SERVICE, removedMember);
  unlisted.updateInstances([], 300);
  assert.equal(idsOf(unlisted), ['late'], 'the record may be older than its registration');
});

test('a member whose log was taken over by a later instance at its address does not count', () => {
  const unlisted = new UnlistedMembers();
  unlisted.updateInstances([entry('late', 'place')], 0);
  unlisted.updateInstances([entry('later', 'place')], 100);
  assert.equal(idsOf(unlisted), []);
  unlisted.updateInstances([], 200);
  assert.equal(idsOf(unlisted), ['later']);
});

test('an acknowledgement lists unlisted members, and one of an older program version lists none', () => {
  const record = { change: 2, leaseId: '7', end: undefined };
  const decode = (value: string) =>
    decodeRecord(
      { key: 'k', value, createRevision: 1, modRevision: 1 },
      parseAcknowledgementRecord,
    );
  const decoded = decode(encodeAcknowledgement({ ...record, unlisted: [entry('late')] }));
  assert.equal(decoded?.unlisted, [entry('late')]);
  assert.is(decode(encodeAcknowledgement(record))?.unlisted, undefined);
});

test.run();
