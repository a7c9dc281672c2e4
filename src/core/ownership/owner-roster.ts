/**
 * The roster: the nodes that may own instances, as published by the leader. It is bounded, since every
 * node reads it; spread over the zones, since an instance's owners should be in its zone; and nodes stay
 * on it while they are live, so that it changes only when one of them fails.
 */
import type { ZoneName } from '../request.js';

/** Number of nodes on a roster: enough owners for some thirty instances, in a record of a few kilobytes. */
export const ROSTER_SIZE = 64;

/** A node and the address at which other nodes reach it. */
export interface ReachableNode {
  readonly nodeId: string;
  readonly zone: ZoneName;
  readonly host: string;
  readonly port: number;
}

/** The roster, and the number of owners per instance. */
export interface OwnerRoster {
  readonly ownersPerInstance: number;
  readonly nodes: readonly ReachableNode[];
}

/** The new roster, chosen from the live nodes; in each zone, nodes of the `previous` roster are preferred. */
export function computeRoster(
  previous: readonly ReachableNode[],
  live: readonly ReachableNode[],
  size: number = ROSTER_SIZE,
): readonly ReachableNode[] {
  const zones = new Map<ZoneName, ReachableNode[]>();
  for (const node of [...live].sort(compareNodes)) {
    const zone = zones.get(node.zone);
    if (zone === undefined) zones.set(node.zone, [node]);
    else zone.push(node);
  }
  const perZone = Math.ceil(size / Math.max(1, zones.size));
  const previousById = new Map(previous.map((node) => [node.nodeId, node]));
  const isRetained = (node: ReachableNode): boolean =>
    isSameNode(previousById.get(node.nodeId), node);
  return [...zones.values()].flatMap((members) => {
    const kept = members.filter(isRetained);
    const others = members.filter((node) => !isRetained(node));
    return [...kept, ...others].slice(0, perZone).sort(compareNodes);
  });
}

/** Whether two rosters list the same nodes at the same addresses, in the same order. */
export function areSameRosters(
  left: readonly ReachableNode[],
  right: readonly ReachableNode[],
): boolean {
  return (
    left.length === right.length &&
    left.every((node, index) => isSameNode(node, right[index] as ReachableNode))
  );
}

/** Whether two rosters and their numbers of owners are the same; true if both are undefined. */
export function areSameOwners(
  left: OwnerRoster | undefined,
  right: OwnerRoster | undefined,
): boolean {
  if (left === undefined || right === undefined) return left === right;
  const isSameCount = left.ownersPerInstance === right.ownersPerInstance;
  return isSameCount && areSameRosters(left.nodes, right.nodes);
}

function isSameNode(left: ReachableNode | undefined, right: ReachableNode): boolean {
  if (left === undefined) return false;
  const isSameAddress = left.host === right.host && left.port === right.port;
  return left.nodeId === right.nodeId && left.zone === right.zone && isSameAddress;
}

function compareNodes(left: ReachableNode, right: ReachableNode): number {
  if (left.nodeId === right.nodeId) return 0;
  return left.nodeId < right.nodeId ? -1 : 1;
}
