/** Limits of a tenant of the direct gateway: the policy from its route template, and its connections to an instance. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type ConnectionPolicy,
  connectionAllowance,
  type InstanceCapacity,
} from '../../src/core/tenancy/allowance.js';
import {
  type ParameterBounds,
  ROUTE_TYPES,
  type RouteTemplates,
  resolveRoutePolicy,
} from '../../src/core/tenancy/route-template.js';
import { ROUTE_TEMPLATES } from '../../src/direct/tenant-templates.generated.js';

const SETTINGS = { seed: 20261202, numRuns: 500 };

const policies: fc.Arbitrary<ConnectionPolicy> = fc.record({
  queueWeight: fc.double({ min: 0.1, max: 100, noNaN: true }),
  maxWaiting: fc.nat(1000),
  inFlightShare: fc.double({ min: 0, max: 1, noNaN: true }),
  inFlightFloor: fc.integer({ min: 1, max: 50 }),
});
const capacities: fc.Arbitrary<InstanceCapacity> = fc.record({
  slots: fc.nat(64),
  nodeCount: fc.integer({ min: 0, max: 40 }),
  connectionLimit: fc.integer({ min: 1, max: 100 }),
  isShared: fc.constant(true),
});
const fields = fc.record({
  priority: fc.nat(100),
  targetLatencyMs: fc.nat(100_000),
  timeoutMs: fc.nat(100_000),
  maxStalenessMs: fc.nat(100_000),
});
const types = fc.constantFrom(...ROUTE_TYPES);

test('a tenant may hold at least one connection, and not all if there are enough', () => {
  fc.assert(
    fc.property(policies, capacities, fc.boolean(), (policy, capacity, isShared) => {
      const { connectionLimit } = capacity;
      const allowance = connectionAllowance(policy, { ...capacity, isShared });
      assert.ok(allowance >= 1);
      if (connectionLimit > (isShared ? 1 : 2)) assert.ok(allowance < connectionLimit);
    }),
    SETTINGS,
  );
});

test('above its floor a tenant is limited to its share of the slots while others use them', () => {
  fc.assert(
    fc.property(policies, capacities, (policy, capacity) => {
      const share = (policy.inFlightShare * capacity.slots) / Math.max(1, capacity.nodeCount);
      assert.ok(connectionAllowance(policy, capacity) <= Math.max(policy.inFlightFloor, share));
      const alone = connectionAllowance(policy, { ...capacity, isShared: false });
      assert.ok(alone >= connectionAllowance(policy, capacity));
      assert.ok(alone >= capacity.connectionLimit - 1);
    }),
    SETTINGS,
  );
});

test('at an owner a tenant is limited to its share of the connections, whatever the number of slots', () => {
  fc.assert(
    fc.property(policies, capacities, (policy, capacity) => {
      const { connectionLimit } = capacity;
      const allowance = connectionAllowance(policy, { ...capacity, isOwner: true });
      const share = Math.floor(policy.inFlightShare * connectionLimit);
      assert.ok(allowance >= Math.min(share, connectionLimit - 1));
      assert.ok(allowance <= Math.max(policy.inFlightFloor, share));
      if (connectionLimit > 1) assert.ok(allowance < connectionLimit);
    }),
    SETTINGS,
  );
});

test('more slots never give fewer connections, and more nodes never give more', () => {
  fc.assert(
    fc.property(policies, capacities, fc.nat(10), (policy, capacity, more) => {
      const allowance = connectionAllowance(policy, capacity);
      const slots = capacity.slots + more;
      assert.ok(connectionAllowance(policy, { ...capacity, slots }) >= allowance);
      const nodeCount = capacity.nodeCount + more;
      assert.ok(connectionAllowance(policy, { ...capacity, nodeCount }) <= allowance);
    }),
    SETTINGS,
  );
});

test('the deployed templates take priority and latency target from the route, and nothing else', () => {
  fc.assert(
    fc.property(types, fields, fields, (type, one, other) => {
      const policy = resolveRoutePolicy(ROUTE_TEMPLATES, type, one);
      assert.is(policy.priority, one.priority);
      assert.is(policy.targetLatencyMs, one.targetLatencyMs);
      assert.is(policy.untriedPatienceMs, one.targetLatencyMs * 0.2);
      const { priority, targetLatencyMs, untriedPatienceMs } = policy;
      const changed = resolveRoutePolicy(ROUTE_TEMPLATES, type, other);
      assert.equal({ ...changed, priority, targetLatencyMs, untriedPatienceMs }, policy);
    }),
    SETTINGS,
  );
});

test('a route field outside the bounds of its parameter is limited to the bound', () => {
  const bounds = fc.tuple(fc.nat(50), fc.nat(50)).map(([first, second]): ParameterBounds => {
    return { minimum: Math.min(first, second), maximum: Math.max(first, second) };
  });
  fc.assert(
    fc.property(types, fields, bounds, (type, route, priority) => {
      const template = ROUTE_TEMPLATES[type];
      const parameters = { ...template.parameters, priority };
      const templates: RouteTemplates = { ...ROUTE_TEMPLATES, [type]: { ...template, parameters } };
      const policy = resolveRoutePolicy(templates, type, route);
      const { minimum = 0, maximum = 0 } = priority;
      assert.ok(policy.priority >= minimum && policy.priority <= maximum);
      const isWithin = route.priority >= minimum && route.priority <= maximum;
      if (isWithin) assert.is(policy.priority, route.priority);
    }),
    SETTINGS,
  );
});

test.run();
