/** The owners of all groups as one hollow node works them out, with a count of what moved. */
import type { MemberEvent } from '../src/core/membership/contract.js';
import {
  DEFAULT_OWNERS_PER_GROUP,
  type GroupPlacement,
  OwnerIndex,
  type OwnersChange,
} from '../src/core/ownership/owner-index.js';
import type { Hash64, OwnerCandidate } from '../src/core/ownership/rendezvous.js';
import type { ZoneName } from '../src/core/request.js';
import { isLive } from './hollow-node.js';
import { ZONE_COUNT, ZONES_PER_REGION, zoneName } from './places.js';

/** Groups for each node, as at the letter's size: 15,000 over 4,600. */
const GROUPS_PER_NODE = 15_000 / 4_600;

/** What membership changes have cost so far. */
export interface MoveCount {
  /** Members that came or went. */
  readonly memberChanges: number;
  /** Ownerships that went to another node. */
  readonly moves: number;
  /** Ownerships that had to move: those of a member that went, the share of one that came. */
  readonly leastMoves: number;
}

export class HollowOwnership {
  readonly index: OwnerIndex;
  readonly #members = new Set<string>();
  readonly #groupCount: number;
  #memberChanges = 0;
  #moves = 0;
  #leastMoves = 0;

  constructor(hash: Hash64, groups: readonly GroupPlacement[], members: readonly OwnerCandidate[]) {
    this.index = new OwnerIndex(hash);
    this.#groupCount = groups.length;
    for (const member of members) this.#members.add(member.nodeId);
    for (const member of members) this.index.addMember(member);
    for (const group of groups) this.index.setGroup(group);
  }

  onMembersChanged(events: readonly MemberEvent[]): void {
    for (const { member } of events) {
      if (isLive(member)) this.#add(member.nodeId, member.zone);
      else this.#remove(member.nodeId);
    }
  }

  moveCount(): MoveCount {
    return {
      memberChanges: this.#memberChanges,
      moves: this.#moves,
      leastMoves: this.#leastMoves,
    };
  }

  #add(nodeId: string, zone: ZoneName): void {
    if (this.#members.has(nodeId)) return;
    this.#members.add(nodeId);
    const share = (this.#groupCount * DEFAULT_OWNERS_PER_GROUP) / this.#members.size;
    this.#count(this.index.addMember({ nodeId, zone }), share);
  }

  #remove(nodeId: string): void {
    if (!this.#members.delete(nodeId)) return;
    const owned = this.index.ownedBy(nodeId).size;
    this.#count(this.index.removeMember(nodeId), owned);
  }

  #count(changes: readonly OwnersChange[], least: number): void {
    this.#memberChanges += 1;
    this.#leastMoves += least;
    for (const { previous, owners } of changes) {
      this.#moves += owners.filter((nodeId) => !previous.includes(nodeId)).length;
    }
  }
}

/** Groups in proportion to the nodes. */
export function groupsFor(nodeCount: number): GroupPlacement[] {
  return groupsOf(Math.round(nodeCount * GROUPS_PER_NODE));
}

/** Groups with instances in the three zones of one region each. */
export function groupsOf(count: number): GroupPlacement[] {
  return Array.from({ length: count }, (_, index) => {
    const firstZone = (index * ZONES_PER_REGION) % ZONE_COUNT;
    const zones = Array.from({ length: ZONES_PER_REGION }, (__, zone) =>
      zoneName(firstZone + zone),
    );
    return { group: `group-${index}`, zones };
  });
}
