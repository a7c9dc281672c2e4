/**
 * Limits the connections that a node opens to an instance right after it was restarted ("unsettled"): after a power
 * failure all nodes of a fleet restart at once, with all their callers.
 *
 * Opening a connection occupies a slot of the instance for longer than most statements do (27 to 32 ms, where
 * statements take 4 to 22 ms), so no statement is served during openings beyond those that fill the slots. In
 * addition, an instance drops the connections of processes that lost power only after 3 s; until then these count
 * towards its limit in addition to the new ones.
 */

/** Fraction of a node's share: the previous process may have left as many open connections as the share allows. */
export const UNSETTLED_FRACTION = 0.5;
/**
 * Connections of all nodes together per slot of the instance. Six allow for idle transactions that hold a connection,
 * and for callers that are spread unevenly over the nodes. The two smallest deployments (6 and 8 nodes) don't reach
 * this limit: half of a node's share is lower there.
 */
const CONNECTIONS_PER_SLOT = 6;

/** An instance, and how many nodes share it. */
export interface UnsettledInstance {
  readonly slots: number;
  /** Nodes that connect to it. */
  readonly nodes: number;
}

/** Connections that a node may open shortly after its restart; `settled` is its limit after that. */
export function unsettledConnections(settled: number, { slots, nodes }: UnsettledInstance): number {
  const forSlots = Math.ceil((CONNECTIONS_PER_SLOT * slots) / Math.max(1, nodes));
  return Math.max(1, Math.min(Math.ceil(settled * UNSETTLED_FRACTION), forSlots));
}
