/**
 * Assigns keepers: nodes that grant permits for parts of the tenants' quotas. Each part has one keeper; a tenant's
 * quota is split over three parts, so that most of it stays available while one part has no keeper. A part gets
 * another keeper only after the previous keeper's lease has expired at the store: until then, both could grant the
 * same quota.
 */
import { areSameRosters, type ReachableNode } from '../ownership/owner-roster.js';
import type { Milliseconds } from '../units.js';

/** Number of parts; the loss of a keeper leaves every fourth tenant two thirds of its quota for some seconds. */
export const QUOTA_PARTS = 12;
/**
 * Parts over which the quota of one tenant is split. A store that rejects a third of the nodes removes all keepers of
 * every ninth tenant with two parts, of every 27th with three; each additional part makes the buckets smaller.
 */
export const PARTS_PER_TENANT = 3;

/**
 * A keeper continues for this time after its lease has expired on its own clock. During a store outage no lease is
 * renewed, but callers rely on a node for 3 s (0.6 of the documented bound of revocation); a lease covers 0.8 to 1.5 s
 * of that. A longer grace period delays the replacement of keepers that the store rejects: with 2.2 s, two parts per
 * tenant and a store that rejected a third of 83 nodes, 3,300 operations within 5 s found no keeper.
 */
export const KEEPER_GRACE_MS: Milliseconds = 1000;
/**
 * Time between when the leader sees a keeper's lease expire and when it assigns another keeper. The lease expires at
 * the store 500 ms later than on the keeper's clock, so that the old keeper, with its grace period, has stopped 300
 * ms before.
 */
export const KEEPER_REPLACEMENT_DELAY_MS: Milliseconds = 800;
/** Time after which a new leader assigns the first keepers: while a fleet starts, most nodes are still unknown. */
export const LEADER_WARMUP_MS: Milliseconds = 3000;

/** The keeper of each part; the index is the number of the part. */
export type QuotaKeepers = readonly ReachableNode[];

/** A node that may become a keeper. */
export interface KeeperCandidate extends ReachableNode {
  readonly linkMbps: number;
}

/**
 * The keepers after `previous`. A keeper is retained while its node is live; otherwise its parts go to the nodes with
 * the fewest parts, then with the fewest in their zone, then with the fastest link, since all nodes send requests to
 * keepers.
 */
export function assignKeepers(
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
    const previousKeeper = previous[part];
    const retained = previousKeeper && byId.get(previousKeeper.nodeId);
    const { linkMbps: _linkMbps, ...keeper } = retained ?? leastLoaded(live, counts, zoneCounts);
    if (retained === undefined) {
      counts.set(keeper.nodeId, (counts.get(keeper.nodeId) ?? 0) + 1);
      zoneCounts.set(keeper.zone, (zoneCounts.get(keeper.zone) ?? 0) + 1);
    }
    return keeper;
  });
}

function leastLoaded(
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

/**
 * Offsets from the first part of a tenant to its other parts, in several patterns, so that few tenants share all three
 * parts and lose them together.
 */
const PART_OFFSETS: readonly (readonly number[])[] = [
  [1, 5],
  [2, 7],
  [3, 4],
  [5, 8],
  [4, 10],
];

/** The parts that a tenant's quota is split over. */
export function partsOf(tenantHash: number): readonly number[] {
  const first = tenantHash % QUOTA_PARTS;
  const pattern = Math.floor(tenantHash / QUOTA_PARTS) % PART_OFFSETS.length;
  const offsets = PART_OFFSETS[pattern] ?? [];
  return [first, ...offsets.map((offset) => (first + offset) % QUOTA_PARTS)];
}

/** Whether the node is the keeper of the part. */
export function isKeeperOfPart(
  keepers: QuotaKeepers | undefined,
  part: number,
  nodeId: string,
): boolean {
  return keepers?.[part]?.nodeId === nodeId;
}

/** Whether both assign the same nodes to the same parts. */
export function areSameKeepers(left: QuotaKeepers = [], right: QuotaKeepers = []): boolean {
  return areSameRosters(left, right);
}
