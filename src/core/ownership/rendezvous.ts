/**
 * Rendezvous (highest random weight) hashing of groups to owners, with zone preference: owners are
 * in different zones as far as possible, and in the group's own zones as far as possible. A member
 * that joins or leaves moves only the groups that it wins or owned.
 */
import type { GroupName, ZoneName } from '../request.js';

/** Computes a 64-bit hash of a text; injected, since the library has to be loaded asynchronously. */
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

/** A candidate with its score (the random weight) for one group. */
export interface ScoredCandidate {
  readonly candidate: HashedCandidate;
  readonly score: number;
  /** Takes precedence over the score: 0 is the winner of one of the group's zones; see `tierOf`. */
  readonly tier: number;
}

/** The live candidates of one zone. */
export interface ZoneCandidates {
  readonly zone: ZoneName;
  readonly members: readonly HashedCandidate[];
}

const LOW_32_BITS = 0xffff_ffffn;
const HALF_BITS = 32n;

/** The hash of a text, as two halves. */
export function hashHalves(hash: Hash64, text: string): HashHalves {
  const value = hash(text);
  return { high: Number(value >> HALF_BITS), low: Number(value & LOW_32_BITS) };
}

// Object literals instead of spreads: V8 turns spreads into slow dictionary-mode objects, and scores read
// these millions of times at start-up.
/** Computes the hash of a candidate. */
export function hashCandidate(hash: Hash64, { nodeId, zone }: OwnerCandidate): HashedCandidate {
  const { high, low } = hashHalves(hash, `member:${nodeId}`);
  return { nodeId, zone, high, low };
}

/** Computes the hash of a group. */
export function hashGroup(hash: Hash64, group: GroupName, zones: readonly ZoneName[]): HashedGroup {
  const { high, low } = hashHalves(hash, `group:${group}`);
  return { group, zones: new Set(zones), high, low };
}

/** Score of a member for a group, 32 bits: the finaliser of MurmurHash3 applied to both hashes. */
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
 * zones, then the winners of other zones, then the other candidates; each of these ordered by score.
 */
export function selectOwners(
  group: HashedGroup,
  zones: readonly ZoneCandidates[],
  count: number,
): readonly ScoredCandidate[] {
  const winners = zones.flatMap(({ members }) => winnerOf(group, members));
  // Common case: with winners from enough zones, no other candidate can be an owner, and no ranking is needed.
  const ranked = winners.length >= count ? winners : zones.flatMap((zone) => rankZone(group, zone));
  return ranked.sort(compareScored).slice(0, count);
}

/** Negative if `left` comes before `right`; equal scores are ordered by node id. */
export function compareScored(left: ScoredCandidate, right: ScoredCandidate): number {
  if (left.tier !== right.tier) return left.tier - right.tier;
  if (left.score !== right.score) return right.score - left.score;
  return left.candidate.nodeId < right.candidate.nodeId ? -1 : 1;
}

/** Scores the candidate as the winner of its zone. */
export function asWinner(group: HashedGroup, candidate: HashedCandidate): ScoredCandidate {
  const tier = tierOf(group, candidate.zone, 0);
  return { candidate, score: scoreOf(group, candidate), tier };
}

/** 0: winner of one of the group's zones, 1: winner of another zone, 2 and 3: the rest likewise. */
function tierOf(group: HashedGroup, zone: ZoneName, rank: number): number {
  return (rank === 0 ? 0 : 2) + (group.zones.has(zone) ? 0 : 1);
}

/** The member of a zone with the highest score. A plain loop, since it runs for every group and member at start-up. */
function winnerOf(group: HashedGroup, members: readonly HashedCandidate[]): ScoredCandidate[] {
  let winner: HashedCandidate | undefined;
  let best = -1;
  for (const member of members) {
    const score = scoreOf(group, member);
    if (score < best) continue;
    if (score === best && winner !== undefined && winner.nodeId < member.nodeId) continue;
    winner = member;
    best = score;
  }
  return winner === undefined ? [] : [asWinner(group, winner)];
}

function rankZone(group: HashedGroup, { zone, members }: ZoneCandidates): ScoredCandidate[] {
  const scored = members.map((candidate) => asWinner(group, candidate)).sort(compareScored);
  return scored.map((entry, rank) => ({ ...entry, tier: tierOf(group, zone, rank) }));
}
