/**
 * Which nodes keep the tenants' quotas. There are some parts, each kept by one node; a tenant's quota is split over three
 * of them, so that most of it is there while a part has no keeper. A part goes to another node only once the lease of
 * its keeper is over at the store: until then the keeper may give out what the other one would give once more.
 */
import { areSameRosters, type ReachableNode } from '../ownership/owner-roster.js';
import type { Milliseconds } from '../units.js';

/** Parts; the loss of a node leaves every fourth tenant with two thirds of its quota for some seconds. */
export const QUOTA_PARTS = 12;
/**
 * Parts over which the quota of one tenant is split. A store that turns a third of the nodes away takes all keepers of
 * every ninth tenant with two parts, of every 27th with three; each part more makes buckets smaller.
 */
export const PARTS_PER_TENANT = 3;

/**
 * A keeper goes on for so long after its lease is over by its own clock. While the store is away no lease is renewed, and
 * callers rely on a node for three seconds (0.6 of the bound of revocation, users' pages), of which a lease covers 0.8 to
 * 1.5 s. Longer, and tenants whose keepers alone are turned away by the store wait longer for others: with 2.2 s, two
 * parts and a store that refused a third of 83 nodes, 3,300 operations in 5 s found no keeper to ask (simulated day).
 */
export const KEEPER_GRACE_MS: Milliseconds = 1000;
/**
 * From when the leader finds a keeper's lease over until it names another one. The lease ends at the store 500 ms after
 * it does by the keeper's clock, so that the keeper has stopped 300 ms before.
 */
export const KEEPER_REPLACED_MS: Milliseconds = 800;
/** The first keepers are named once a leader has led for so long: in a fleet that starts, most nodes are unknown. */
export const FIRST_KEEPERS_MS: Milliseconds = 3000;

/** The keeper of each part, by its number. */
export type QuotaKeepers = readonly ReachableNode[];

/** A node that may keep quotas. */
export interface KeeperCandidate extends ReachableNode {
  readonly linkMbps: number;
}

/**
 * The keepers that follow `previous`. A keeper stays while its node lives; its parts go to the nodes with the fewest
 * then, of these to one with a fast link, since all nodes ask it.
 */
export function nextKeepers(
  previous: QuotaKeepers,
  live: readonly KeeperCandidate[],
): QuotaKeepers | undefined {
  if (live.length === 0) return previous.length === 0 ? undefined : previous;
  const byId = new Map(live.map((node) => [node.nodeId, node]));
  const counts = new Map<string, number>();
  for (const { nodeId } of previous) {
    if (byId.has(nodeId)) counts.set(nodeId, (counts.get(nodeId) ?? 0) + 1);
  }
  const zoneCounts = new Map<string, number>();
  for (const { nodeId, zone } of previous) {
    if (byId.has(nodeId)) zoneCounts.set(zone, (zoneCounts.get(zone) ?? 0) + 1);
  }
  return Array.from({ length: QUOTA_PARTS }, (_, part) => {
    const before = previous[part];
    const staying = before && byId.get(before.nodeId);
    const { linkMbps: _linkMbps, ...keeper } = staying ?? fewest(live, counts, zoneCounts);
    if (staying === undefined) {
      counts.set(keeper.nodeId, (counts.get(keeper.nodeId) ?? 0) + 1);
      zoneCounts.set(keeper.zone, (zoneCounts.get(keeper.zone) ?? 0) + 1);
    }
    return keeper;
  });
}

function fewest(
  live: readonly KeeperCandidate[],
  counts: ReadonlyMap<string, number>,
  zoneCounts: ReadonlyMap<string, number>,
): KeeperCandidate {
  const rank = ({ nodeId, zone, linkMbps }: KeeperCandidate): readonly number[] => [
    counts.get(nodeId) ?? 0,
    zoneCounts.get(zone) ?? 0,
    -linkMbps,
  ];
  const [first] = [...live].sort((left, right) => {
    const [leftRank, rightRank] = [rank(left), rank(right)];
    for (const [index, value] of leftRank.entries()) {
      const difference = value - (rightRank[index] ?? 0);
      if (difference !== 0) return difference;
    }
    return left.nodeId < right.nodeId ? -1 : 1;
  });
  return first as KeeperCandidate;
}

/** From the first part of a tenant to its others; no two tenants lose all parts together for long. */
const PART_STEPS: readonly (readonly number[])[] = [
  [1, 5],
  [2, 7],
  [3, 4],
  [5, 8],
  [4, 10],
];

/** The parts that a tenant's quota is split over. */
export function partsOf(tenantHash: number): readonly number[] {
  const first = tenantHash % QUOTA_PARTS;
  const pattern = Math.floor(tenantHash / QUOTA_PARTS) % PART_STEPS.length;
  const steps = PART_STEPS[pattern] ?? [];
  return [first, ...steps.map((step) => (first + step) % QUOTA_PARTS)];
}

/** Whether a node keeps a part by these keepers. */
export function keepsPart(
  keepers: QuotaKeepers | undefined,
  part: number,
  nodeId: string,
): boolean {
  return keepers?.[part]?.nodeId === nodeId;
}

/** Whether both name the same nodes for the same parts. */
export function sameKeepers(left: QuotaKeepers = [], right: QuotaKeepers = []): boolean {
  return areSameRosters(left, right);
}
