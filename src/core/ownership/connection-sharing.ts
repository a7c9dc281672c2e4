/**
 * How the nodes of a direct gateway share the connections that one instance takes. In a small fleet
 * every node connects to every instance by itself. Where that would leave less than one connection for
 * each node, a few owners of each instance hold its connections, and the others reach it through them.
 *
 * The decision is made in one place, by the leader, and published with the owners: nodes that decided
 * for themselves would share by different rules while their counts differ.
 */
import type { Milliseconds } from '../units.js';

/** Connections of an instance that are left to control calls of whichever node leads. */
export const RESERVED_CONNECTIONS = 4;
/** Each instance has at least so many owners, so that one may be lost. */
const MINIMUM_OWNERS = 2;
/**
 * One more owner of each instance for so many nodes: their statements pass through the owners, and more
 * of them are lost at once. With two and a spare one, half of 67 nodes without power took all three of
 * one instance in seven with them.
 */
const NODES_PER_OWNER = 50;
/** With fewer connections an owner queues statements that the instance could run. */
const MINIMUM_OWNER_CONNECTIONS = 4;
/**
 * Shares kept free beside those of the owners: one for the spare owner, which is used when no owner can
 * be reached, and one for a node that still takes itself for an owner after another has replaced it.
 */
const SPARE_SHARES = 2;
/** A fleet that has shrunk is believed to stay small after this. */
const SMALL_FLEET_MEMORY_MS: Milliseconds = 30_000;

/** How an instance's connections are shared among the nodes. */
export type ConnectionSharing =
  /** Every node holds some of its own. */
  | { readonly type: 'direct' }
  /** Each instance has so many owners. */
  | { readonly type: 'owners'; readonly ownersPerInstance: number };

/** What the decision rests on. */
export interface FleetSize {
  readonly liveNodes: number;
  /** Connections that one instance takes, the fewest of all services; undefined if none is known. */
  readonly maxConnections: number | undefined;
  /** Larger fleets have owners, whatever the budget; undefined leaves it to the budget. */
  readonly largestDirectFleet?: number | undefined;
}

/** Owners of each instance in a fleet of this size. */
export function ownersPerInstance(liveNodes: number, maxConnections: number): number {
  const forLoad = MINIMUM_OWNERS + Math.floor(liveNodes / NODES_PER_OWNER);
  const shares = Math.floor(usable(maxConnections) / MINIMUM_OWNER_CONNECTIONS);
  return Math.max(MINIMUM_OWNERS, Math.min(forLoad, shares - SPARE_SHARES));
}

/**
 * Where connections are of one tenant each, an owner that has few opens one for most statements: the share of a node
 * that still takes itself for an owner is used too, since an owner's connections give way to one another.
 */
const SPARE_SHARES_BY_TENANT = 1;

/**
 * Connections that one owner may open to one instance.
 * @param isByTenant whether each connection is of one tenant
 */
export function connectionsPerOwner(
  owners: number,
  maxConnections: number,
  isByTenant = false,
): number {
  const spareShares = isByTenant ? SPARE_SHARES_BY_TENANT : SPARE_SHARES;
  return Math.max(1, Math.floor(usable(maxConnections) / (owners + spareShares)));
}

function usable(maxConnections: number): number {
  return Math.max(0, maxConnections - RESERVED_CONNECTIONS);
}

/**
 * The decision with its memory. Between the size at which owners are needed and that at which they are
 * not any more lie the reserved connections; and it takes time until a fleet counts as small again,
 * since killed nodes come back.
 */
export class SharingDecision {
  #smallSince: Milliseconds | undefined;

  /** `current` is what is published now. */
  decide(current: ConnectionSharing, fleet: FleetSize, now: Milliseconds): ConnectionSharing {
    const { liveNodes, maxConnections } = fleet;
    if (maxConnections === undefined) return current;
    if (current.type === 'direct') {
      return liveNodes > enterAbove(fleet, maxConnections)
        ? ownersFor(liveNodes, maxConnections)
        : current;
    }
    if (liveNodes > leaveAt(fleet, maxConnections)) {
      this.#smallSince = undefined;
      return grown(current.ownersPerInstance, liveNodes, maxConnections);
    }
    this.#smallSince ??= now;
    if (now - this.#smallSince < SMALL_FLEET_MEMORY_MS) return current;
    this.#smallSince = undefined;
    return { type: 'direct' };
  }
}

function enterAbove({ largestDirectFleet }: FleetSize, maxConnections: number): number {
  return largestDirectFleet ?? maxConnections;
}

function leaveAt({ largestDirectFleet }: FleetSize, maxConnections: number): number {
  return largestDirectFleet ?? usable(maxConnections);
}

function ownersFor(liveNodes: number, maxConnections: number): ConnectionSharing {
  return { type: 'owners', ownersPerInstance: ownersPerInstance(liveNodes, maxConnections) };
}

/** The number of owners only grows: nodes that were killed come back, and each change moves owners. */
function grown(current: number, liveNodes: number, maxConnections: number): ConnectionSharing {
  const wanted = ownersPerInstance(liveNodes, maxConnections);
  return { type: 'owners', ownersPerInstance: Math.max(current, wanted) };
}
