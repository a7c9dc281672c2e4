/**
 * How the nodes of a direct gateway share the connections that one instance accepts. In a small fleet
 * every node connects to every instance itself. Where that would leave less than one connection per
 * node, a few owners of each instance hold its connections, and the other nodes use it through them.
 *
 * The leader alone decides and publishes the decision with the owners: if each node decided, nodes
 * would share by different rules whenever their counts of live nodes differ.
 */
import type { Milliseconds } from '../units.js';

/** Connections of an instance that are reserved for the leader's control calls. */
export const RESERVED_CONNECTIONS = 4;
/** Minimum number of owners per instance, so that one may fail. */
const MIN_OWNERS = 2;
/**
 * Each instance has one more owner per this number of nodes: the nodes' statements pass through the
 * owners, and in a larger fleet more nodes fail at once. With two owners and a spare, a power failure of
 * half of 67 nodes took down all three for one instance in seven.
 */
const NODES_PER_OWNER = 50;
/** With fewer connections, an owner queues statements that the instance could execute. */
const MIN_OWNER_CONNECTIONS = 4;
/**
 * Shares kept free in addition to those of the owners: one for the spare owner, which is used when no
 * owner can be reached, and one for a node that still considers itself an owner after its replacement.
 */
const SPARE_SHARE_COUNT = 2;
/** A fleet counts as small only after it has been small for this time: killed nodes come back. */
const SMALL_FLEET_CONFIRMATION_MS: Milliseconds = 30_000;

/** How an instance's connections are shared among the nodes. */
export type ConnectionSharing =
  /** Every node holds connections of its own. */
  | { readonly type: 'direct' }
  /** Only the owners of an instance hold connections to it. */
  | { readonly type: 'owners'; readonly ownersPerInstance: number };

/** Input of the decision. */
export interface FleetSize {
  readonly liveNodes: number;
  /** Connection limit of one instance, the lowest over all services; undefined if none is known. */
  readonly maxConnections: number | undefined;
  /** Fleets with more nodes have owners, whatever `maxConnections` is; undefined: `maxConnections` decides. */
  readonly largestDirectFleet?: number | undefined;
}

/** Number of owners per instance in a fleet of this size. */
export function ownersPerInstance(liveNodes: number, maxConnections: number): number {
  const forLoad = MIN_OWNERS + Math.floor(liveNodes / NODES_PER_OWNER);
  const shares = Math.floor(usableConnections(maxConnections) / MIN_OWNER_CONNECTIONS);
  return Math.max(MIN_OWNERS, Math.min(forLoad, shares - SPARE_SHARE_COUNT));
}

/**
 * Where each connection belongs to one tenant, an owner with few connections has to open one for most statements. So
 * the share of a replaced owner is used too: an owner can close one of its connections to open another.
 */
const SPARE_SHARE_COUNT_BY_TENANT = 1;

/**
 * Connections that one owner may open to one instance.
 * @param isByTenant whether each connection belongs to one tenant
 */
export function connectionsPerOwner(
  owners: number,
  maxConnections: number,
  isByTenant = false,
): number {
  const spareShares = isByTenant ? SPARE_SHARE_COUNT_BY_TENANT : SPARE_SHARE_COUNT;
  return Math.max(1, Math.floor(usableConnections(maxConnections) / (owners + spareShares)));
}

function usableConnections(maxConnections: number): number {
  return Math.max(0, maxConnections - RESERVED_CONNECTIONS);
}

/**
 * Decides how connections are shared, with hysteresis. The fleet sizes at which owners become necessary
 * and unnecessary differ by the reserved connections, and a fleet counts as small again only after some
 * time, since killed nodes come back.
 */
export class SharingDecision {
  #smallSince: Milliseconds | undefined;

  /** `current` is the published decision. */
  decide(current: ConnectionSharing, fleet: FleetSize, now: Milliseconds): ConnectionSharing {
    const { liveNodes, maxConnections } = fleet;
    if (maxConnections === undefined) return current;
    if (current.type === 'direct') {
      return liveNodes > maxNodesWithoutOwners(fleet, maxConnections)
        ? sharingByOwners(liveNodes, maxConnections)
        : current;
    }
    if (liveNodes > maxNodesToRemoveOwners(fleet, maxConnections)) {
      this.#smallSince = undefined;
      return withMoreOwners(current.ownersPerInstance, liveNodes, maxConnections);
    }
    this.#smallSince ??= now;
    if (now - this.#smallSince < SMALL_FLEET_CONFIRMATION_MS) return current;
    this.#smallSince = undefined;
    return { type: 'direct' };
  }
}

function maxNodesWithoutOwners({ largestDirectFleet }: FleetSize, maxConnections: number): number {
  return largestDirectFleet ?? maxConnections;
}

function maxNodesToRemoveOwners({ largestDirectFleet }: FleetSize, maxConnections: number): number {
  return largestDirectFleet ?? usableConnections(maxConnections);
}

function sharingByOwners(liveNodes: number, maxConnections: number): ConnectionSharing {
  return { type: 'owners', ownersPerInstance: ownersPerInstance(liveNodes, maxConnections) };
}

/** The number of owners never decreases: killed nodes come back, and each change moves owners. */
function withMoreOwners(
  current: number,
  liveNodes: number,
  maxConnections: number,
): ConnectionSharing {
  const wanted = ownersPerInstance(liveNodes, maxConnections);
  return { type: 'owners', ownersPerInstance: Math.max(current, wanted) };
}
