/**
 * Selects the nodes that read the store for the others (readers). In a large fleet two nodes watch the store itself,
 * two nodes of each other zone watch through these, and all others through the two of their zone, so that the number
 * of store calls grows neither with the nodes nor with the zones. The leader publishes the readers of all zones; every
 * node derives from them which two watch the store.
 */
import { computeRoster, type ReachableNode } from './owner-roster.js';

/** Two, so that the failure of one causes no delay. */
const READERS_PER_ZONE = 2;
/** Two for the same reason: only if the polls of both fail does another node have to query the store. */
const STORE_READER_COUNT = 2;
/** In a smaller fleet each node reads the store itself, since readers would save few calls. */
export const MIN_FLEET_WITH_READERS = 24;
/** A fleet that has readers keeps them down to this size, since many nodes may restart at once. */
const MIN_FLEET_KEEPING_READERS = 12;

/** A node that may read for others. */
export interface ReaderCandidate extends ReachableNode {
  /** Bandwidth of its network link; 0 if it does not report one. */
  readonly linkMbps: number;
}

/**
 * The new readers, chosen from the live nodes; readers among `previous` are preferred. None in a small fleet. A reader
 * sends each change to all nodes of its zone, and its own callers' traffic waits behind that; so only nodes with the
 * fastest links of their zone are chosen.
 */
export function selectReaders(
  previous: readonly ReachableNode[],
  live: readonly ReaderCandidate[],
  minFleet = MIN_FLEET_WITH_READERS,
): readonly ReachableNode[] {
  const minNodes = previous.length > 0 ? Math.min(minFleet, MIN_FLEET_KEEPING_READERS) : minFleet;
  if (live.length < minNodes) return [];
  const zones = new Set(live.map(({ zone }) => zone));
  const fastest = [...zones].flatMap((zone) =>
    fastestOf(live.filter((node) => node.zone === zone)),
  );
  return computeRoster(previous, fastest, READERS_PER_ZONE * zones.size);
}

/** Nodes of a zone whose links are at least as fast as the slowest of its `READERS_PER_ZONE` fastest. */
function fastestOf(nodes: readonly ReaderCandidate[]): readonly ReachableNode[] {
  const links = nodes.map(({ linkMbps }) => linkMbps).sort((left, right) => right - left);
  const slowest = links[READERS_PER_ZONE - 1] ?? 0;
  return nodes
    .filter(({ linkMbps }) => linkMbps >= slowest)
    .map(({ linkMbps: _linkMbps, ...node }) => node);
}

/** How a node watches the store. */
export type ReadersOfNode =
  /** It watches the store itself, and relays changes to other nodes. */
  | { readonly type: 'self' }
  /** It watches through the two readers of the store, and relays changes to its zone. */
  | { readonly type: 'relay'; readonly readers: readonly ReachableNode[] }
  /** It watches through the readers of its zone. */
  | { readonly type: 'others'; readonly readers: readonly ReachableNode[] };

/** The readers through which a node watches the store. */
export function readersOf(
  node: Pick<ReachableNode, 'nodeId' | 'zone'>,
  readers: readonly ReachableNode[],
): ReadersOfNode {
  const isNode = ({ nodeId }: ReachableNode): boolean => nodeId === node.nodeId;
  const inZone = readers.filter(({ zone }) => zone === node.zone);
  if (!inZone.some(isNode)) return { type: 'others', readers: inZone };
  const ofStore = storeReaders(readers);
  return ofStore.some(isNode) ? { type: 'self' } : { type: 'relay', readers: ofStore };
}

/** The other readers, which a node may use while neither its own readers nor the store serve it. */
export function fallbackReadersOf(
  node: Pick<ReachableNode, 'nodeId' | 'zone'>,
  readers: readonly ReachableNode[],
): readonly ReachableNode[] {
  const own = readersOf(node, readers);
  const followed = own.type === 'self' ? [] : own.readers;
  return readers.filter((reader) => reader.nodeId !== node.nodeId && !followed.includes(reader));
}

/** One of each of the first zones by name, so that the failure of a reader moves no other; two if there is one zone. */
function storeReaders(readers: readonly ReachableNode[]): readonly ReachableNode[] {
  const zones = [...new Set(readers.map(({ zone }) => zone))].sort();
  const firsts = zones.flatMap((zone) => readers.find((reader) => reader.zone === zone) ?? []);
  const others = readers.filter((reader) => !firsts.includes(reader));
  return [...firsts, ...others].slice(0, STORE_READER_COUNT);
}
