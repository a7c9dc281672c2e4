/**
 * Which nodes keep the tenants' quotas. There are some parts, each kept by one node; a tenant's quota is split over two
 * of them, so that half of it is there while a part has no keeper. A part goes to another node only once the lease of
 * its keeper is over at the store: until then the keeper may give out what the other one would give once more.
 */
import { type ReachableNode, sameRoster } from '../ownership/owner-roster.js';
import type { Milliseconds } from '../units.js';

/** Parts; the loss of a node leaves every sixth tenant with half of its quota for some seconds. */
export const QUOTA_PARTS = 12;
/** Parts over which the quota of one tenant is split. */
export const PARTS_PER_TENANT = 2;

/**
 * A keeper goes on for so long after its lease may be over at the store, and is replaced no sooner than somewhat later.
 * While the store is away no keeper's lease is renewed: callers rely on a node for three seconds then (0.6 of the bound
 * of revocation, users' pages), of which its lease covers 0.8 s at least.
 */
export const KEEPER_GRACE_MS: Milliseconds = 2200;
/** From when the leader finds a keeper's lease over until it names another one. */
export const KEEPER_REPLACED_MS: Milliseconds = 3000;
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

/** The parts that a tenant's quota is split over. */
export function partsOf(tenantHash: number): readonly number[] {
  const first = tenantHash % QUOTA_PARTS;
  const step = 1 + (Math.floor(tenantHash / QUOTA_PARTS) % (QUOTA_PARTS - 1));
  return [first, (first + step) % QUOTA_PARTS];
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
  return sameRoster(left, right);
}
