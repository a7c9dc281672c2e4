/** Which fleets fit beside the connections that they left open, and which nodes connect through owners after a restart. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RESERVED_CONNECTIONS } from '../../../src/core/ownership/connection-sharing.js';
import { FleetPublisher } from '../../../src/core/promotion/fleet-publisher.js';
import { DEFAULT_PROMOTION_TIMINGS } from '../../../src/core/promotion/options.js';
import {
  decodeRecord,
  type FleetRecord,
  parseFleetRecord,
} from '../../../src/core/promotion/records.js';
import { PromotionRuntime } from '../../../src/core/promotion/runtime.js';
import {
  isReturning,
  MAX_SMALL_FLEET_NODES,
  maxFleetWithoutReturnOwners,
} from '../../../src/core/return/returning-fleet.js';

const RUNS = { seed: 20261203, numRuns: 500 };
const limits = fc.integer({ min: 1, max: 1000 });

test('the largest fleet that restarts without owners, if larger than a small fleet, fits twice beside the reserved connections', () => {
  fc.assert(
    fc.property(limits, (maxConnections) => {
      const nodes = maxFleetWithoutReturnOwners(maxConnections);
      const isSmall = nodes <= MAX_SMALL_FLEET_NODES;
      assert.ok(isSmall || 2 * nodes + RESERVED_CONNECTIONS <= maxConnections);
    }),
    RUNS,
  );
});

test('a fleet without return owners never exceeds the connection limit of an instance, and is smaller than a small fleet only because of that limit', () => {
  fc.assert(
    fc.property(limits, (maxConnections) => {
      const nodes = maxFleetWithoutReturnOwners(maxConnections);
      assert.ok(nodes <= maxConnections);
      assert.ok(nodes >= Math.min(maxConnections, MAX_SMALL_FLEET_NODES));
    }),
    RUNS,
  );
});

test('no larger fleet fits twice', () => {
  fc.assert(
    fc.property(limits, (maxConnections) => {
      const more = maxFleetWithoutReturnOwners(maxConnections) + 1;
      assert.ok(2 * more + RESERVED_CONNECTIONS > maxConnections);
    }),
    RUNS,
  );
});

const MAX_CONNECTIONS = 46;

/** What the leader publishes for this number of nodes; `largestDirectFleet` as an operator sets it. */
function publishedBy(
  nodes: number,
  largestDirectFleet?: number,
  before?: FleetRecord,
): FleetRecord | undefined {
  const runtime = new PromotionRuntime({
    ...{ nodeName: 'n0', incarnation: 'i', timings: DEFAULT_PROMOTION_TIMINGS },
    ...{ random: () => 0.5, largestDirectFleet },
  });
  const live = Array.from({ length: nodes }, (_, index) => {
    return { nodeId: `n${index}`, zone: 'a', host: `10.0.0.${index}`, port: 7455, linkMbps: 10 };
  });
  let published = before;
  const store = {
    leadingSince: 0,
    countLiveNodes: () => nodes,
    reachableNodes: () => live.map(({ linkMbps: _linkMbps, ...node }) => node),
    readerCandidates: () => live,
    publishedFleet: () => published,
    publishFleet: (record: FleetRecord) => {
      published = record;
    },
  };
  const services = [{ name: 'orders', maxConnections: MAX_CONNECTIONS, syncReplicas: 1 }];
  new FleetPublisher(runtime, store, () => services).publish(() => {});
  return published;
}

test('a fleet that would not fit beside the connections it left open has owners for restarted nodes', () => {
  assert.is(publishedBy(MAX_SMALL_FLEET_NODES)?.returnOwners, undefined);
  const fleet = publishedBy(36);
  assert.is(fleet?.owners, undefined);
  assert.is(fleet?.returnOwners?.ownersPerInstance, 2);
  assert.is(fleet?.returnOwners?.nodes.length, 36);
});

test('the owners stay published while the nodes that lost power are not counted', () => {
  const before = publishedBy(36);
  const after = publishedBy(4, undefined, before);
  assert.is(after?.returnOwners?.ownersPerInstance, 2);
});

test('a fleet that always has owners connects through them after a restart', () => {
  const fleet = publishedBy(36, 23);
  assert.is(fleet?.owners?.ownersPerInstance, 2);
  assert.is(fleet?.returnOwners, undefined);
});

test('the published settings are parsed as they were written', () => {
  const fleet = publishedBy(36);
  const entry = { key: 'k', value: JSON.stringify(fleet), createRevision: 1, modRevision: 1 };
  assert.equal(decodeRecord(entry, parseFleetRecord)?.returnOwners, fleet?.returnOwners);
});

test('a process that replaces another uses the return owners while old connections may exist, each process for a slightly different time', () => {
  const replacing = { startedAt: 1000, isFirstStart: false, jitter: 0 };
  assert.ok(isReturning(replacing, 4499));
  assert.not(isReturning(replacing, 4500));
  assert.ok(isReturning({ ...replacing, jitter: 0.9 }, 5399));
  assert.not(isReturning({ ...replacing, jitter: 0.9 }, 5400));
  assert.not(isReturning({ ...replacing, isFirstStart: true }, 1000));
});

test.run();
