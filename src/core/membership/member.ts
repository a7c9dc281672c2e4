/**
 * What is known of one member, and how two pieces of knowledge are merged. The merge is a join of
 * a lattice (commutative, associative, idempotent), so nodes that have seen the same updates in
 * any order agree.
 */
import type { ConfigurationRevision } from '../configuration/model.js';
import { hashText } from '../hash-text.js';
import type { ZoneName } from '../request.js';

/** What probes say. `dead` is refuted by the member itself with a higher version. */
export type Liveness = 'alive' | 'suspect' | 'dead';

/** What the rest of the program sees: dead before leaving before suspect before alive. */
export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'dead';

/** One member as told from node to node. */
export interface MemberUpdate {
  readonly nodeId: string;
  /** Which life of the node: a later life replaces everything known of an earlier one. */
  readonly incarnation: number;
  /** Raised by the member itself, within one life, to refute a suspicion or a death. */
  readonly version: number;
  readonly liveness: Liveness;
  /** The member said that it is leaving. Final for this life. */
  readonly leaving: boolean;
  readonly zone: ZoneName;
  readonly host: string;
  readonly peerPort: number;
  /** Only grows within one life; not worth a broadcast of its own. */
  readonly configurationRevision: ConfigurationRevision;
}

/** A member as the rest of the program sees it. */
export interface Member {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly zone: ZoneName;
  readonly host: string;
  readonly peerPort: number;
  readonly status: MemberStatus;
  readonly configurationRevision: ConfigurationRevision;
}

const LIVENESS_RANK: Readonly<Record<Liveness, number>> = { alive: 0, suspect: 1, dead: 2 };

/** The join of what is known and what is told. Returns `known` itself if nothing is new. */
export function mergeUpdates(known: MemberUpdate, told: MemberUpdate): MemberUpdate {
  if (told.incarnation > known.incarnation) return told;
  if (told.incarnation < known.incarnation) return known;
  const later = laterLiveness(known, told);
  const leaving = known.leaving || told.leaving;
  const configurationRevision = Math.max(known.configurationRevision, told.configurationRevision);
  const unchanged =
    later === known &&
    leaving === known.leaving &&
    configurationRevision === known.configurationRevision;
  if (unchanged) return known;
  return {
    nodeId: known.nodeId,
    incarnation: known.incarnation,
    version: later.version,
    liveness: later.liveness,
    leaving,
    zone: known.zone,
    host: known.host,
    peerPort: known.peerPort,
    configurationRevision,
  };
}

function laterLiveness(known: MemberUpdate, told: MemberUpdate): MemberUpdate {
  if (told.version !== known.version) return told.version > known.version ? told : known;
  return LIVENESS_RANK[told.liveness] > LIVENESS_RANK[known.liveness] ? told : known;
}

/** True if two updates differ in more than attributes, so that others must hear of it. */
export function differsInState(left: MemberUpdate, right: MemberUpdate): boolean {
  return (
    left.incarnation !== right.incarnation ||
    left.version !== right.version ||
    left.liveness !== right.liveness ||
    left.leaving !== right.leaving
  );
}

/** The status that follows from an update and from the machine list's mark. */
export function statusOf(update: MemberUpdate, listedLeaving: boolean): MemberStatus {
  if (update.liveness === 'dead') return 'dead';
  if (update.leaving || listedLeaving) return 'leaving';
  return update.liveness;
}

/** The member as the rest of the program sees it. */
export function describeMember(update: MemberUpdate, listedLeaving: boolean): Member {
  const { nodeId, incarnation, zone, host, peerPort, configurationRevision } = update;
  const status = statusOf(update, listedLeaving);
  return { nodeId, incarnation, zone, host, peerPort, status, configurationRevision };
}

/** Bytes of the fixed part of an encoded update, at most: array head and five numbers. */
const FIXED_UPDATE_BYTES = 36;
/** Encoded head of a string, at most (strings here are shorter than 64 KB). */
const STRING_HEAD_BYTES = 3;

/** Upper bound of the encoded size of an update, in bytes (identifiers are ASCII). */
export function updateBytes(update: MemberUpdate): number {
  const text = update.nodeId.length + update.zone.length + update.host.length;
  return FIXED_UPDATE_BYTES + 3 * STRING_HEAD_BYTES + text;
}

/** Hash of a member's state without its attributes, for the digests of anti-entropy. */
export function hashState(update: MemberUpdate): number {
  const { nodeId, incarnation, version, liveness, leaving } = update;
  return hashText(`${nodeId}|${incarnation}|${version}|${liveness}|${leaving}`);
}
