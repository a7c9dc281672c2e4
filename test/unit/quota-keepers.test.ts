/** Assignment of the keepers of the tenants' quotas, and when a part gets another keeper. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEFAULT_PROMOTION_TIMINGS } from '../../src/core/promotion/options.js';
import {
  assignKeepers,
  KEEPER_GRACE_MS,
  KEEPER_REPLACEMENT_DELAY_MS,
  type KeeperCandidate,
  PARTS_PER_TENANT,
  partsOf,
  QUOTA_PARTS,
} from '../../src/core/tenancy/quota-keepers.js';

function nodes(count: number, zones = 3): KeeperCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    ...{ nodeId: `n${index}`, zone: `z${index % zones}`, host: '10.0.0.1', port: index },
    linkMbps: index < 6 ? 140 : 7,
  }));
}

function namesOf(keepers: ReturnType<typeof assignKeepers>): string[] {
  return (keepers ?? []).map(({ nodeId }) => nodeId);
}

test('each part has a keeper, spread over nodes and zones, on fast links first', () => {
  const keepers = assignKeepers([], nodes(83));
  const names = namesOf(keepers);
  assert.is(names.length, QUOTA_PARTS);
  assert.is(new Set(names).size, QUOTA_PARTS);
  assert.equal(names.slice(0, 6).sort(), ['n0', 'n1', 'n2', 'n3', 'n4', 'n5']);
  const perZone = new Map<string, number>();
  for (const { zone } of keepers ?? []) perZone.set(zone, (perZone.get(zone) ?? 0) + 1);
  assert.equal([...perZone.values()], [4, 4, 4]);
});

test('a small fleet keeps several parts on each node', () => {
  const names = namesOf(assignKeepers([], nodes(6)));
  assert.is(names.length, QUOTA_PARTS);
  for (const name of new Set(names)) {
    assert.is(names.filter((other) => other === name).length, QUOTA_PARTS / 6);
  }
});

test('a keeper stays while its node lives, however many nodes join', () => {
  const first = assignKeepers([], nodes(6)) ?? [];
  assert.equal(namesOf(assignKeepers(first, nodes(83))), namesOf(first));
});

test('only the parts of a node that is gone are assigned to others', () => {
  const first = assignKeepers([], nodes(20)) ?? [];
  const gone = first[3]?.nodeId;
  const live = nodes(20).filter(({ nodeId }) => nodeId !== gone);
  const second = namesOf(assignKeepers(first, live));
  for (const [part, name] of namesOf(first).entries()) {
    if (name === gone) assert.not.equal(second[part], gone);
    else assert.is(second[part], name);
  }
});

test('while no node is live the keepers stay assigned', () => {
  const first = assignKeepers([], nodes(6)) ?? [];
  assert.equal(assignKeepers(first, []), first);
  assert.is(assignKeepers([], []), undefined);
});

test('a tenant is divided among different parts, and tenants are distributed over all parts', () => {
  const counts = new Array<number>(QUOTA_PARTS).fill(0);
  for (let hash = 0; hash < 12_000; hash += 1) {
    const parts = partsOf(hash * 2654435761);
    assert.is(new Set(parts).size, PARTS_PER_TENANT);
    assert.is(parts.length, PARTS_PER_TENANT);
    for (const part of parts) counts[part] = (counts[part] ?? 0) + 1;
  }
  for (const count of counts) assert.ok(count > 2500 && count < 3500, String(counts));
});

test('a keeper stops by its own clock before the leader assigns another one', () => {
  const { leaseSeconds, leaseSafetyMarginMs } = DEFAULT_PROMOTION_TIMINGS;
  const leaseMs = leaseSeconds * 1000;
  // Both times count from when the keeper sent a renewal; the store receives it no earlier, and keeps the lease for at
  // least its full duration.
  const stoppedAtMs = leaseMs - leaseSafetyMarginMs + KEEPER_GRACE_MS;
  const replacedAtMs = leaseMs + KEEPER_REPLACEMENT_DELAY_MS;
  assert.ok(stoppedAtMs + 200 <= replacedAtMs);
});

test.run();
