/**
 * How large a fleet may be whose nodes each connect to every instance by themselves, so that it can come back at once.
 *
 * The load: all nodes lose power and start again a second later. An instance drops connections whose far ends are dark
 * only after some seconds, so that the connections of two generations stand beside each other. A fleet that does not fit
 * twice finds room for some of its nodes, and these alone can serve until the old connections are dropped.
 */
import { RESERVED_CONNECTIONS } from '../ownership/connection-sharing.js';

/** Connections of one node at an instance: those of its process before, and those of the one that replaces it. */
const GENERATIONS = 2;
/**
 * Fleets up to this size stay without owners while their instances take a connection of each node. With two owners and a
 * spare one of each instance, an owner's loss is felt by too large a part of a small fleet.
 */
export const LARGEST_FLEET_WITHOUT_OWNERS = 23;

/** The most nodes that connect to instances by themselves, where each instance takes `maxConnections`. */
export function largestReturningMesh(maxConnections: number): number {
  const fittingTwice = Math.floor((maxConnections - RESERVED_CONNECTIONS) / GENERATIONS);
  return Math.min(maxConnections, Math.max(LARGEST_FLEET_WITHOUT_OWNERS, fittingTwice));
}
