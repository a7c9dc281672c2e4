/**
 * Up to which time a node knows every member of the groups. An instance that it has not heard of may hold a commit that
 * no known replica has, so a position derived from the known ones covers only the commits acknowledged before that time.
 * An instance registers in the store before it takes part in commits. So one of these proves it:
 *
 * - The node read all registrations from the store: as of the time at which it sent the call.
 * - A peer reported its list, with the age of such a read by itself or by one of its own peers.
 * - Peers report that they can't read the store either, and none has told of a list that was read recently: the store is
 *   unavailable to all, so that no instance can register and become known. A node whose peers do follow the store, or
 *   that reaches none of them, can't conclude that. A node that knows of no other one takes its own outage for this.
 */
import type { Milliseconds } from '../units.js';

/** What a peer reported about its list of members. */
export interface PeerListReport {
  readonly peer: string;
  /** When the peer was asked, by this node's clock. */
  readonly requestedAt: Milliseconds;
  /** Time since which the peer's list may lack a member; undefined if it was never known to be complete. */
  readonly listAgeMs: Milliseconds | undefined;
  /** The peer holds a lease at the store. */
  readonly hasStore: boolean;
}

/** What this node knows of its own access to the store and of the fleet. */
export interface FleetState {
  readonly now: Milliseconds;
  /** This node holds a lease at the store. */
  readonly hasStore: boolean;
  /** Other nodes that it knows of. */
  readonly otherNodes: number;
}

/** Different peers that must report that the store is unavailable, unless the fleet has fewer. */
const OUTAGE_REPORTS = 2;
/** A list read more recently than this shows that some node still followed the store. */
const RECENT_LIST_MS: Milliseconds = 1000;

export class MemberListProof {
  #provenAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** The latest report of each of the peers asked last, newest first. */
  #reports: readonly PeerListReport[] = [];

  /** Records that all registrations were read from the store by a call sent at this time. */
  recordRead(sentAt: Milliseconds): void {
    this.#provenAt = Math.max(this.#provenAt, sentAt);
  }

  /** Records a peer's report, once its members are known here. */
  record(report: PeerListReport): void {
    const { peer, requestedAt, listAgeMs } = report;
    if (listAgeMs !== undefined) this.recordRead(requestedAt - listAgeMs);
    this.#reports = [report, ...this.#reports.filter((other) => other.peer !== peer)]
      .sort((left, right) => right.requestedAt - left.requestedAt)
      .slice(0, OUTAGE_REPORTS);
  }

  /** Time up to which every member is known. */
  completeAsOf(fleet: FleetState): Milliseconds {
    return Math.min(fleet.now, Math.max(this.#provenAt, this.#outageAsOf(fleet)));
  }

  /** When the list was last read from the store, by this node or by a peer. */
  get provenAt(): Milliseconds {
    return this.#provenAt;
  }

  #outageAsOf({ now, hasStore, otherNodes }: FleetState): Milliseconds {
    if (hasStore) return Number.NEGATIVE_INFINITY;
    if (otherNodes === 0) return now;
    const needed = Math.min(OUTAGE_REPORTS, otherNodes);
    const reports = this.#reports.slice(0, needed);
    const asOf = reports.at(-1)?.requestedAt ?? Number.NEGATIVE_INFINITY;
    const isOutage = reports.length === needed && !reports.some((report) => report.hasStore);
    const hasRecentList = asOf - this.#provenAt < RECENT_LIST_MS;
    return isOutage && !hasRecentList ? asOf : Number.NEGATIVE_INFINITY;
  }
}
