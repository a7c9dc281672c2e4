/**
 * The owners of all groups of interest, updated as members join and leave. A member that leaves causes a
 * new selection only for the groups it owned; one that joins costs one score computation per group.
 */
import type { GroupName, ZoneName } from '../request.js';
import {
  asWinner,
  compareScored,
  type Hash64,
  type HashedCandidate,
  type HashedGroup,
  hashCandidate,
  hashGroup,
  type OwnerCandidate,
  type ScoredCandidate,
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
  readonly owners: readonly ScoredCandidate[];
}

/** Default number of owners per group. */
export const DEFAULT_OWNERS_PER_GROUP = 2;

/** The owners of all groups, updated member by member. */
export class OwnerIndex {
  readonly #hash: Hash64;
  readonly #ownersPerGroup: number;
  readonly #candidates = new Map<string, HashedCandidate>();
  readonly #byZone = new Map<ZoneName, HashedCandidate[]>();
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
      const rank = owners.findIndex(({ candidate }) => candidate.nodeId === nodeId);
      if (rank >= 0) owned.set(group, rank);
    }
    return owned;
  }

  /** Adds a group or updates its zones; does nothing if the zones are the same as before. */
  setGroup(placement: GroupPlacement): OwnersChange[] {
    const known = this.#groups.get(placement.group);
    if (known !== undefined && hasSameZones(known.hashed.zones, placement.zones)) return [];
    const previous = known?.owners ?? [];
    const hashed = hashGroup(this.#hash, placement.group, placement.zones);
    return this.#assign(hashed, previous, this.#select(hashed));
  }

  removeGroup(group: GroupName): void {
    this.#groups.delete(group);
  }

  /** Adds a live member: alive or suspect, and not leaving. */
  addMember(candidate: OwnerCandidate): OwnersChange[] {
    return this.addMembers([candidate]);
  }

  /** Adds several members with at most one selection per group. */
  addMembers(candidates: readonly OwnerCandidate[]): OwnersChange[] {
    const changes: OwnersChange[] = [];
    const added: HashedCandidate[] = [];
    for (const candidate of candidates) {
      const known = this.#candidates.get(candidate.nodeId);
      if (known?.zone === candidate.zone) continue;
      if (known !== undefined) changes.push(...this.removeMember(candidate.nodeId));
      added.push(this.#insert(candidate));
    }
    if (added.length === 0) return changes;
    for (const { hashed, owners } of this.#groups.values()) {
      if (!added.some((member) => this.#mayOwn(hashed, owners, member))) continue;
      changes.push(...this.#assign(hashed, owners, this.#select(hashed)));
    }
    return changes;
  }

  #insert(candidate: OwnerCandidate): HashedCandidate {
    const added = hashCandidate(this.#hash, candidate);
    this.#candidates.set(added.nodeId, added);
    const ofZone = this.#byZone.get(added.zone);
    if (ofZone === undefined) this.#byZone.set(added.zone, [added]);
    else ofZone.push(added);
    return added;
  }

  /** Removes a member that is dead or leaving. */
  removeMember(nodeId: string): OwnersChange[] {
    const removed = this.#candidates.get(nodeId);
    if (removed === undefined) return [];
    this.#candidates.delete(nodeId);
    this.#removeFromZone(removed);
    const changes: OwnersChange[] = [];
    for (const { hashed, owners } of this.#groups.values()) {
      if (!owners.some(({ candidate }) => candidate === removed)) continue;
      changes.push(...this.#assign(hashed, owners, this.#select(hashed)));
    }
    return changes;
  }

  #removeFromZone(removed: HashedCandidate): void {
    const others = this.#byZone.get(removed.zone)?.filter((member) => member !== removed) ?? [];
    if (others.length > 0) this.#byZone.set(removed.zone, others);
    else this.#byZone.delete(removed.zone);
  }

  /** False if the added member is certainly not an owner; cheaper than a selection: one score, one comparison. */
  #mayOwn(
    hashed: HashedGroup,
    owners: readonly ScoredCandidate[],
    added: HashedCandidate,
  ): boolean {
    const last = owners[owners.length - 1];
    if (last === undefined || owners.length < this.#ownersPerGroup) return true;
    return compareScored(asWinner(hashed, added), last) < 0;
  }

  #select(hashed: HashedGroup): readonly ScoredCandidate[] {
    const zones = [...this.#byZone].map(([zone, members]) => ({ zone, members }));
    return selectOwners(hashed, zones, this.#ownersPerGroup);
  }

  #assign(
    hashed: HashedGroup,
    previous: readonly ScoredCandidate[],
    owners: readonly ScoredCandidate[],
  ): OwnersChange[] {
    this.#groups.set(hashed.group, { hashed, owners });
    const change = { group: hashed.group, previous: idsOf(previous), owners: idsOf(owners) };
    return change.previous.join() === change.owners.join() ? [] : [change];
  }
}

function idsOf(owners: readonly ScoredCandidate[]): readonly string[] {
  return owners.map(({ candidate }) => candidate.nodeId);
}

function hasSameZones(known: ReadonlySet<ZoneName>, zones: readonly ZoneName[]): boolean {
  const zoneSet = new Set(zones);
  return known.size === zoneSet.size && [...zoneSet].every((zone) => known.has(zone));
}
