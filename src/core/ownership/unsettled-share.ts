/**
 * How many connections a node opens to an instance right after it has started in place of another process: a fleet
 * that lost power comes back at once, with all its callers.
 *
 * The load: each opening takes a slot of the instance for longer than most statements (27 to 32 ms, where statements
 * take 4 to 22), so that what the nodes open beyond what fills the slots is time in which nobody is served. And an
 * instance drops the connections of processes that went dark after 3 s only: until then they count beside the new ones.
 */

/** Part of a node's share: the connections left behind may be as many as the share allows. */
export const UNSETTLED_SHARE = 0.5;
/**
 * Connections of all nodes together for each slot of the instance. Six leave room for transactions that rest with a
 * connection in their hands, and for callers that are spread unevenly over the nodes. Not reached by the two smallest
 * deployments (6 and 8 nodes), where half of the share is less.
 */
const CONNECTIONS_PER_SLOT = 6;

/** The instance and who shares it. */
export interface UnsettledInstance {
  readonly slots: number;
  /** Nodes that connect to it. */
  readonly nodes: number;
}

/** Connections that a node may open until it has settled; `settled` is what it may open then. */
export function unsettledConnections(settled: number, { slots, nodes }: UnsettledInstance): number {
  const forSlots = Math.ceil((CONNECTIONS_PER_SLOT * slots) / Math.max(1, nodes));
  return Math.max(1, Math.min(Math.ceil(settled * UNSETTLED_SHARE), forSlots));
}
