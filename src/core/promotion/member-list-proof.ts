/**
 * Up to which time a node knows every member of the groups. An instance that it has not heard of may hold a commit that
 * no known replica has, so a position derived from the known ones covers only the commits acknowledged before that time.
 * An instance registers in the store before it takes part in commits. So one of these proves it:
 *
 * - The node read all registrations from the store: as of the time at which it sent the call.
 * - A peer reported its list, with the age of such a read by itself or by one of its own peers.
 * - Every node of the fleet reports that the store responds to nothing, and none has told of a list that was read
 *   recently: the store is unavailable to all, so that no instance can register and become known. Reports of some nodes
 *   don't suffice, since the store may turn these away while it serves instances. A node that knows of no other one takes
 *   its own outage for this.
 */
import type { Milliseconds } from '../units.js';
import { type NodeOutage, OutageReports } from './outage-reports.js';

/** How current a node's list of members is. */
export interface MemberListState {
  /** The node holds a lease at the store. */
  readonly hasStore: boolean;
  /** Time since which the list may lack a member; undefined if it was never known to be complete. */
  readonly listAgeMs: Milliseconds | undefined;
  /** Nodes that got no response from the store, this node among them if it is one. */
  readonly outages: readonly NodeOutage[];
  /** Nodes in the fleet by the leader's count; 1 if the node does not know it. */
  readonly fleetNodes: number;
}

/** What a peer reported about its list of members. */
export interface PeerListReport extends Omit<MemberListState, 'hasStore'> {
  /** When the peer was asked, by this node's clock. */
  readonly requestedAt: Milliseconds;
}

/** What this node knows of its own access to the store and of the fleet. */
export interface FleetState {
  readonly now: Milliseconds;
  /** The store responds to this node, if only by refusing its calls. */
  readonly isStoreResponding: boolean;
  /** Nodes in the fleet by the leader's count; undefined if it is unknown, or counts this node only. */
  readonly countedNodes: number | undefined;
  /** Nodes whose addresses this node knows, and itself. */
  readonly knownNodes: number;
}

/** A list read more recently than this shows that some node still followed the store. */
const RECENT_LIST_MS: Milliseconds = 1000;

export class MemberListProof {
  readonly #outages: OutageReports;
  #provenAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Largest fleet that a peer reported. */
  #reportedNodes = 1;

  constructor(private readonly ownNode: string) {
    this.#outages = new OutageReports(ownNode);
  }

  /** Records that all registrations were read from the store by a call sent at this time. */
  recordRead(sentAt: Milliseconds): void {
    this.#provenAt = Math.max(this.#provenAt, sentAt);
  }

  /** Records a peer's report, once its members are known here. */
  record({ requestedAt, listAgeMs, outages, fleetNodes }: PeerListReport): void {
    if (listAgeMs !== undefined) this.recordRead(requestedAt - listAgeMs);
    this.#outages.record(outages, requestedAt);
    this.#reportedNodes = Math.max(this.#reportedNodes, fleetNodes);
  }

  /** Time up to which every member is known. */
  completeAsOf(fleet: FleetState): Milliseconds {
    return Math.min(fleet.now, Math.max(this.#provenAt, this.#outageAsOf(fleet)));
  }

  /** When the list was last read from the store, by this node or by a peer. */
  get provenAt(): Milliseconds {
    return this.#provenAt;
  }

  /** Nodes that got no response from the store, for peers. */
  outages({ now, isStoreResponding }: Pick<FleetState, 'now' | 'isStoreResponding'>): NodeOutage[] {
    const others = this.#outages.describe(now);
    return isStoreResponding ? others : [...others, { node: this.ownNode, ageMs: 0 }];
  }

  #outageAsOf({ now, isStoreResponding, ...fleet }: FleetState): Milliseconds {
    if (isStoreResponding) return Number.NEGATIVE_INFINITY;
    const nodes = fleet.countedNodes ?? Math.max(fleet.knownNodes, this.#reportedNodes);
    const otherNodes = nodes - 1;
    if (otherNodes === 0) return now;
    const asOf = this.#outages.asOf(otherNodes);
    const hasRecentList = asOf - this.#provenAt < RECENT_LIST_MS;
    return hasRecentList ? Number.NEGATIVE_INFINITY : asOf;
  }
}
