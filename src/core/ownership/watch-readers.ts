/**
 * Which nodes read the store for the others. In a large fleet two nodes of each zone follow it and pass
 * changes on, so that its calls grow with the zones and not with the nodes. Named by the leader.
 */
import { nextRoster, type ReachableNode } from './owner-roster.js';

/** Two, so that the loss of one delays nothing. */
const READERS_PER_ZONE = 2;
/** Below this size each node reads the store by itself: there is little to spare. */
export const SMALLEST_READER_FLEET = 24;
/** A fleet that has readers keeps them down to this size: many nodes may restart at once. */
const SMALLEST_FLEET_KEPT = 12;

/** A node that may read for others. */
export interface ReaderCandidate extends ReachableNode {
  /** What its link carries; 0 if it does not tell. */
  readonly linkMbps: number;
}

/**
 * The readers that follow `previous`, of these live nodes; none in a small fleet. Each change goes from a reader to all
 * nodes of its zone, and what its own callers say waits behind that: nodes with the fastest links go first.
 */
export function nextReaders(
  previous: readonly ReachableNode[],
  live: readonly ReaderCandidate[],
  smallestFleet = SMALLEST_READER_FLEET,
): readonly ReachableNode[] {
  const smallest =
    previous.length > 0 ? Math.min(smallestFleet, SMALLEST_FLEET_KEPT) : smallestFleet;
  if (live.length < smallest) return [];
  const zones = new Set(live.map(({ zone }) => zone));
  const fastest = [...zones].flatMap((zone) =>
    fastestOf(live.filter((node) => node.zone === zone)),
  );
  return nextRoster(previous, fastest, READERS_PER_ZONE * zones.size);
}

/** Nodes of a zone whose links are no slower than those of its fastest few. */
function fastestOf(nodes: readonly ReaderCandidate[]): readonly ReachableNode[] {
  const links = nodes.map(({ linkMbps }) => linkMbps).sort((left, right) => right - left);
  const slowest = links[READERS_PER_ZONE - 1] ?? 0;
  return nodes
    .filter(({ linkMbps }) => linkMbps >= slowest)
    .map(({ linkMbps: _linkMbps, ...node }) => node);
}

/** Through whom a node follows the store: itself if it is a reader, else the readers of its zone. */
export type ReadersOfNode =
  | { readonly type: 'self' }
  | { readonly type: 'others'; readonly readers: readonly ReachableNode[] };

/** The readers that a node follows. */
export function readersOf(
  node: Pick<ReachableNode, 'nodeId' | 'zone'>,
  readers: readonly ReachableNode[],
): ReadersOfNode {
  const inZone = readers.filter(({ zone }) => zone === node.zone);
  if (inZone.some(({ nodeId }) => nodeId === node.nodeId)) return { type: 'self' };
  return { type: 'others', readers: inZone };
}
