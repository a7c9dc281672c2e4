/** Rendezvous hashing: agreement between nodes, zones, balance, and groups moved by a membership change. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { loadHash64 } from '../../src/core/ownership/hash.js';
import { OwnerIndex } from '../../src/core/ownership/owner-index.js';

const SEED = 20261202;
const OWNERS = 2;
const ZONES = ['a', 'b', 'c'];
const hash = await loadHash64();

function zoneOf(member: number): string {
  return ZONES[member % ZONES.length] ?? 'a';
}

function indexOf(members: Iterable<number>, groups: number): OwnerIndex {
  const index = new OwnerIndex(hash, OWNERS);
  for (const member of members) index.addMember({ nodeId: `n${member}`, zone: zoneOf(member) });
  for (let group = 0; group < groups; group += 1) {
    index.setGroup({ group: `g${group}`, zones: ZONES });
  }
  return index;
}

function range(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}

test('owners depend on the members, not on the order in which members joined and left', () => {
  const memberSet = fc.uniqueArray(fc.nat(30), { minLength: 1, maxLength: 20 });
  fc.assert(
    fc.property(memberSet, fc.array(fc.nat(30), { maxLength: 10 }), (members, visitors) => {
      const fresh = indexOf(members, 20);
      const used = indexOf([...members].reverse(), 20);
      for (const visitor of visitors) {
        if (members.includes(visitor)) continue;
        used.addMember({ nodeId: `n${visitor}`, zone: zoneOf(visitor) });
      }
      for (const visitor of visitors) {
        if (!members.includes(visitor)) used.removeMember(`n${visitor}`);
      }
      for (const group of range(20)) {
        assert.equal(used.ownersOf(`g${group}`), fresh.ownersOf(`g${group}`));
      }
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test('members added at once own the same groups as members added one by one', () => {
  const memberSet = fc.uniqueArray(fc.nat(30), { minLength: 1, maxLength: 20 });
  fc.assert(
    fc.property(memberSet, memberSet, (first, second) => {
      const oneByOne = indexOf([...first, ...second], 20);
      const together = indexOf(first, 20);
      const changes = together.addMembers(
        second.map((member) => ({ nodeId: `n${member}`, zone: zoneOf(member) })),
      );
      for (const group of range(20)) {
        assert.equal(together.ownersOf(`g${group}`), oneByOne.ownersOf(`g${group}`));
      }
      assert.is(new Set(changes.map(({ group }) => group)).size, changes.length);
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test('setting a group again changes its owners only if its zones change', () => {
  const index = indexOf(range(9), 1);
  assert.equal(index.setGroup({ group: 'g0', zones: [...ZONES].reverse() }), []);
  const [zone] = ZONES;
  index.setGroup({ group: 'g0', zones: zone === undefined ? [] : [zone] });
  const [owner = ''] = index.ownersOf('g0');
  assert.is(zoneOf(Number(owner.slice(1))), zone);
});

test('owners are distinct members in different zones, preferably those of the group', () => {
  const index = new OwnerIndex(hash, OWNERS);
  for (const member of range(30)) index.addMember({ nodeId: `n${member}`, zone: zoneOf(member) });
  for (const group of range(100)) {
    index.setGroup({ group: `g${group}`, zones: ['b', 'c'] });
    const zones = index.ownersOf(`g${group}`).map((owner) => zoneOf(Number(owner.slice(1))));
    assert.equal([...zones].sort(), ['b', 'c']);
  }
  index.setGroup({ group: 'narrow', zones: ['a'] });
  const zones = index.ownersOf('narrow').map((owner) => zoneOf(Number(owner.slice(1))));
  assert.is(zones[0], 'a');
  assert.is.not(zones[1], 'a');
});

test('with fewer members than owners, all members own the group', () => {
  assert.equal(indexOf([1], 1).ownersOf('g0'), ['n1']);
  assert.equal(indexOf([], 1).ownersOf('g0'), []);
});

test('a new member takes its share of owner places and moves nothing else', () => {
  const groups = 3000;
  const members = 30;
  const index = indexOf(range(members), groups);
  const changes = index.addMember({ nodeId: 'new', zone: 'a' });
  const taken = changes.filter((change) => change.owners.includes('new'));
  assert.is(taken.length, changes.length, 'each change involves the new member');
  for (const { previous, owners } of changes) {
    const replaced = previous.filter((owner) => !owners.includes(owner));
    assert.is(replaced.length, 1, 'one place per group');
  }
  // The minimum is the new member's equal share of all owner places.
  const least = (groups * OWNERS) / (members + 1);
  assert.ok(taken.length < least * 1.25, `${taken.length} places moved, least ${least}`);
  assert.ok(taken.length > least * 0.75, `${taken.length} places moved, least ${least}`);
});

test('the removal of a member moves only the places that it held', () => {
  const index = indexOf(range(30), 3000);
  const held = index.ownedBy('n7').size;
  const changes = index.removeMember('n7');
  assert.is(changes.length, held);
  for (const { previous, owners } of changes) {
    const stayed = previous.filter((owner) => owner !== 'n7');
    assert.ok(stayed.every((owner) => owners.includes(owner)));
  }
});

test('owner places are spread evenly, also those of the first owners, which probe', () => {
  const groups = 3000;
  const index = indexOf(range(30), groups);
  const ownedByMember = range(30).map((member) => index.ownedBy(`n${member}`));
  const mean = (groups * OWNERS) / 30;
  for (const owned of ownedByMember) {
    assert.ok(owned.size > mean * 0.75 && owned.size < mean * 1.25, `${owned.size} of ${mean}`);
    const probed = [...owned.values()].filter((rank) => rank === 0).length;
    assert.ok(probed > mean * 0.3 && probed < mean * 0.7, `${probed} of ${mean / 2}`);
  }
});

test.run();
