/** How the nodes of a direct gateway share an instance's connections, and which nodes own an instance. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type ConnectionSharing,
  connectionsPerOwner,
  ownersPerInstance,
  RESERVED_CONNECTIONS,
  SharingDecision,
} from '../../src/core/ownership/connection-sharing.js';
import { loadHash64 } from '../../src/core/ownership/hash.js';
import {
  type InstanceOwners,
  mayConnect,
  ownersByPreference,
  ownersOf,
} from '../../src/core/ownership/instance-owners.js';
import {
  areSameRosters,
  computeRoster,
  type ReachableNode,
} from '../../src/core/ownership/owner-roster.js';

const SEED = 20261202;
const RUNS = { seed: SEED, numRuns: 300 };
const ZONES = ['a', 'b', 'c'];
const DIRECT: ConnectionSharing = { type: 'direct' };
const SMALL_FLEET_CONFIRMATION_MS = 30_000;
const hash = await loadHash64();

const limits = fc.integer({ min: 16, max: 200 });
const fleets = fc.integer({ min: 1, max: 5000 });
const nodeSets = fc.uniqueArray(fc.nat(400), { minLength: 1, maxLength: 150 });
const instances = fc.record({ id: fc.string(), zone: fc.constantFrom(...ZONES) });

function nodeOf(index: number): ReachableNode {
  const zone = ZONES[index % ZONES.length] ?? 'a';
  return { nodeId: `n${index}`, zone, host: `10.0.0.${index}`, port: 7455 };
}

function holders({ owners, spare }: InstanceOwners): ReachableNode[] {
  return spare === undefined ? [...owners] : [...owners, spare];
}

test('a cluster with a connection for each node connects directly, a larger one through owners', () => {
  fc.assert(
    fc.property(fleets, limits, (liveNodes, maxConnections) => {
      const decided = new SharingDecision().decide(DIRECT, { liveNodes, maxConnections }, 0);
      assert.is(decided.type, liveNodes <= maxConnections ? 'direct' : 'owners');
    }),
    RUNS,
  );
});

test('clusters of 6 to 30 nodes connect directly', () => {
  for (const maxConnections of [32, 34]) {
    for (let liveNodes = 6; liveNodes <= 30; liveNodes += 1) {
      const decided = new SharingDecision().decide(DIRECT, { liveNodes, maxConnections }, 0);
      assert.is(decided.type, 'direct');
    }
  }
});

test('a cluster with owners connects directly only after it has been small for long enough', () => {
  const steps = fc.array(fc.tuple(fc.integer({ min: 1, max: 60 }), fc.nat(12_000)), {
    maxLength: 40,
  });
  fc.assert(
    fc.property(steps, (counts) => {
      const maxConnections = 34;
      const decision = new SharingDecision();
      let sharing: ConnectionSharing = { type: 'owners', ownersPerInstance: 2 };
      let smallSince: number | undefined;
      let now = 0;
      for (const [liveNodes, afterMs] of counts) {
        now += afterMs;
        if (liveNodes > maxConnections - RESERVED_CONNECTIONS) smallSince = undefined;
        else smallSince ??= now;
        sharing = decision.decide(sharing, { liveNodes, maxConnections }, now);
        const mayBeDirect =
          smallSince !== undefined && now - smallSince >= SMALL_FLEET_CONFIRMATION_MS;
        if (sharing.type === 'direct') {
          assert.ok(mayBeDirect);
          return;
        }
        assert.not(mayBeDirect);
      }
    }),
    RUNS,
  );
});

test('without a known limit nothing changes', () => {
  const decision = new SharingDecision();
  const fleet = { liveNodes: 300, maxConnections: undefined };
  assert.equal(decision.decide(DIRECT, fleet, 0), DIRECT);
});

test('the owners by two node lists that differ by one node stay within the limit together', () => {
  fc.assert(
    fc.property(nodeSets, instances, limits, fc.nat(), (set, instance, limit, lost) => {
      const owners = ownersPerInstance(set.length, limit);
      assert.ok(owners >= 2);
      const nodes = set.map(nodeOf);
      const fewer = nodes.filter((_, index) => index !== lost % nodes.length);
      const known = [nodes, fewer].map((roster) => ownersOf(instance, roster, owners, hash));
      const together = new Set(known.flatMap(holders).map(({ nodeId }) => nodeId));
      const held = together.size * connectionsPerOwner(owners, limit);
      assert.ok(held <= limit - RESERVED_CONNECTIONS, `${held} of ${limit}`);
    }),
    RUNS,
  );
});

test('owners are in the zone of the instance if it has enough nodes, and all nodes agree', () => {
  fc.assert(
    fc.property(nodeSets, instances, fc.integer({ min: 2, max: 6 }), (set, instance, count) => {
      const nodes = set.map(nodeOf);
      const known = ownersOf(instance, nodes, count, hash);
      assert.equal(ownersOf(instance, [...nodes].reverse(), count, hash), known);
      const inZone = nodes.filter(({ zone }) => zone === instance.zone).length;
      const ownersInZone = known.owners.filter(({ zone }) => zone === instance.zone).length;
      assert.is(ownersInZone, Math.min(count, inZone));
      assert.is(known.owners.length, Math.min(count, nodes.length));
      for (const node of nodes) {
        assert.is(mayConnect(known, node.nodeId), holders(known).includes(node));
        const preferred = ownersByPreference(known, node.nodeId, hash);
        assert.equal(new Set(preferred), new Set(holders(known)));
        assert.is(preferred.at(-1), known.spare ?? preferred.at(-1));
      }
    }),
    { seed: SEED, numRuns: 100 },
  );
});

test('the loss of a node replaces only that node as owner', () => {
  fc.assert(
    fc.property(nodeSets, instances, fc.nat(), (set, instance, lost) => {
      const nodes = set.map(nodeOf);
      const gone = nodes[lost % nodes.length] as ReachableNode;
      const before = holders(ownersOf(instance, nodes, 3, hash));
      const remaining = nodes.filter((node) => node !== gone);
      const after = holders(ownersOf(instance, remaining, 3, hash));
      const kept = before.filter((node) => node !== gone);
      assert.equal(after.slice(0, kept.length), kept);
    }),
    RUNS,
  );
});

test('the roster is bounded, spread over the zones, and keeps its live members', () => {
  fc.assert(
    fc.property(nodeSets, nodeSets, (first, second) => {
      const size = 30;
      const before = computeRoster([], first.map(nodeOf), size);
      const live = second.map(nodeOf);
      const after = computeRoster(before, live, size);
      const perZone = size / ZONES.length;
      for (const zone of ZONES) {
        const inZone = live.filter((node) => node.zone === zone).length;
        const zones = new Set(live.map((node) => node.zone)).size;
        const bound = Math.ceil(size / zones);
        const members = after.filter((node) => node.zone === zone).length;
        assert.is(members, Math.min(inZone, bound));
        if (zones === ZONES.length) assert.ok(members <= perZone);
      }
      const liveIds = new Set(live.map(({ nodeId }) => nodeId));
      const staying = before.filter(({ nodeId }) => liveIds.has(nodeId));
      for (const node of staying) assert.ok(after.some(({ nodeId }) => nodeId === node.nodeId));
      assert.ok(areSameRosters(computeRoster(after, [...live].reverse(), size), after));
    }),
    RUNS,
  );
});

test('a node that restarts at another address is listed there', () => {
  const before = computeRoster([], [nodeOf(1), nodeOf(2)]);
  const moved = { ...nodeOf(1), host: '10.9.9.9' };
  assert.equal(computeRoster(before, [moved, nodeOf(2)]), [moved, nodeOf(2)]);
});

test.run();
