/**
 * The nodes that may own instances, as the leader publishes them. Bounded, since every node reads the
 * list; spread over the zones, since an instance's owners should be in its zone; and members stay while
 * they live, so that the list changes only when one of them is lost.
 */
import type { ZoneName } from '../request.js';

/** Members of a roster: enough owners for some thirty instances, in a record of a few kilobytes. */
export const ROSTER_SIZE = 64;

/** A node that others can reach. */
export interface ReachableNode {
  readonly nodeId: string;
  readonly zone: ZoneName;
  readonly host: string;
  readonly port: number;
}

/** The roster with the number of owners that each instance has. */
export interface OwnerRoster {
  readonly ownersPerInstance: number;
  readonly nodes: readonly ReachableNode[];
}

/** The roster that follows `previous`, of these live nodes. */
export function nextRoster(
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
  const staying = new Map(previous.map((node) => [node.nodeId, node]));
  const isStaying = (node: ReachableNode): boolean => sameNode(staying.get(node.nodeId), node);
  return [...zones.values()].flatMap((members) => {
    const kept = members.filter(isStaying);
    const others = members.filter((node) => !isStaying(node));
    return [...kept, ...others].slice(0, perZone).sort(compareNodes);
  });
}

/** Whether two rosters list the same nodes at the same addresses, in the same order. */
export function sameRoster(
  left: readonly ReachableNode[],
  right: readonly ReachableNode[],
): boolean {
  return (
    left.length === right.length &&
    left.every((node, index) => sameNode(node, right[index] as ReachableNode))
  );
}

/** Whether both name the same owners; none is the same as none. */
export function sameOwners(left: OwnerRoster | undefined, right: OwnerRoster | undefined): boolean {
  if (left === undefined || right === undefined) return left === right;
  const isSameCount = left.ownersPerInstance === right.ownersPerInstance;
  return isSameCount && sameRoster(left.nodes, right.nodes);
}

function sameNode(left: ReachableNode | undefined, right: ReachableNode): boolean {
  if (left === undefined) return false;
  const isSamePlace = left.host === right.host && left.port === right.port;
  return left.nodeId === right.nodeId && left.zone === right.zone && isSamePlace;
}

function compareNodes(left: ReachableNode, right: ReachableNode): number {
  if (left.nodeId === right.nodeId) return 0;
  return left.nodeId < right.nodeId ? -1 : 1;
}
