/**
 * Rendezvous (highest random weight) hashing of groups to owners, with zone preference: owners lie
 * in different zones as far as possible, and in the group's own zones as far as possible. A member
 * that comes or goes moves only the groups that it wins or held.
 */
import type { GroupName, ZoneName } from '../request.js';

/** A 64-bit hash of a text; injected, since the library's needs an asynchronous start. */
export type Hash64 = (text: string) => bigint;

/** A live member that may own groups. */
export interface OwnerCandidate {
  readonly nodeId: string;
  readonly zone: ZoneName;
}

/** The two halves of a 64-bit hash, for arithmetic on 32-bit integers. */
export interface HashHalves {
  readonly high: number;
  readonly low: number;
}

/** A candidate with its hash, computed once for all groups. */
export interface HashedCandidate extends OwnerCandidate, HashHalves {}

/** A group with its hash, and the zones of its instances. */
export interface HashedGroup extends HashHalves {
  readonly group: GroupName;
  readonly zones: ReadonlySet<ZoneName>;
}

interface ScoredCandidate {
  readonly candidate: HashedCandidate;
  readonly score: number;
}

const LOW_32_BITS = 0xffff_ffffn;
const HALF_BITS = 32n;

export function hashHalves(hash: Hash64, text: string): HashHalves {
  const value = hash(text);
  return { high: Number(value >> HALF_BITS), low: Number(value & LOW_32_BITS) };
}

export function hashCandidate(hash: Hash64, candidate: OwnerCandidate): HashedCandidate {
  return { ...candidate, ...hashHalves(hash, `member:${candidate.nodeId}`) };
}

export function hashGroup(hash: Hash64, group: GroupName, zones: readonly ZoneName[]): HashedGroup {
  return { group, zones: new Set(zones), ...hashHalves(hash, `group:${group}`) };
}

/** Weight of a member for a group, 32 bits: the finaliser of MurmurHash3 over both hashes. */
export function scoreOf(group: HashHalves, member: HashHalves): number {
  return mix32(mix32(group.low ^ member.low) ^ group.high ^ member.high);
}

function mix32(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85eb_ca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2_ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * The owners of a group, best first, at most `count`. First the winner of each of the group's
 * zones, then the winners of other zones, then whoever is next; each time by weight.
 */
export function selectOwners(
  group: HashedGroup,
  candidates: Iterable<HashedCandidate>,
  count: number,
): readonly HashedCandidate[] {
  const perZone = new Map<ZoneName, ScoredCandidate[]>();
  for (const candidate of candidates) {
    const entry = { candidate, score: scoreOf(group, candidate) };
    insertBest(perZone, candidate.zone, entry, count);
  }
  const ranked = [...perZone.values()].flatMap((best) =>
    best.map((entry, rank) => ({ entry, tier: tierOf(group, entry, rank) })),
  );
  ranked.sort((left, right) => left.tier - right.tier || compareScores(left.entry, right.entry));
  return ranked.slice(0, count).map(({ entry }) => entry.candidate);
}

/** 0: winner of one of the group's zones, 1: winner of another zone, 2 and 3: the rest likewise. */
function tierOf(group: HashedGroup, entry: ScoredCandidate, rank: number): number {
  const isOwnZone = group.zones.has(entry.candidate.zone);
  return (rank === 0 ? 0 : 2) + (isOwnZone ? 0 : 1);
}

/** Keeps the `count` best of a zone, best first. */
function insertBest(
  perZone: Map<ZoneName, ScoredCandidate[]>,
  zone: ZoneName,
  entry: ScoredCandidate,
  count: number,
): void {
  const best = perZone.get(zone);
  if (best === undefined) {
    perZone.set(zone, [entry]);
    return;
  }
  const last = best[best.length - 1];
  if (best.length >= count && last !== undefined && compareScores(last, entry) < 0) return;
  best.push(entry);
  best.sort(compareScores);
  if (best.length > count) best.pop();
}

/** Higher weight first; equal weights are ordered by node id, the same on every node. */
function compareScores(left: ScoredCandidate, right: ScoredCandidate): number {
  if (left.score !== right.score) return right.score - left.score;
  return left.candidate.nodeId < right.candidate.nodeId ? -1 : 1;
}
