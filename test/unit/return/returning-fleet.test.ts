/** Which fleets connect to every instance by themselves, so that they fit beside the connections they left. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RESERVED_CONNECTIONS } from '../../../src/core/ownership/connection-sharing.js';
import { FleetPublisher } from '../../../src/core/promotion/fleet-publisher.js';
import { DEFAULT_PROMOTION_TIMINGS } from '../../../src/core/promotion/options.js';
import type { FleetRecord } from '../../../src/core/promotion/records.js';
import { PromotionRuntime } from '../../../src/core/promotion/runtime.js';
import {
  LARGEST_FLEET_WITHOUT_OWNERS,
  largestReturningMesh,
} from '../../../src/core/return/returning-fleet.js';

const RUNS = { seed: 20261203, numRuns: 500 };
const limits = fc.integer({ min: 1, max: 1000 });

test('a mesh larger than a small fleet fits twice beside the reserved connections', () => {
  fc.assert(
    fc.property(limits, (maxConnections) => {
      const nodes = largestReturningMesh(maxConnections);
      const isSmall = nodes <= LARGEST_FLEET_WITHOUT_OWNERS;
      assert.ok(isSmall || 2 * nodes + RESERVED_CONNECTIONS <= maxConnections);
    }),
    RUNS,
  );
});

test('a mesh is never larger than the connections of an instance, and a small one only for their sake', () => {
  fc.assert(
    fc.property(limits, (maxConnections) => {
      const nodes = largestReturningMesh(maxConnections);
      assert.ok(nodes <= maxConnections);
      assert.ok(nodes >= Math.min(maxConnections, LARGEST_FLEET_WITHOUT_OWNERS));
    }),
    RUNS,
  );
});

test('no larger mesh fits twice', () => {
  fc.assert(
    fc.property(limits, (maxConnections) => {
      const more = largestReturningMesh(maxConnections) + 1;
      assert.ok(2 * more + RESERVED_CONNECTIONS > maxConnections);
    }),
    RUNS,
  );
});

const MAX_CONNECTIONS = 46;

/** What the leader of so many nodes publishes; `largestDirectFleet` as an operator sets it. */
function publishedBy(nodes: number, largestDirectFleet?: number): FleetRecord | undefined {
  const runtime = new PromotionRuntime({
    ...{ nodeName: 'n0', incarnation: 'i', timings: DEFAULT_PROMOTION_TIMINGS },
    ...{ random: () => 0.5, largestDirectFleet },
  });
  const live = Array.from({ length: nodes }, (_, index) => {
    return { nodeId: `n${index}`, zone: 'a', host: `10.0.0.${index}`, port: 7455, linkMbps: 10 };
  });
  let published: FleetRecord | undefined;
  const store = {
    begunAt: 0,
    liveNodes: () => nodes,
    reachableNodes: () => live,
    possibleReaders: () => live,
    publishedFleet: () => published,
    publishFleet: (record: FleetRecord) => {
      published = record;
    },
  };
  const services = [{ name: 'orders', maxConnections: MAX_CONNECTIONS, syncReplicas: 1 }];
  new FleetPublisher(runtime, store, () => services).publish(() => {});
  return published;
}

test('the leader gives owners to a fleet that would not fit beside the connections it left', () => {
  assert.is(publishedBy(LARGEST_FLEET_WITHOUT_OWNERS)?.owners, undefined);
  assert.is(publishedBy(36)?.owners?.ownersPerInstance, 2);
});

test('an operator who sets the size of a mesh is followed', () => {
  assert.is(publishedBy(36, MAX_CONNECTIONS)?.owners, undefined);
});

test.run();
