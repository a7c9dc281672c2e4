/**
 * How many connections to one instance a tenant may hold at once through one node. One connection
 * stays reserved, so that another tenant's first statement need not wait for transactions to end. While
 * another tenant uses the instance, a tenant is also limited to its fraction of the slots.
 */

/** What a tenant may use of one instance, through one node. */
export interface ConnectionPolicy {
  /** Weight of the tenant in the division of connections among waiting tenants. */
  readonly queueWeight: number;
  /** Statements that may wait for a connection; further ones are rejected at once. */
  readonly maxWaiting: number;
  /** Fraction of the instance's slots that the tenant may use while other tenants use the instance. */
  readonly inFlightShare: number;
  /** Connections that the tenant may always hold, except the one reserved for other tenants. */
  readonly inFlightFloor: number;
}

/** The capacity of one instance, as seen by one node. */
export interface InstanceCapacity {
  /** Statements that the instance runs concurrently. */
  readonly slots: number;
  /** Nodes that share the instance. */
  readonly nodeCount: number;
  /** Connections that this node may open. */
  readonly connectionLimit: number;
  /** Whether another tenant also uses the instance through this node. */
  readonly isShared: boolean;
  /** Whether this node owns the instance's connections and lends them to many other nodes. */
  readonly isOwner?: boolean;
}

const MIN_ALLOWANCE = 1;
/** Connections that one tenant leaves to the others. */
const RESERVED_FOR_OTHERS = 1;
/** Below this limit, a sole tenant may use all connections: reserving half of them would be too much. */
const MIN_LIMIT_WITH_RESERVE = 3;

/** Connections that the tenant may hold at once, at least one. */
export function connectionAllowance(policy: ConnectionPolicy, capacity: InstanceCapacity): number {
  const { connectionLimit } = capacity;
  const maxAllowance = connectionLimit - RESERVED_FOR_OTHERS;
  if (!capacity.isShared) {
    return connectionLimit < MIN_LIMIT_WITH_RESERVE
      ? Math.max(MIN_ALLOWANCE, connectionLimit)
      : maxAllowance;
  }
  // On an owner's connections, idle transactions of many nodes hold connections but no slots.
  const shareable = capacity.isOwner
    ? connectionLimit
    : capacity.slots / Math.max(1, capacity.nodeCount);
  const share = Math.floor(policy.inFlightShare * shareable);
  const target = Math.max(policy.inFlightFloor, share);
  return Math.max(MIN_ALLOWANCE, Math.min(target, maxAllowance));
}
