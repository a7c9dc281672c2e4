/**
 * Which nodes read the store for the others. In a large fleet two nodes follow it, two of each other zone follow these,
 * and all others the two of their zone, so that its calls grow neither with the nodes nor with the zones. The readers of
 * the zones are named by the leader; every node derives from them which two follow the store.
 */
import { nextRoster, type ReachableNode } from './owner-roster.js';

/** Two, so that the loss of one delays nothing. */
const READERS_PER_ZONE = 2;
/** The same: both polls must be lost before anyone else has to ask the store. */
const READERS_OF_STORE = 2;
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

/** Through whom a node follows the store. */
export type ReadersOfNode =
  /** It follows the store itself, and tells others. */
  | { readonly type: 'self' }
  /** It follows readers of other zones, and tells its own. */
  | { readonly type: 'relay'; readonly readers: readonly ReachableNode[] }
  | { readonly type: 'others'; readonly readers: readonly ReachableNode[] };

/** The readers that a node follows. */
export function readersOf(
  node: Pick<ReachableNode, 'nodeId' | 'zone'>,
  readers: readonly ReachableNode[],
): ReadersOfNode {
  const isNode = ({ nodeId }: ReachableNode): boolean => nodeId === node.nodeId;
  const inZone = readers.filter(({ zone }) => zone === node.zone);
  if (!inZone.some(isNode)) return { type: 'others', readers: inZone };
  const ofStore = readersOfStore(readers);
  return ofStore.some(isNode) ? { type: 'self' } : { type: 'relay', readers: ofStore };
}

/** The readers that a node may follow besides, while neither its own nor the store serve it. */
export function furtherReadersOf(
  node: Pick<ReachableNode, 'nodeId' | 'zone'>,
  readers: readonly ReachableNode[],
): readonly ReachableNode[] {
  const own = readersOf(node, readers);
  const followed = own.type === 'self' ? [] : own.readers;
  return readers.filter((reader) => reader.nodeId !== node.nodeId && !followed.includes(reader));
}

/** One of each of the first zones by name, so that the loss of a reader moves no other; two where there is one zone. */
function readersOfStore(readers: readonly ReachableNode[]): readonly ReachableNode[] {
  const zones = [...new Set(readers.map(({ zone }) => zone))].sort();
  const firsts = zones.flatMap((zone) => readers.find((reader) => reader.zone === zone) ?? []);
  const others = readers.filter((reader) => !firsts.includes(reader));
  return [...firsts, ...others].slice(0, READERS_OF_STORE);
}
