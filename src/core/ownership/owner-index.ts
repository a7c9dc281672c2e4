/**
 * The owners of all groups of interest, kept up to date as members come and go. A member that goes
 * costs a new selection for the groups it owned only; one that comes costs one weight a group.
 */
import type { GroupName, ZoneName } from '../request.js';
import {
  type Hash64,
  type HashedCandidate,
  type HashedGroup,
  hashCandidate,
  hashGroup,
  type OwnerCandidate,
  selectOwners,
} from './rendezvous.js';

/** Owners of one group have changed; node ids, best first. */
export interface OwnersChange {
  readonly group: GroupName;
  readonly previous: readonly string[];
  readonly owners: readonly string[];
}

/** A database group, with the zones of its instances. */
export interface GroupPlacement {
  readonly group: GroupName;
  readonly zones: readonly ZoneName[];
}

interface OwnedGroup {
  readonly hashed: HashedGroup;
  readonly owners: readonly HashedCandidate[];
}

/** Owners of a group unless an option says otherwise. */
export const DEFAULT_OWNERS_PER_GROUP = 2;

export class OwnerIndex {
  readonly #hash: Hash64;
  readonly #ownersPerGroup: number;
  readonly #candidates = new Map<string, HashedCandidate>();
  readonly #groups = new Map<GroupName, OwnedGroup>();

  constructor(hash: Hash64, ownersPerGroup: number = DEFAULT_OWNERS_PER_GROUP) {
    this.#hash = hash;
    this.#ownersPerGroup = ownersPerGroup;
  }

  /** Node ids of the owners, best first; the first one is the prober. Empty if unknown. */
  ownersOf(group: GroupName): readonly string[] {
    return idsOf(this.#groups.get(group)?.owners ?? []);
  }

  /** Groups that this node owns, with its rank (0: the prober). */
  ownedBy(nodeId: string): ReadonlyMap<GroupName, number> {
    const owned = new Map<GroupName, number>();
    for (const [group, { owners }] of this.#groups) {
      const rank = owners.findIndex((owner) => owner.nodeId === nodeId);
      if (rank >= 0) owned.set(group, rank);
    }
    return owned;
  }

  /** Adds a group, or takes its new zones. */
  setGroup(placement: GroupPlacement): OwnersChange[] {
    const previous = this.#groups.get(placement.group)?.owners ?? [];
    const hashed = hashGroup(this.#hash, placement.group, placement.zones);
    return this.#assign(hashed, previous, this.#select(hashed));
  }

  removeGroup(group: GroupName): void {
    this.#groups.delete(group);
  }

  /** A member is live: alive or suspect, and not leaving. */
  addMember(candidate: OwnerCandidate): OwnersChange[] {
    const known = this.#candidates.get(candidate.nodeId);
    if (known?.zone === candidate.zone) return [];
    const changes = known === undefined ? [] : this.removeMember(candidate.nodeId);
    const added = hashCandidate(this.#hash, candidate);
    this.#candidates.set(added.nodeId, added);
    for (const { hashed, owners } of [...this.#groups.values()]) {
      // The best of the old owners and the newcomer are the best of all.
      const contenders = selectOwners(hashed, [...owners, added], this.#ownersPerGroup);
      const isIn = contenders.includes(added);
      if (isIn) changes.push(...this.#assign(hashed, owners, this.#select(hashed)));
    }
    return changes;
  }

  /** A member is dead or leaving. */
  removeMember(nodeId: string): OwnersChange[] {
    if (!this.#candidates.delete(nodeId)) return [];
    const changes: OwnersChange[] = [];
    for (const { hashed, owners } of [...this.#groups.values()]) {
      if (!owners.some((owner) => owner.nodeId === nodeId)) continue;
      changes.push(...this.#assign(hashed, owners, this.#select(hashed)));
    }
    return changes;
  }

  #select(hashed: HashedGroup): readonly HashedCandidate[] {
    return selectOwners(hashed, this.#candidates.values(), this.#ownersPerGroup);
  }

  #assign(
    hashed: HashedGroup,
    previous: readonly HashedCandidate[],
    owners: readonly HashedCandidate[],
  ): OwnersChange[] {
    this.#groups.set(hashed.group, { hashed, owners });
    const change = { group: hashed.group, previous: idsOf(previous), owners: idsOf(owners) };
    return change.previous.join() === change.owners.join() ? [] : [change];
  }
}

function idsOf(owners: readonly HashedCandidate[]): readonly string[] {
  return owners.map((owner) => owner.nodeId);
}
