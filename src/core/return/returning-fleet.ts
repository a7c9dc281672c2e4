/**
 * Return of a whole fleet whose nodes each connect to every instance directly.
 *
 * The fault: all nodes lose power and start again a second later. An instance drops connections to a peer without power only after
 * some seconds, so that the old and the new connections exist at the same time. Where an instance does not accept twice
 * the connections of the fleet, only some nodes get new ones, and only these could serve until the old connections are
 * dropped. So a node that was restarted reaches instances through a few owners (the return owners) at first.
 */
import { RESERVED_CONNECTIONS } from '../ownership/connection-sharing.js';
import type { Milliseconds } from '../units.js';

/** Connections of one node at an instance: one of its previous process, and one of the process that replaces it. */
const CONNECTION_GENERATIONS = 2;
/**
 * Fleets up to this size return without owners. With two owners and a spare one for each instance, too large a part of
 * a small fleet would depend on each of them.
 */
export const MAX_SMALL_FLEET_NODES = 23;
/** Instances drop connections to a peer without power after 3 s. */
const STALE_CONNECTION_LIFETIME_MS: Milliseconds = 3500;
/** Nodes that started together begin to open their own connections at random times within this period. */
const MAX_JITTER_MS: Milliseconds = 1000;

/** Greatest number of nodes that return without owners, where each instance accepts `maxConnections`. */
export function maxFleetWithoutReturnOwners(maxConnections: number): number {
  const maxFittingTwice = Math.floor(
    (maxConnections - RESERVED_CONNECTIONS) / CONNECTION_GENERATIONS,
  );
  return Math.min(maxConnections, Math.max(MAX_SMALL_FLEET_NODES, maxFittingTwice));
}

/** Start of this node's process. */
export interface ProcessStart {
  readonly startedAt: Milliseconds;
  /** True if this node had no previous process. */
  readonly isFirstStart: boolean;
  /** Random number in [0, 1), drawn once for the process. */
  readonly jitter: number;
}

/** True while a process has to use the return owners, since its predecessor's connections may still be open. */
export function isReturning(
  { startedAt, isFirstStart, jitter }: ProcessStart,
  now: Milliseconds,
): boolean {
  return !isFirstStart && now - startedAt < STALE_CONNECTION_LIFETIME_MS + jitter * MAX_JITTER_MS;
}
