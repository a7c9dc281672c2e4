/** The owners of all groups as one hollow node computes them, with a count of moved ownerships. */
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
import { ZONE_COUNT, ZONES_PER_REGION, zoneName } from './zones.js';

/** As at the design size: 15,000 groups on 4,600 nodes. */
const GROUPS_PER_NODE = 15_000 / 4_600;

/** Ownership moves caused by membership changes so far. */
export interface MoveCount {
  /** Members that joined or left. */
  readonly memberChanges: number;
  /** Ownerships that moved to another node. */
  readonly moves: number;
  /** Ownerships that had to move: all of a member that left, the average number for one that joined. */
  readonly minMoves: number;
}

export class HollowOwnership {
  readonly index: OwnerIndex;
  readonly #members = new Set<string>();
  readonly #groupCount: number;
  #memberChanges = 0;
  #moves = 0;
  #minMoves = 0;

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

  countMoves(): MoveCount {
    return {
      memberChanges: this.#memberChanges,
      moves: this.#moves,
      minMoves: this.#minMoves,
    };
  }

  #add(nodeId: string, zone: ZoneName): void {
    if (this.#members.has(nodeId)) return;
    this.#members.add(nodeId);
    const expectedMoves = (this.#groupCount * DEFAULT_OWNERS_PER_GROUP) / this.#members.size;
    this.#count(this.index.addMember({ nodeId, zone }), expectedMoves);
  }

  #remove(nodeId: string): void {
    if (!this.#members.delete(nodeId)) return;
    const owned = this.index.ownedBy(nodeId).size;
    this.#count(this.index.removeMember(nodeId), owned);
  }

  #count(changes: readonly OwnersChange[], minMoves: number): void {
    this.#memberChanges += 1;
    this.#minMoves += minMoves;
    for (const { previous, owners } of changes) {
      this.#moves += owners.filter((nodeId) => !previous.includes(nodeId)).length;
    }
  }
}

/** Creates groups in proportion to the nodes. */
export function createGroupsForFleet(nodeCount: number): GroupPlacement[] {
  return createGroups(Math.round(nodeCount * GROUPS_PER_NODE));
}

/** Creates groups, each with instances in the three zones of one region. */
export function createGroups(count: number): GroupPlacement[] {
  return Array.from({ length: count }, (_, index) => {
    const firstZone = (index * ZONES_PER_REGION) % ZONE_COUNT;
    const zones = Array.from({ length: ZONES_PER_REGION }, (__, zone) =>
      zoneName(firstZone + zone),
    );
    return { group: `group-${index}`, zones };
  });
}
