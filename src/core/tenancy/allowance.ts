/**
 * How many connections to one instance a tenant may hold at once on one node. It leaves one, so that
 * a stranger's first statement does not wait for the end of its transactions; and as soon as another
 * tenant uses the instance, it keeps to its share of the slots.
 */

/** What a tenant may use of one instance, through one node. */
export interface ConnectionPolicy {
  /** Share of connections relative to other tenants that wait. */
  readonly queueWeight: number;
  /** Statements that may wait for a connection; more are refused at once. */
  readonly maxWaiting: number;
  /** Part of the instance's slots that may be in use at once while others are served there. */
  readonly inFlightShare: number;
  /** Connections that it may hold whatever its share is, but for the one that is left to others. */
  readonly inFlightFloor: number;
}

/** The state of one instance as one node sees it. */
export interface InstanceCapacity {
  /** Statements that the instance runs at once. */
  readonly slots: number;
  /** Nodes that share the instance. */
  readonly nodeCount: number;
  /** Connections that this node may open. */
  readonly connectionLimit: number;
  /** Whether another tenant uses the instance through this node too. */
  readonly isShared: boolean;
  /** Whether this node lends its connections: it serves the statements of many nodes. */
  readonly isOwner?: boolean;
}

const MINIMUM_ALLOWANCE = 1;
/** Connections left to the others. */
const LEFT_TO_OTHERS = 1;
/** With fewer than this, a tenant that is alone may hold them all: half is too much to keep idle. */
const FEWEST_TO_LEAVE_ONE = 3;

/** Connections that the tenant may hold at once, at least one. */
export function connectionAllowance(policy: ConnectionPolicy, capacity: InstanceCapacity): number {
  const { connectionLimit } = capacity;
  const mostToTake = connectionLimit - LEFT_TO_OTHERS;
  if (!capacity.isShared) {
    return connectionLimit < FEWEST_TO_LEAVE_ONE
      ? Math.max(MINIMUM_ALLOWANCE, connectionLimit)
      : mostToTake;
  }
  // Transactions of many nodes rest on an owner's connections without using a slot.
  const shareable = capacity.isOwner
    ? connectionLimit
    : capacity.slots / Math.max(1, capacity.nodeCount);
  const share = Math.floor(policy.inFlightShare * shareable);
  const wanted = Math.max(policy.inFlightFloor, share);
  return Math.max(MINIMUM_ALLOWANCE, Math.min(wanted, mostToTake));
}
